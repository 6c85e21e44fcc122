package host

import (
	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// observe counts a finished attempt, ends its span and logs its failure. The
// logger limits the rate of warnings with the same message, so each kind of
// failure has its own message.
func (h *Host) observe(res dial.AttemptResult) {
	result := stats.Answered
	switch {
	case res.Cancelled && res.Failure == nil:
		result = stats.Late
	case res.Cancelled:
		result = stats.Cancelled
	case res.Failure != nil:
		result = res.Failure.Kind
		if result == engine.Draining {
			h.draining.set(res.Send.Upstream, true)
		}
		h.config.Log.Warn("attempt failed: "+string(result), "Upstream", string(res.Send.Upstream), "Shard", string(res.Send.Shard), "RequestID", string(res.Send.Request), "Error", res.Failure.Err.Error())
	}
	h.config.Stats.Attempt(res.Send.Reason, result, res.Duration)
	res.Span.EndWithResult(result)
}

// updateGauges sets the gauges. It runs in the goroutine that owns the engine.
func (h *Host) updateGauges() {
	snap := stats.Snapshot{
		Requests:    int(h.inFlight.Load()),
		Attempts:    h.client.InFlight(),
		Connections: h.client.Connections(),
		Seat:        h.seat.Load().(engine.Seat),
	}
	if e, ok := h.config.Engine.(interface{ Retained() engine.Retained }); ok {
		snap.Retained = e.Retained()
	}
	if s := h.activeConfig.Load(); s != nil {
		snap.Config = s.Version
	}
	if h.config.Depths != nil {
		h.config.Depths(&snap)
	}
	h.config.Stats.SetGauges(snap)
}

// DepthsOf returns a Config.Depths that reads the state of e. It also serves an
// engine behind a recorder, which implements only Step.
func DepthsOf(e *engine.Engine) func(*stats.Snapshot) {
	return func(snap *stats.Snapshot) {
		depths := e.Depths()
		snap.Retained = e.Retained()
		snap.Waiting = depths.Waiting
		snap.HedgeTokens = depths.HedgeTokens
		snap.RetryTokens = depths.RetryTokens
		snap.Limits, snap.Suspects = depths.Limits, depths.Suspects
	}
}
