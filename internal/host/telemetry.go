package host

import (
	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// observe counts an ended attempt, ends its span and logs a failure. The log
// limits repeated warnings by their message, so each kind of failure has its own.
func (h *Host) observe(e dial.Ended) {
	result := stats.Answered
	switch {
	case e.Cancelled && e.Failure == nil:
		result = stats.Late
	case e.Cancelled:
		result = stats.Cancelled
	case e.Failure != nil:
		result = e.Failure.Kind
		if result == engine.Draining {
			h.leaving.note(e.Send.Upstream, true)
		}
		h.config.Log.Warn("attempt failed: "+string(result), "Upstream", string(e.Send.Upstream), "Shard", string(e.Send.Shard), "RequestID", string(e.Send.Request), "Error", e.Failure.Err.Error())
	}
	h.config.Stats.Attempt(e.Send.Reason, result, e.Took)
	e.Span.Ended(result)
}

// show sets the gauges. It runs in the goroutine that owns the engine.
func (h *Host) show() {
	at := stats.Snapshot{
		Requests:    int(h.running.Load()),
		Attempts:    h.client.InFlight(),
		Connections: h.client.Connections(),
		Seat:        h.seat.Load().(engine.Seat),
	}
	if e, ok := h.config.Engine.(interface{ Retained() engine.Retained }); ok {
		at.Retained = e.Retained()
	}
	if s := h.current.Load(); s != nil {
		at.Config = s.Version
	}
	if h.config.Depths != nil {
		h.config.Depths(&at)
	}
	h.config.Stats.Show(at)
}

// DepthsOf returns a Config.Depths that shows the state of e. A recorded engine
// needs it too, since its recorder only offers Step.
func DepthsOf(e *engine.Engine) func(*stats.Snapshot) {
	return func(at *stats.Snapshot) {
		d := e.Depths()
		at.Retained = e.Retained()
		at.Waiting = d.Waiting
		at.HedgeTokens = d.HedgeTokens
		at.RetryTokens = d.RetryTokens
	}
}
