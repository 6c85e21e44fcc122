package host

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// pathTraces serves the spans that are kept in memory.
const pathTraces = "/v1/traces"

func (h *Host) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathSearch, h.handleSearch)
	mux.HandleFunc("POST "+wire.PathFilings, h.handleFiling)
	mux.HandleFunc("GET "+wire.PathHealth, h.handleHealth)
	mux.HandleFunc("GET "+wire.PathStatus, h.handleStatus)
	mux.Handle("GET "+wire.PathMetrics, guard.Reserve(guard.MetricsBytes, h.config.Stats))
	mux.Handle("GET "+pathTraces, h.config.Tracer)
	mux.HandleFunc(wire.PathSearch, h.wrongMethod)
	mux.HandleFunc(wire.PathFilings, h.wrongMethod)
	mux.HandleFunc("/", h.wrongPath)
	return h.withWriteDeadline(mux)
}

func (h *Host) wrongMethod(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	h.refuse(w, r, http.StatusMethodNotAllowed, "method "+r.Method+" is not served here: use POST")
}

func (h *Host) wrongPath(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, http.StatusNotFound, "path does not exist: use "+wire.PathSearch+" or "+wire.PathFilings)
}

func (h *Host) refuse(w http.ResponseWriter, r *http.Request, status int, remedy string) {
	call, reqErr := h.startCall(r)
	if reqErr == nil {
		reqErr = &requestError{
			status: status,
			remedy: remedy,
		}
	}
	h.answerError(w, call, reqErr)
}

// withWriteDeadline renews the write deadline for each request: a connection
// serves several requests, and the deadline set for an earlier answer may have
// passed.
func (h *Host) withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.config.WriteTimeout))
		if r.ContentLength == 0 {
			guard.Of(r).Complete(0) // nothing follows that the guard could wait for
		}
		next.ServeHTTP(w, r)
	})
}

// admit counts a request as in flight and returns the function to call at its
// end, or refuses it and returns nil and the remedy.
func (h *Host) admit(ctx context.Context) (func(), string) {
	n := h.inFlight.Add(1)
	release := func() { h.inFlight.Add(-1) }
	switch {
	case h.phase.Load() == phaseDraining:
		h.waitForClose(ctx)
		release()
		return nil, "this host is shutting down: send the request again, the balancer uses another host"
	case h.phase.Load() == phaseStarting:
		release()
		return nil, "this host has no configuration yet: send the request again later"
	case n > int64(h.config.MaxRequests):
		release()
		return nil, "this host has too many requests in progress: send the request again later"
	}
	return release, ""
}

// waitForClose delays the answer to a refused request until the listener is
// closed, at most closeDelay. A caller answered earlier would connect again at
// once, and a connection that is not yet accepted when the listener closes is
// reset.
func (h *Host) waitForClose(ctx context.Context) {
	select {
	case <-h.listenerClosed:
	case <-ctx.Done():
	}
}

func (h *Host) handleSearch(w http.ResponseWriter, r *http.Request) {
	call, reqErr := h.startCall(r)
	var ev engine.QueryArrived
	if reqErr == nil {
		ev, reqErr = h.parseSearch(w, r, call)
	}
	if reqErr != nil {
		h.answerError(w, call, reqErr)
		return
	}
	release, remedy := h.admit(r.Context())
	if release == nil {
		h.answerSearch(w, call, ev.Class, &engine.Reply{
			Outcome: engine.NotRun,
			Remedy:  remedy,
		})
		return
	}
	defer release()
	ev.Query = ident.QueryID(h.lastQuery.Add(1))
	reply, ok := h.runQuery(r.Context(), ev, call)
	if !ok {
		reply = engine.Reply{Outcome: stats.CallerGone}
	}
	h.answerSearch(w, call, ev.Class, &reply)
}

