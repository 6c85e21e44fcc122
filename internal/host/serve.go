package host

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// pathTraces serves the spans in memory.
const pathTraces = "/v1/traces"

func (h *Host) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathSearch, h.search)
	mux.HandleFunc("POST "+wire.PathFilings, h.file)
	mux.HandleFunc("GET "+wire.PathHealth, h.health)
	mux.HandleFunc("GET "+wire.PathStatus, h.status)
	mux.Handle("GET "+wire.PathMetrics, h.config.Stats)
	mux.Handle("GET "+pathTraces, h.config.Tracer)
	mux.HandleFunc(wire.PathSearch, h.wrongMethod)
	mux.HandleFunc(wire.PathFilings, h.wrongMethod)
	mux.HandleFunc("/", h.wrongPath)
	return h.bounded(mux)
}

func (h *Host) wrongMethod(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	h.refuse(w, r, http.StatusMethodNotAllowed, "method "+r.Method+" is not served here: use POST")
}

func (h *Host) wrongPath(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, http.StatusNotFound, "path does not exist: use "+wire.PathSearch+" or "+wire.PathFilings)
}

func (h *Host) refuse(w http.ResponseWriter, r *http.Request, status int, remedy string) {
	call, bad := h.begin(r)
	if bad == nil {
		bad = &fault{
			status: status,
			remedy: remedy,
		}
	}
	h.answerFault(w, call, bad)
}

// bounded renews the write deadline of the connection, which outlives one
// request: the one set for an earlier answer may have passed.
func (h *Host) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.config.WriteTimeout))
		next.ServeHTTP(w, r)
	})
}

// admit counts a request in, or refuses it. The caller calls the returned
// function at the end of an admitted request.
func (h *Host) admit(ctx context.Context) (func(), string) {
	n := h.running.Add(1)
	leave := func() { h.running.Add(-1) }
	switch {
	case h.phase.Load() == phaseDraining:
		h.hold(ctx)
		leave()
		return nil, "this host is shutting down: send the request again, the balancer uses another host"
	case h.phase.Load() == phaseStarting:
		leave()
		return nil, "this host has no configuration yet: send the request again later"
	case n > int64(h.config.MaxRequests):
		leave()
		return nil, "this host has too many requests in progress: send the request again later"
	}
	return leave, ""
}

// hold keeps a refused request until the listener is closed, at most
// settleTime. A caller that were answered before would connect again at once,
// and a connection that waits to be accepted when the listener closes is reset.
func (h *Host) hold(ctx context.Context) {
	select {
	case <-h.shut:
	case <-ctx.Done():
	}
}

func (h *Host) search(w http.ResponseWriter, r *http.Request) {
	call, fault := h.begin(r)
	var ev engine.QueryArrived
	if fault == nil {
		ev, fault = h.parseSearch(w, r, call)
	}
	if fault != nil {
		h.answerFault(w, call, fault)
		return
	}
	leave, refused := h.admit(r.Context())
	if leave == nil {
		h.answerSearch(w, call, ev.Class, &engine.Reply{
			Outcome: engine.NotRun,
			Remedy:  refused,
		})
		return
	}
	defer leave()
	ev.Query = ident.QueryID(h.lastQuery.Add(1))
	rep, ok := h.ask(r.Context(), ev, call)
	if !ok {
		rep = engine.Reply{Outcome: stats.Gone}
	}
	h.answerSearch(w, call, ev.Class, &rep)
}

// ask runs a query. It reports false when the caller left first.
func (h *Host) ask(ctx context.Context, ev engine.QueryArrived, c *call) (engine.Reply, bool) {
	q := &query{
		reply: make(chan engine.Reply, 1),
		span:  c.span.Entry(&ev),
	}
	h.loop.send(mail{
		event: ev,
		query: q,
	})
	select {
	case rep := <-q.reply:
		q.span.Answered(rep.Outcome)
		return rep, true
	case <-ctx.Done():
		h.loop.post(engine.QueryCancelled{Query: ev.Query})
		q.span.Answered(stats.Gone)
		return engine.Reply{}, false
	}
}

// answerSearch counts and writes the answer to a search. A caller that left
// gets none.
func (h *Host) answerSearch(w http.ResponseWriter, c *call, class preset.Class, rep *engine.Reply) {
	h.config.Stats.Query(class, rep, time.Since(c.began))
	c.span.Answered(rep.Outcome)
	status := http.StatusOK
	switch rep.Outcome {
	case stats.Gone:
		// A handler that returns sends an empty 200, which a caller that has
		// closed only its sending half would take for an answer.
		panic(http.ErrAbortHandler)
	case engine.NotRun:
		status = http.StatusServiceUnavailable
	}
	// Lists are never null, so that callers need no special case.
	if rep.Documents == nil {
		rep.Documents = []engine.Document{}
	}
	if rep.Coverage.Missing == nil {
		rep.Coverage.Missing = []engine.Missing{}
	}
	h.answer(w, c, status, wire.SearchAnswer{
		RequestID: c.id,
		Outcome:   rep.Outcome,
		Version:   rep.Version,
		Preset:    rep.Preset,
		Coverage:  rep.Coverage,
		Documents: rep.Documents,
		Remedy:    rep.Remedy,
	})
}

// answer writes one JSON answer within the write timeout.
func (h *Host) answer(w http.ResponseWriter, c *call, status int, body any) {
	head := w.Header()
	head.Set(wire.HeaderRequestID, string(c.id))
	if status == http.StatusServiceUnavailable {
		head.Set("Retry-After", retryAfterSeconds)
	}
	if h.phase.Load() >= phaseLeaving {
		head.Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.config.WriteTimeout))
	if err := wire.Reply(w, status, body); err != nil {
		h.config.Log.Debug("answer did not reach its caller", "RequestID", string(c.id), "Error", err.Error())
	}
}

func (h *Host) answerFault(w http.ResponseWriter, c *call, f *fault) {
	c.span.Answered(engine.NotRun)
	h.answer(w, c, f.status, struct {
		RequestID ident.RequestID `json:"RequestID"`
		Outcome   engine.Outcome  `json:"Outcome"`
		Remedy    string          `json:"Remedy"`
	}{
		RequestID: c.id,
		Outcome:   engine.NotRun,
		Remedy:    f.remedy,
	})
}

// health answers the balancer: 200 while requests are welcome.
func (h *Host) health(w http.ResponseWriter, _ *http.Request) {
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

func (h *Host) status(w http.ResponseWriter, _ *http.Request) {
	var version ident.ConfigVersion
	if s := h.current.Load(); s != nil {
		version = s.Version
	}
	raw, _ := json.Marshal(struct {
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
		Requests:    h.running.Load(),
		Attempts:    h.client.InFlight(),
		Connections: h.client.Connections(),
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
