package core

import (
	"log/slog"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/platform"
)

// evacuationPartName is the name of the replicated part in commands and snapshots. A
// member of a release without the part stops at the first command or snapshot that
// names it, so neither exists before the first evacuation.
const evacuationPartName = "evacuation"

// evacuationCommand starts or ends the evacuation of one domain.
type evacuationCommand struct {
	Start ident.Domain `cbor:",omitempty"`
	End   ident.Domain `cbor:",omitempty"`
}

// evacuationResult is the outcome of a command: the revision of the set after it.
// Full is set if the command was refused since the set is full.
type evacuationResult struct {
	Revision evac.Revision
	Full     bool `cbor:",omitempty"`
}

// evacuationSnapshot is the encoded state of the part.
type evacuationSnapshot struct {
	// Changes is the revision of earlier releases, which members counted for
	// themselves, so that they may disagree on it.
	Changes evac.Revision `cbor:"Revision,omitempty"`
	// Position is the revision of the set.
	Position evac.Revision  `cbor:",omitempty"`
	Domains  []ident.Domain `cbor:",omitempty"`
}

// evacuationPart replicates the set of evacuated domains.
type evacuationPart struct {
	set        evac.Set
	watchState *watch.State
	log        *slog.Logger
}

var _ state.Part = (*evacuationPart)(nil)

// Name implements state.Part.
func (p *evacuationPart) Name() string { return evacuationPartName }

// Apply implements state.Part. The result is an evacuationResult.
func (p *evacuationPart) Apply(at quorum.Index, command []byte) ([]byte, error) {
	var c evacuationCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "evacuation command cannot be decoded: update this host")
	}
	next, r := p.set, evacuationResult{}
	if c.Start != "" {
		var err error
		next, err = p.set.Start(c.Start, evac.Revision(at))
		r.Full = err != nil
	}
	if c.End != "" {
		next = next.End(c.End, evac.Revision(at))
	}
	p.replace(next)
	r.Revision = next.Revision
	return proto.Marshal(r)
}

// Freeze implements state.Part. There is no state before the first evacuation.
func (p *evacuationPart) Freeze() func() ([]byte, error) {
	set := p.set
	return func() ([]byte, error) {
		if set.Revision == 0 {
			return nil, nil
		}
		return proto.Marshal(evacuationSnapshot{
			Position: set.Revision,
			Domains:  set.Domains,
		})
	}
}

// Restore implements state.Part. A snapshot of an earlier release does not say where the
// set last changed; it was not after the snapshot.
func (p *evacuationPart) Restore(at quorum.Index, data []byte) error {
	var s evacuationSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Changes > 0 {
		s.Position = evac.Revision(at)
	}
	p.replace(evac.Set{
		Revision: s.Position,
		Domains:  s.Domains,
	})
	return nil
}

// Reset implements state.Part.
func (p *evacuationPart) Reset() { p.set = evac.Set{} }

// replace replaces the set and passes it to the hosts that poll this one.
func (p *evacuationPart) replace(s evac.Set) {
	p.set = s
	if p.watchState.SetEvacuation(s) {
		logEvacuation(p.log, s, evacuationPartName)
	}
}

func logEvacuation(log *slog.Logger, s evac.Set, source string) {
	log.Info("evacuated domains were received", "Revision", uint64(s.Revision), "Domains", s.Domains, "Source", source)
}

// serveEvacuation orders or withdraws the evacuation of the domain in the path.
func (c *Core) serveEvacuation(h *ctrl.Host, w http.ResponseWriter, r *http.Request) {
	domain := ident.Domain(r.PathValue(platform.EvacuationDomain))
	if err := evac.CheckName(domain); err != nil {
		c.log.Warn("evacuation is refused", "Reason", err.Error())
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if c.redirect(w, r) {
		return
	}
	cmd := evacuationCommand{Start: domain}
	if r.Method == http.MethodDelete {
		cmd = evacuationCommand{End: domain}
	}
	a := c.submit(r.Context(), h, evacuationPartName, cmd)
	var result evacuationResult
	var err error
	if a.Kind == config.Accepted {
		err = proto.Unmarshal(a.Data, &result)
	}
	c.log.Info("evacuation was ordered", "Evacuated", string(domain), "Withdrawn", cmd.End != "", "Outcome", a.Kind, "Remedy", a.Remedy,
		"Revision", uint64(result.Revision), "Full", result.Full)
	switch {
	case a.Kind != config.Accepted:
		writeError(w, http.StatusServiceUnavailable, a.Remedy)
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case result.Full:
		writeError(w, http.StatusConflict, evac.ErrFull.Error())
	default:
		w.WriteHeader(http.StatusOK)
	}
}
