package leaf

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jujubethread/jujubethread/internal/synth"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func (l *Leaf) search(w http.ResponseWriter, r *http.Request) {
	req, err := wire.DecodeLeafSearch(r.Body)
	if err != nil {
		l.rejectBody(w, err)
		return
	}
	l.countArrival(false)
	call := wire.LeafError{
		Request: req.Request,
		Attempt: req.Attempt,
	}
	ctx, cancel := withDeadline(r.Context(), req.RemainingMicros)
	defer cancel()
	if kind := l.admitSearch(req.Shard, req.Version); kind != "" {
		l.reject(w, kind, call)
		return
	}
	if kind := l.slots.acquire(ctx, remaining(req.RemainingMicros)); kind != "" {
		l.abort(w, r, kind, call)
		return
	}
	// A search that has started is answered even if its version is dropped
	// before it completes.
	l.count(func(s *Stats) { s.Runs++ })
	l.recent.add(req.Request)
	if terms := l.Faults().CrashTerms; terms != "" && terms == req.Terms {
		l.slots.release(0)
		l.crash()
	}
	start := time.Now()
	completed := l.simulateWork(ctx)
	l.slots.release(time.Since(start))
	if !completed {
		l.abort(w, r, engine.TimedOut, call)
		return
	}
	l.answer(w, r, req)
}

func (l *Leaf) file(w http.ResponseWriter, r *http.Request) {
	req, err := wire.DecodeLeafFile(r.Body)
	if err != nil {
		l.rejectBody(w, err)
		return
	}
	l.countArrival(true)
	call := wire.LeafError{
		Request: req.Request,
		Fence:   req.Fence,
	}
	ctx, cancel := withDeadline(r.Context(), req.RemainingMicros)
	defer cancel()
	if kind := l.admitFiling(req.Shard); kind != "" {
		l.reject(w, kind, call)
		return
	}
	if kind := l.slots.acquire(ctx, remaining(req.RemainingMicros)); kind != "" {
		l.abort(w, r, kind, call)
		return
	}
	// From here on the filing counts as run. It completes even if its sender
	// disconnects or its deadline passes.
	l.mu.Lock()
	l.stats.FilingRuns++
	l.filings[req.Request]++
	l.mu.Unlock()
	start := time.Now()
	l.simulateWork(context.WithoutCancel(ctx))
	l.slots.release(time.Since(start))
	if l.random.chance(l.Faults().LostAnswer) {
		panic(http.ErrAbortHandler)
	}
	_ = wire.Reply(w, http.StatusOK, wire.LeafFiled{
		Request: req.Request,
		Fence:   req.Fence,
		Receipt: fmt.Sprintf("%s-%d", l.cfg.Upstream.ID, req.Fence),
	})
}

func (l *Leaf) health(w http.ResponseWriter, _ *http.Request) {
	report := wire.LeafHealth{
		Health: engine.HealthReady,
		Load:   l.reportedLoad(),
		Held:   l.store.held(),
	}
	l.mu.Lock()
	l.stats.Probes++
	draining, misleading := l.draining, l.faults.Misleading
	l.mu.Unlock()
	switch {
	case misleading:
	case draining:
		report.Health = engine.HealthDraining
	case l.coldStartFactor() > 1:
		report.Health = engine.HealthCold
	}
	_ = wire.Reply(w, http.StatusOK, report)
}

func (l *Leaf) countArrival(filing bool) {
	l.count(func(s *Stats) {
		s.Requests++
		s.LastRequest = time.Now()
		if filing {
			s.Filings++
		} else if l.rate.arrived(s.LastRequest) {
			s.OverRate++
		}
		if l.draining && s.LastRequest.Sub(s.DrainedAt) > drainGracePeriod {
			s.LateWork++
		}
	})
}

// admitSearch returns the reason to reject a search, or "".
func (l *Leaf) admitSearch(shard ident.Shard, v ident.IndexVersion) engine.FailKind {
	if kind := l.admitFiling(shard); kind != "" {
		return kind
	}
	return l.store.admit(shard, v)
}

