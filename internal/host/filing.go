package host

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// filed is the end of a filing with its HTTP status.
type filed struct {
	status  int
	outcome engine.Outcome
	receipt string
	remedy  string
}

func (h *Host) file(w http.ResponseWriter, r *http.Request) {
	call, body, fault := h.begin(w, r)
	if fault != nil {
		h.answerFault(w, call, fault)
		return
	}
	var req wire.FilingRequest
	if fault := decodeStrict(body, &req); fault != nil {
		h.answerFault(w, call, fault)
		return
	}
	if req.Index == "" || req.Body == "" {
		h.answerFault(w, call, badRequest("Index or Body is empty: name the index and send the draft"))
		return
	}
	budget, fault := parseDeadline(0, r.Header.Get(wire.HeaderDeadline))
	if fault != nil {
		h.answerFault(w, call, fault)
		return
	}
	leave, refused := h.admit()
	if leave == nil {
		h.answerFiling(w, call, filed{
			status:  http.StatusServiceUnavailable,
			outcome: engine.NotRun,
			remedy:  refused,
		})
		return
	}
	defer leave()
	// A filing that has begun runs to its recorded end even if the caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), min(orDefault(budget, filingLimit), filingLimit))
	defer cancel()
	h.answerFiling(w, call, h.fileOnce(ctx, call, req))
}

func (h *Host) answerFiling(w http.ResponseWriter, c *call, f filed) {
	h.answer(w, c, f.status, wire.FilingAnswer{
		RequestID: c.id,
		Outcome:   f.outcome,
		Receipt:   f.receipt,
		Remedy:    f.remedy,
	})
}

// fileOnce reserves a filing, sends it at most once and records its outcome.
func (h *Host) fileOnce(ctx context.Context, c *call, req wire.FilingRequest) filed {
	// The window starts before the reservation is asked for, so it ends early
	// rather than late.
	window := time.Now().Add(sendWindow)
	res, err := h.config.Control.Reserve(ctx, Filing{
		Request:  c.id,
		Index:    req.Index,
		BodyHash: bodyHash(req),
	})
	if err != nil {
		h.config.Log.Warn("filing was not reserved", "RequestID", c.id, "Error", err.Error())
		return filed{
			status:  http.StatusServiceUnavailable,
			outcome: engine.NotRun,
			remedy:  "the control group did not answer and nothing was sent: send the same id again later",
		}
	}
	if res.Kind != Granted {
		return notGranted(res)
	}
	out := h.sendOnce(ctx, window, c, res.Fence, req)
	h.settle(ctx, c, res.Fence, &out)
	return out
}

// bodyHash identifies what is filed where. A zero byte parts the fields.
func bodyHash(req wire.FilingRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(req.Index) + "\x00" + req.Body)
	return d.Sum64()
}

func notGranted(res Reservation) filed {
	f := filed{
		status:  http.StatusServiceUnavailable,
		outcome: engine.NotRun,
		remedy:  res.Remedy,
	}
	switch res.Kind {
	case Recorded:
		f.outcome, f.receipt = res.Outcome, res.Receipt
		switch res.Outcome {
		case engine.Done:
			f.status = http.StatusOK
		case engine.Unknown:
			f.status = http.StatusGatewayTimeout
			f.remedy = orDefault(f.remedy, "whether the filing ran is not known: ask an operator to resolve it")
		}
	case Pending:
		f.outcome, f.status = engine.Unknown, http.StatusGatewayTimeout
		f.remedy = orDefault(f.remedy, "the filing is in progress: send the same id again later")
	case BodyDiffers:
		f.status = http.StatusConflict
		f.remedy = orDefault(f.remedy, "this request id was used with another body: use a new id")
	default:
		f.remedy = orDefault(f.remedy, "the control group has no majority: send the same id again later")
	}
	return f
}

// sendOnce sends a filing to one upstream. It goes on to another replica only
// when the one before provably did not run it.
func (h *Host) sendOnce(ctx context.Context, window time.Time, c *call, fence uint64, req wire.FilingRequest) filed {
	shard, targets := filingTargets(h.current.Load(), h.config.Domain, req.Index, c.id)
	last := errors.Errorf("index %q has no upstream: name one that exists", req.Index)
	for _, u := range targets {
		if !time.Now().Before(window) || ctx.Err() != nil {
			last = errors.New("the time to send it passed")
			break
		}
		receipt, fail := h.sendTo(ctx, u, shard, c, fence, req)
		if fail == nil {
			return filed{
				status:  http.StatusOK,
				outcome: engine.Done,
				receipt: receipt,
			}
		}
		if !fail.NotRun() {
			return unknown(fail)
		}
		last = fail
	}
	return filed{
		status:  http.StatusServiceUnavailable,
		outcome: engine.NotRun,
		remedy:  "no upstream took the filing (" + last.Error() + "): send the same id again later",
	}
}

func unknown(fail *dial.Failure) filed {
	status := http.StatusBadGateway
	if fail.Kind == engine.TimedOut {
		status = http.StatusGatewayTimeout
	}
	return filed{
		status:  status,
		outcome: engine.Unknown,
		remedy:  "whether the filing ran is not known (" + string(fail.Kind) + "): ask an operator to resolve it, or send the same id again to see the outcome",
	}
}

func (h *Host) sendTo(ctx context.Context, u config.Upstream, shard ident.Shard, c *call, fence uint64, req wire.FilingRequest) (string, *dial.Failure) {
	msg := wire.LeafFile{
		Request: c.id,
		Fence:   fence,
		Shard:   shard,
		Body:    req.Body,
	}
	if end, ok := ctx.Deadline(); ok {
		msg.RemainingMicros = time.Until(end).Microseconds()
	}
	raw, err := json.Marshal(msg)
	if err != nil {
		return "", &dial.Failure{
			Kind: engine.Refused,
			Err:  err,
		}
	}
	got, fail := h.client.File(ctx, u.ID, raw, c.traceparent)
	if fail != nil {
		return "", fail
	}
	if got.Request != c.id || got.Fence != fence {
		return "", &dial.Failure{
			Kind: engine.Malformed,
			Err:  errors.Errorf("upstream %q answered another filing", u.ID),
		}
	}
	return got.Receipt, nil
}

// filingTargets returns the shard that a filing belongs to, chosen by its id,
// and the upstreams that hold it, those of the host's own domain first.
func filingTargets(s *config.State, own ident.Domain, index ident.Index, id ident.RequestID) (ident.Shard, []config.Upstream) {
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
		case u.Index != index || u.Phase != config.Active || !slices.Contains(u.Shards, shard):
		case u.Domain == own:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	return shard, append(near, far...)
}

// settle records the outcome. The answer to the caller is already true: a
// Done that could not be recorded is Unknown to a later resend, and a NotRun
// whose release was lost becomes Unknown after the reservation's time.
func (h *Host) settle(ctx context.Context, c *call, fence uint64, f *filed) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	err := h.config.Control.Settle(ctx, Settlement{
		Request: c.id,
		Fence:   fence,
		Outcome: f.outcome,
		Receipt: f.receipt,
	})
	if err != nil {
		h.config.Log.Warn("outcome of a filing was not recorded", "RequestID", c.id, "Outcome", string(f.outcome), "Error", err.Error())
	}
}