// runQuery passes a query to the engine and waits for the reply. It reports false
// if the caller disconnected first.
func (h *Host) runQuery(ctx context.Context, ev engine.QueryArrived, c *call) (engine.Reply, bool) {
	q := &query{
		reply: make(chan engine.Reply, 1),
		span:  c.span.StartEntry(&ev),
	}
	h.loop.enqueue(message{
		event: ev,
		query: q,
	})
	select {
	case reply := <-q.reply:
		q.span.EndWithOutcome(reply.Outcome)
		return reply, true
	case <-ctx.Done():
		h.loop.post(engine.QueryCancelled{Query: ev.Query})
		q.span.EndWithOutcome(stats.CallerGone)
		return engine.Reply{}, false
	}
}

// answerSearch counts a finished search and writes the answer. A caller that
// disconnected gets none.
func (h *Host) answerSearch(w http.ResponseWriter, c *call, class preset.Class, reply *engine.Reply) {
	h.config.Stats.Query(class, reply, time.Since(c.startedAt))
	c.span.EndWithOutcome(reply.Outcome)
	status := http.StatusOK
	switch reply.Outcome {
	case stats.CallerGone:
		// If the handler returned, net/http would send an empty 200, which a
		// caller that closed only its sending half would take for an answer.
		panic(http.ErrAbortHandler)
	case engine.NotRun:
		status = http.StatusServiceUnavailable
	}
	// Lists are never null in JSON, so that callers need no special case.
	if reply.Documents == nil {
		reply.Documents = []engine.Document{}
	}
	if reply.Coverage.Missing == nil {
		reply.Coverage.Missing = []engine.Missing{}
	}
	h.answer(w, c, status, wire.SearchAnswer{
		RequestID: c.id,
		Outcome:   reply.Outcome,
		Version:   reply.Version,
		Preset:    reply.Preset,
		Coverage:  reply.Coverage,
		Documents: reply.Documents,
		Remedy:    reply.Remedy,
	})
}

// answer writes one JSON answer within the write timeout.
func (h *Host) answer(w http.ResponseWriter, c *call, status int, body any) {
	header := w.Header()
	header.Set(wire.HeaderRequestID, string(c.id))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	if h.phase.Load() >= phaseLeaving {
		header.Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.config.WriteTimeout))
	if err := wire.Reply(w, status, body); err != nil {
		h.config.Log.Debug("answer could not be written to the caller", "RequestID", string(c.id), "Error", err.Error())
	}
}

func (h *Host) answerError(w http.ResponseWriter, c *call, reqErr *requestError) {
	c.span.EndWithOutcome(engine.NotRun)
	h.answer(w, c, reqErr.status, struct {
		RequestID ident.RequestID `json:"RequestID"`
		Outcome   engine.Outcome  `json:"Outcome"`
		Remedy    string          `json:"Remedy"`
	}{
		RequestID: c.id,
		Outcome:   engine.NotRun,
		Remedy:    reqErr.remedy,
	})
}

// handleHealth answers the load balancer's health check: 200 while the host
// accepts requests and is not shutting down.
func (h *Host) handleHealth(w http.ResponseWriter, _ *http.Request) {
	status, text := http.StatusOK, "ok\n"
	switch h.phase.Load() {
	case phaseStarting:
		status, text = http.StatusServiceUnavailable, "no configuration yet\n"
	case phaseLeaving, phaseDraining:
		status, text = http.StatusServiceUnavailable, "shutting down\n"
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

var phaseNames = [...]string{"Starting", "Serving", "Leaving", "Draining"}

func (h *Host) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var version ident.ConfigVersion
	if s := h.activeConfig.Load(); s != nil {
		version = s.Version
	}
	body, _ := json.Marshal(struct {
		Host        ident.HostID        `json:"Host"`
		Domain      ident.Domain        `json:"Domain"`
		Phase       string              `json:"Phase"`
		Seat        engine.Seat         `json:"Seat"`
		Config      ident.ConfigVersion `json:"Config"`
		Requests    int64               `json:"Requests"`
		Attempts    int                 `json:"Attempts"`
		Connections int                 `json:"Connections"`
	}{
		Host:        h.config.ID,
		Domain:      h.config.Domain,
		Phase:       phaseNames[h.phase.Load()],
		Seat:        h.seat.Load().(engine.Seat),
		Config:      version,
		Requests:    h.inFlight.Load(),
		Attempts:    h.client.InFlight(),
		Connections: h.client.Connections(),
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
