package host

import (
	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// observe counts an ended attempt and ends its span.
func (h *Host) observe(e dial.Ended) {
	result := e.Kind
	switch {
	case e.Cancelled && result == "":
		result = stats.Late
	case e.Cancelled:
		result = stats.Cancelled
	case result == "":
		result = stats.Answered
	}
	h.config.Stats.Attempt(e.Send.Reason, result, e.Took)
	e.Span.Ended(result)
}

// show sets the gauges. It runs in the goroutine that owns the engine.
func (h *Host) show() {
	at := stats.Snapshot{
		Requests: int(h.running.Load()),
		Attempts: h.client.InFlight(),
		Seat:     h.seat.Load().(engine.Seat),
	}
	if s := h.current.Load(); s != nil {
		at.Config = s.Version
	}
	if h.config.Depths != nil {
		h.config.Depths(&at)
	}
	h.config.Stats.Show(at)
}
