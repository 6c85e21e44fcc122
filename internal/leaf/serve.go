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
	ask, err := wire.DecodeLeafSearch(r.Body)
	if err != nil {
		l.refuseBody(w, err)
		return
	}
	l.arrived(false)
	ctx, cancel := withRemaining(r.Context(), ask.RemainingMicros)
	defer cancel()
	if kind := l.admit(ask.Shard, ask.Version); kind != "" {
		l.refuse(w, kind)
		return
	}
	if kind := l.slots.enter(ctx, remaining(ask.RemainingMicros)); kind != "" {
		l.endEarly(w, r, kind)
		return
	}
	// What was held at the start of the run is answered, also when the
	// version is dropped meanwhile.
	l.count(func(s *Stats) { s.Runs++ })
	l.memory.add(ask.Request)
	start := time.Now()
	done := l.work(ctx)
	l.slots.leave(time.Since(start))
	if !done {
		l.endEarly(w, r, engine.TimedOut)
		return
	}
	l.answer(w, r, ask)
}

func (l *Leaf) file(w http.ResponseWriter, r *http.Request) {
	ask, err := wire.DecodeLeafFile(r.Body)
	if err != nil {
		l.refuseBody(w, err)
		return
	}
	l.arrived(true)
	ctx, cancel := withRemaining(r.Context(), ask.RemainingMicros)
	defer cancel()
	if kind := l.admitFiling(ask.Shard); kind != "" {
		l.refuse(w, kind)
		return
	}
	if kind := l.slots.enter(ctx, remaining(ask.RemainingMicros)); kind != "" {
		l.endEarly(w, r, kind)
		return
	}
	// From here on the filing counts as run and ends whether or not its sender
	// waits for it.
	l.mu.Lock()
	l.tally.FilingRuns++
	l.filings[ask.Request]++
	l.mu.Unlock()
	start := time.Now()
	l.work(context.WithoutCancel(ctx))
	l.slots.leave(time.Since(start))
	if l.random.hit(l.Faults().LostAnswer) {
		panic(http.ErrAbortHandler)
	}
	_ = wire.Reply(w, http.StatusOK, wire.LeafFiled{
		Request: ask.Request,
		Fence:   ask.Fence,
		Receipt: fmt.Sprintf("%s-%d", l.cfg.Upstream.ID, ask.Fence),
	})
}

func (l *Leaf) health(w http.ResponseWriter, _ *http.Request) {
	report := wire.LeafHealth{
		Health: engine.HealthReady,
		Load:   l.reported(),
		Held:   l.store.held(),
	}
	l.mu.Lock()
	l.tally.Probes++
	drain, misleading := l.drain, l.faults.Misleading
	l.mu.Unlock()
	switch {
	case misleading:
	case drain:
		report.Health = engine.HealthDraining
	case l.coldNow() > 1:
		report.Health = engine.HealthCold
	}
	_ = wire.Reply(w, http.StatusOK, report)
}

func (l *Leaf) arrived(filing bool) {
	l.count(func(s *Stats) {
		s.Requests++
		if filing {
			s.Filings++
		}
		s.LastRequest = time.Now()
		if l.drain && s.LastRequest.Sub(s.DrainedAt) > leaveTime {
			s.LateWork++
		}
	})
}

// admit returns why a search must not run, or "".
func (l *Leaf) admit(shard ident.Shard, v ident.IndexVersion) engine.FailKind {
	if kind := l.admitFiling(shard); kind != "" {
		return kind
	}
	return l.store.find(shard, v)
}

func (l *Leaf) admitFiling(shard ident.Shard) engine.FailKind {
	l.mu.Lock()
	drain, shed := l.drain, l.faults.ShedFraction
	l.mu.Unlock()
	switch {
	case drain:
		return engine.Draining
	case l.random.hit(shed):
		return engine.Shed
	case !l.store.holds(shard):
		return engine.WrongShard
	}
	return ""
}

// work takes the service time. It reports false if the context ended first.
func (l *Leaf) work(ctx context.Context) bool {
	f := l.Faults()
	took := float64(l.random.serviceTime(l.cfg.Service)) * l.coldNow()
	if l.random.hit(f.SlowFraction) {
		took *= f.SlowFactor
	}
	if took <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(took))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// endEarly ends a request that was shed, cancelled or too late.
func (l *Leaf) endEarly(w http.ResponseWriter, r *http.Request, kind engine.FailKind) {
	if kind == engine.TimedOut && errors.Is(r.Context().Err(), context.Canceled) {
		l.count(func(s *Stats) { s.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	l.refuse(w, kind)
}

func (l *Leaf) refuse(w http.ResponseWriter, kind engine.FailKind) {
	l.countKind(kind)
	body := wire.LeafError{Kind: kind}
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

func (l *Leaf) refuseBody(w http.ResponseWriter, err error) {
	l.countKind(engine.Malformed)
	status := http.StatusBadRequest
	var bad *wire.Error
	if errors.As(err, &bad) {
		status = bad.Status()
	}
	_ = wire.Reply(w, status, wire.LeafError{
		Kind:   engine.Malformed,
		Remedy: err.Error(),
	})
}

func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, ask wire.LeafSearch) {
	a := engine.Answer{
		Request: ask.Request,
		Attempt: ask.Attempt,
		Shard:   ask.Shard,
		Version: ask.Version,
		Load:    l.reported(),
		Held:    l.store.held(),
	}
	source := ask.Version
	if wrong := l.spoil(&a, &source); wrong {
		l.count(func(s *Stats) { s.WrongAnswers++ })
	}
	a.Documents = synth.Documents(l.cfg.Seed, a.Shard, source, ask.Terms, ask.Limit)
	if l.sendBroken(w, r, a) {
		l.count(func(s *Stats) { s.WrongAnswers++ })
		return
	}
	if wire.Reply(w, http.StatusOK, a) == nil {
		l.count(func(s *Stats) { s.Answered++ })
	}
}

func withRemaining(ctx context.Context, micros int64) (context.Context, context.CancelFunc) {
	if micros == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, remaining(micros))
}

func remaining(micros int64) time.Duration { return time.Duration(micros) * time.Microsecond }
