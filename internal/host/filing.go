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

func (h *Host) handleFiling(w http.ResponseWriter, r *http.Request) {
	call, reqErr := h.startCall(r)
	var req wire.FilingRequest
	var budget time.Duration
	if reqErr == nil {
		req, budget, reqErr = h.parseFiling(w, r, call)
	}
	if reqErr != nil {
		h.answerError(w, call, reqErr)
		return
	}
	release, remedy := h.admit(r.Context())
	if release == nil {
		h.answerFiling(w, call, FilingResult{
			Outcome: engine.NotRun,
			Remedy:  remedy,
		})
		return
	}
	defer release()
	// A filing that has started runs until its outcome is recorded, even if the
	// caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), budget)
	defer cancel()
	result := h.config.Control.File(ctx, Filing{
		Request:  call.id,
		BodyHash: sha256.Sum256([]byte(string(req.Index) + "\x00" + req.Body)),
		Budget:   budget,
	}, func(ctx context.Context, permit SendPermit) (string, engine.FailKind) {
		return h.sendFiling(ctx, call, req, permit)
	})
	h.answerFiling(w, call, result)
}

func (h *Host) answerFiling(w http.ResponseWriter, c *call, result FilingResult) {
	status := http.StatusOK
	switch {
	case result.BodyDiffers:
		status = http.StatusConflict
	case result.Outcome == engine.NotRun:
		status = http.StatusServiceUnavailable
	case result.Outcome == engine.Unknown:
		status = http.StatusGatewayTimeout
	}
	h.config.Stats.Filing(result.Outcome)
	c.span.EndWithOutcome(result.Outcome)
	h.answer(w, c, status, wire.FilingAnswer{
		RequestID: c.id,
		Outcome:   result.Outcome,
		Receipt:   result.Receipt,
		Remedy:    result.Remedy,
	})
}

// sendFiling sends a filing to one upstream, and to the next target after each
// earlier send.
func (h *Host) sendFiling(ctx context.Context, c *call, req wire.FilingRequest, permit SendPermit) (string, engine.FailKind) {
	shard, targets := filingTargets(h.activeConfig.Load(), h.config.Domain, req.Index, c.id, h.draining.contains)
	if len(targets) == 0 || !time.Now().Before(permit.Until) {
		return "", engine.Refused
	}
	target := targets[permit.Earlier%len(targets)]
	ctx, cancel := context.WithDeadline(ctx, permit.Deadline)
	defer cancel()
	attemptSpan := c.span.StartAttempt(&engine.Send{
		Shard:    shard,
		Upstream: target.ID,
		Reason:   engine.First,
	})
	traceparent := c.span.Traceparent()
	if attemptSpan != nil {
		traceparent = attemptSpan.Traceparent()
	}
	filed, failure := h.client.File(ctx, target.ID, wire.LeafFile{
		Request:         c.id,
		Fence:           permit.Fence,
		Shard:           shard,
		Body:            req.Body,
		RemainingMicros: max(0, time.Until(permit.Deadline)).Microseconds(),
	}, permit.Until, traceparent)
	kind := engine.FailKind("")
	switch {
	case failure != nil:
		kind = failure.Kind
		if kind == engine.Draining {
			h.draining.set(target.ID, true)
		}
		h.config.Log.Warn("filing got no valid answer", "RequestID", string(c.id), "Upstream", string(target.ID), "Error", failure.Error())
	case filed.Request != c.id || filed.Fence != permit.Fence:
		kind = engine.Malformed
		h.config.Log.Warn("filing was answered with the receipt of another filing", "RequestID", string(c.id), "Upstream", string(target.ID))
	}
	attemptSpan.EndWithResult(orDefault(kind, stats.Answered))
	return filed.Receipt, kind
}

// filingTargets returns the shard of a filing, chosen by a hash of its id, and
// the active upstreams that hold the shard and are not draining, those of the
// host's own failure domain first.
func filingTargets(state *config.State, domain ident.Domain, index ident.Index, id ident.RequestID, draining func(ident.Upstream) bool) (ident.Shard, []config.Upstream) {
	var shards []ident.Shard
	for i := range state.Upstreams {
		if state.Upstreams[i].Index == index {
			shards = append(shards, state.Upstreams[i].Shards...)
		}
	}
	if len(shards) == 0 {
		return "", nil
	}
	slices.Sort(shards)
	shards = slices.Compact(shards)
	shard := shards[xxhash.Sum64String(string(id))%uint64(len(shards))]
	var local, remote []config.Upstream
	for _, u := range state.Upstreams {
		switch {
		case u.Index != index || u.Phase != config.Active || !slices.Contains(u.Shards, shard) || draining(u.ID):
		case u.Domain == domain:
			local = append(local, u)
		default:
			remote = append(remote, u)
		}
	}
	return shard, append(local, remote...)
}
