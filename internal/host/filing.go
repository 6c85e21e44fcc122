package host

import (
	"context"
	"crypto/sha256"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func (h *Host) file(w http.ResponseWriter, r *http.Request) {
	call, fault := h.begin(r)
	var req wire.FilingRequest
	var budget time.Duration
	if fault == nil {
		req, budget, fault = h.parseFiling(w, r, call)
	}
	if fault != nil {
		h.answerFault(w, call, fault)
		return
	}
	leave, refused := h.admit(r.Context())
	if leave == nil {
		h.answerFiling(w, call, FilingEnd{
			Outcome: engine.NotRun,
			Remedy:  refused,
		})
		return
	}
	defer leave()
	// A filing that has begun runs to its recorded end even if the caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), budget)
	defer cancel()
	end := h.config.Control.File(ctx, Filing{
		Request:  call.id,
		BodyHash: sha256.Sum256([]byte(string(req.Index) + "\x00" + req.Body)),
		Budget:   budget,
	}, func(ctx context.Context, order FilingOrder) (string, engine.FailKind) {
		return h.sendFiling(ctx, call, req, order)
	})
	h.answerFiling(w, call, end)
}

func (h *Host) answerFiling(w http.ResponseWriter, c *call, end FilingEnd) {
	status := http.StatusOK
	switch {
	case end.BodyDiffers:
		status = http.StatusConflict
	case end.Outcome == engine.NotRun:
		status = http.StatusServiceUnavailable
	case end.Outcome == engine.Unknown:
		status = http.StatusGatewayTimeout
	}
	h.config.Stats.Filing(end.Outcome)
	c.span.Answered(end.Outcome)
	h.answer(w, c, status, wire.FilingAnswer{
		RequestID: c.id,
		Outcome:   end.Outcome,
		Receipt:   end.Receipt,
		Remedy:    end.Remedy,
	})
}

// sendFiling sends a filing to one upstream, another one for each earlier send.
func (h *Host) sendFiling(ctx context.Context, c *call, req wire.FilingRequest, order FilingOrder) (string, engine.FailKind) {
	shard, targets := filingTargets(h.current.Load(), h.config.Domain, req.Index, c.id, h.leaving.has)
	if len(targets) == 0 || !time.Now().Before(order.Until) {
		return "", engine.Refused
	}
	up := targets[order.Earlier%len(targets)]
	raw, err := wire.Encode(wire.LeafFile{
		Request:         c.id,
		Fence:           order.Fence,
		Shard:           shard,
		Body:            req.Body,
		RemainingMicros: max(0, time.Until(order.Deadline)).Microseconds(),
	})
	if err != nil {
		h.config.Log.Error("filing cannot be encoded: report this fault", "RequestID", string(c.id), "Error", err.Error())
		return "", engine.Refused
	}
	ctx, cancel := context.WithDeadline(ctx, order.Deadline)
	defer cancel()
	hop := c.span.Attempt(&engine.Send{
		Shard:    shard,
		Upstream: up.ID,
		Reason:   engine.First,
	})
	traceparent := c.span.Traceparent()
	if hop != nil {
		traceparent = hop.Traceparent()
	}
	got, fail := h.client.File(ctx, up.ID, raw, order.Until, traceparent)
	kind := engine.FailKind("")
	switch {
	case fail != nil:
		kind = fail.Kind
		if kind == engine.Draining {
			h.leaving.note(up.ID, true)
		}
		h.config.Log.Warn("filing was not answered", "RequestID", string(c.id), "Upstream", string(up.ID), "Error", fail.Error())
	case got.Request != c.id || got.Fence != order.Fence:
		kind = engine.Malformed
		h.config.Log.Warn("filing was answered with another one's receipt", "RequestID", string(c.id), "Upstream", string(up.ID))
	}
	hop.Ended(orDefault(kind, stats.Answered))
	return got.Receipt, kind
}

// filingTargets returns the shard that a filing belongs to, chosen by its id,
// and the upstreams that hold it and do not leave, those of the host's own
// domain first.
func filingTargets(s *config.State, own ident.Domain, index ident.Index, id ident.RequestID, leaves func(ident.Upstream) bool) (ident.Shard, []config.Upstream) {
	var shards []ident.Shard
	for i := range s.Upstreams {
		if s.Upstreams[i].Index == index {
			shards = append(shards, s.Upstreams[i].Shards...)
		}
	}
	if len(shards) == 0 {
		return "", nil
	}
	slices.Sort(shards)
	shards = slices.Compact(shards)
	shard := shards[xxhash.Sum64String(string(id))%uint64(len(shards))]
	var near, far []config.Upstream
	for _, u := range s.Upstreams {
		switch {
		case u.Index != index || u.Phase != config.Active || !slices.Contains(u.Shards, shard) || leaves(u.ID):
		case u.Domain == own:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	return shard, append(near, far...)
}