func (l *Leaf) admitFiling(shard ident.Shard) engine.FailKind {
	l.mu.Lock()
	draining, shed := l.draining, l.faults.ShedFraction
	l.mu.Unlock()
	switch {
	case draining:
		return engine.Draining
	case l.random.chance(shed):
		return engine.Shed
	case !l.store.hasShard(shard):
		return engine.WrongShard
	}
	return ""
}

// simulateWork waits for a drawn service time. It reports false if the context
// ends first.
func (l *Leaf) simulateWork(ctx context.Context) bool {
	f := l.Faults()
	serviceTime := float64(l.random.serviceTime(l.cfg.ServiceTime)) * l.coldStartFactor()
	if l.random.chance(f.SlowFraction) {
		serviceTime *= f.SlowFactor
	}
	if serviceTime <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(serviceTime))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// abort ends a request that was shed, was cancelled or exceeded its deadline. A
// cancelled request gets no answer, since its sender disconnected.
func (l *Leaf) abort(w http.ResponseWriter, r *http.Request, kind engine.FailKind, call wire.LeafError) {
	if kind == engine.TimedOut && errors.Is(r.Context().Err(), context.Canceled) {
		l.count(func(s *Stats) { s.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	l.reject(w, kind, call)
}

// reject answers a request that did not run; call names it.
func (l *Leaf) reject(w http.ResponseWriter, kind engine.FailKind, call wire.LeafError) {
	l.countFailure(kind)
	body := call
	body.Kind = kind
	status := http.StatusServiceUnavailable
	switch kind {
	case engine.Shed:
		body.Remedy = "ask another replica, or later"
	case engine.Draining:
		body.Remedy = "ask another replica; this upstream is leaving"
	case engine.VersionGone, engine.WrongShard:
		status = http.StatusConflict
		body.Remedy = "ask for one of the shards and versions in Held"
		body.Held = l.store.held()
	case engine.TimedOut:
		status = http.StatusGatewayTimeout
		body.Remedy = "give more time"
	}
	_ = wire.Reply(w, status, body)
}

func (l *Leaf) rejectBody(w http.ResponseWriter, err error) {
	l.countFailure(engine.Malformed)
	status := http.StatusBadRequest
	var decodeErr *wire.Error
	if errors.As(err, &decodeErr) {
		status = decodeErr.Status()
	}
	_ = wire.Reply(w, status, wire.LeafError{
		Kind:   engine.Malformed,
		Remedy: err.Error(),
	})
}

func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, req wire.LeafSearch) {
	answer := engine.Answer{
		Request: req.Request,
		Attempt: req.Attempt,
		Shard:   req.Shard,
		Version: req.Version,
		Load:    l.reportedLoad(),
		Held:    l.store.held(),

		PerSecond: l.namedLimit(),
	}
	documentsVersion := req.Version
	if corrupted := l.corrupt(&answer, &documentsVersion); corrupted {
		l.count(func(s *Stats) { s.WrongAnswers++ })
	}
	answer.Documents = synth.Documents(l.cfg.Seed, answer.Shard, documentsVersion, req.Terms, req.Limit)
	if l.sendFaulty(w, r, answer) {
		l.count(func(s *Stats) { s.WrongAnswers++ })
		return
	}
	if wire.Reply(w, http.StatusOK, answer) == nil {
		l.count(func(s *Stats) { s.Answered++ })
	}
}

// namedLimit returns the limit for an answer, 0 for none.
func (l *Leaf) namedLimit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.PerSecond > 0 {
		l.rate.named(time.Now())
	}
	return l.faults.PerSecond
}

func withDeadline(ctx context.Context, micros int64) (context.Context, context.CancelFunc) {
	if micros == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, remaining(micros))
}

func remaining(micros int64) time.Duration { return time.Duration(micros) * time.Microsecond }
