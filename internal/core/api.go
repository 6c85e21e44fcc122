package core

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/platform"
)

// api returns the HTTP handler for operators of the platform.
func (c *Core) api(h *ctrl.Host) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+platform.PathConfiguration, func(w http.ResponseWriter, r *http.Request) { c.putConfiguration(h, w, r) })
	mux.HandleFunc("GET "+platform.PathConfiguration, func(w http.ResponseWriter, r *http.Request) { c.getConfiguration(h, w, r) })
	evacuation := func(w http.ResponseWriter, r *http.Request) { c.serveEvacuation(h, w, r) }
	mux.HandleFunc("POST "+platform.PathEvacuation, evacuation)
	mux.HandleFunc("DELETE "+platform.PathEvacuation, evacuation)
	return mux
}

func (c *Core) putConfiguration(h *ctrl.Host, w http.ResponseWriter, r *http.Request) {
	raw, err := guard.ReadBody(w, r, maxDocumentBytes)
	if err == nil && !guard.Of(r).Complete(len(raw)) {
		err = guard.ErrNoMemory
	}
	if errors.Is(err, guard.ErrNoMemory) {
		guard.Refuse(w)
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "the configuration could not be read whole: send it again")
		return
	}
	doc, err := platform.DecodeDocument(raw)
	if err != nil {
		c.log.Warn("configuration is refused", "Bytes", len(raw), "Reason", err.Error())
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	packed, err := board.Pack(raw)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	if c.redirect(w, r) {
		return
	}
	a := c.submit(r.Context(), h, documentPartName, documentCommand{Store: &board.Document{
		Version: doc.Version,
		Packed:  packed,
	}})
	c.log.Info("configuration was sent", "Version", doc.Version, "Routes", len(doc.Routes), "Outcome", a.Kind, "Remedy", a.Remedy)
	if a.Kind != config.Accepted {
		writeError(w, http.StatusServiceUnavailable, a.Remedy)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (c *Core) getConfiguration(h *ctrl.Host, w http.ResponseWriter, r *http.Request) {
	if c.redirect(w, r) {
		return
	}
	a := c.submit(r.Context(), h, documentPartName, documentCommand{Read: true})
	if a.Kind != config.Accepted {
		writeError(w, http.StatusServiceUnavailable, a.Remedy)
		return
	}
	var d board.Document
	if err := proto.Unmarshal(a.Data, &d); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if d.Version == 0 {
		writeError(w, http.StatusServiceUnavailable, "there is no configuration yet: send one")
		return
	}
	raw, err := board.Unpack(d.Packed)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	if _, err := w.Write(raw); err != nil {
		c.log.Debug("configuration could not be sent in full", "Error", err)
	}
}

// redirect sends the operator to the leader if only other hosts, not the
// replicated log, name one. This host is then no member and cannot forward the
// request. It reports whether it has answered the request.
func (c *Core) redirect(w http.ResponseWriter, r *http.Request) bool {
	s, ok := c.status(r.Context())
	if !ok || s.Leader != "" || s.Role == quorum.Leader {
		return false
	}
	leader := c.watchState.Leader()
	if leader.Operator == "" || leader.ID == c.self.ID {
		return false
	}
	w.Header()["Location"] = []string{"http://" + leader.Operator + r.URL.EscapedPath()}
	w.WriteHeader(http.StatusTemporaryRedirect)
	return true
}

// submit runs a command for a replicated part through the leader.
func (c *Core) submit(ctx context.Context, h *ctrl.Host, part string, cmd any) ctrl.Answer {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return ctrl.Answer{
			Kind:   config.NotRun,
			Remedy: err.Error(),
		}
	}
	return h.Submit(ctx, ctrl.Request{Command: &state.Command{
		Part: part,
		Data: data,
	}})
}

func writeError(w http.ResponseWriter, status int, reason string) { http.Error(w, reason, status) }
