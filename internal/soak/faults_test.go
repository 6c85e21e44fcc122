package soak_test

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jujubethread/jujubethread/internal/fault"
)

const (
	// drainTime is how long after the list shows it a leaf that leaves may
	// still get new work.
	drainTime = 3 * time.Second

	// catchUp is how long a control host that lost its disk counts as lost
	// after it is back.
	catchUp = 5 * time.Second
)

// disturb makes random faults, some at once, until ctx ends.
func (w *world) disturb(ctx context.Context, rng *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(100+rng.IntN(1500))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		one := rand.New(rand.NewPCG(rng.Uint64(), 4))
		switch rng.IntN(10) {
		case 0, 1, 2:
			group.Go(func() { w.disturbLeaves(ctx, one) })
		case 3:
			group.Go(func() { w.moveLeaf(ctx, one) })
		case 4:
			group.Go(func() { w.disturbList(ctx, one) })
		case 5, 6:
			group.Go(func() { w.disturbLink(ctx, one) })
		default:
			group.Go(func() { w.disturbProcesses(ctx, one) })
		}
	}
}

func span(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func (w *world) disturbLeaves(ctx context.Context, rng *rand.Rand) {
	m := mood(1 + rng.IntN(int(moods)-1))
	var some []*leaf
	for range 1 + rng.IntN(len(w.leaves)/4) {
		l := w.leaves[rng.IntN(len(w.leaves))]
		l.set(m)
		some = append(some, l)
	}
	pause(ctx, span(rng, 200*time.Millisecond, 4*time.Second))
	for _, l := range some {
		l.set(well)
	}
}

// moveLeaf drains a leaf, ends it and gives its address to another service.
func (w *world) moveLeaf(ctx context.Context, rng *rand.Rand) {
	w.moving.Lock()
	defer w.moving.Unlock()
	l := w.leaves[rng.IntN(2*shardCount)]
	_, service, _ := l.state()
	l.mu.Lock()
	l.draining = time.Now()
	l.mu.Unlock()
	pause(ctx, span(rng, drainTime, 2*drainTime))
	l.replace("desk")
	pause(ctx, span(rng, time.Second, 3*time.Second))
	l.replace(service)
}

func (w *world) disturbList(ctx context.Context, rng *rand.Rand) {
	w.listDown.Store(true)
	pause(ctx, span(rng, 500*time.Millisecond, 3*time.Second))
	w.listDown.Store(false)
	w.listBack.Store(time.Now().UnixNano())
}

func (w *world) disturbLink(ctx context.Context, rng *rand.Rand) {
	h := w.anyHost(rng)
	d := span(rng, 100*time.Millisecond, 5*time.Second)
	h.disturb(d, false)
	var r fault.Rules
	switch rng.IntN(5) {
	case 0:
		r.Forward.Blackhole = true
	case 1:
		r.Backward.Blackhole = true
	case 2:
		r.Forward.Blackhole, r.Backward.Blackhole = true, true
	case 3:
		r.Forward.DelayMicros, r.Forward.JitterMicros = int64(rng.IntN(80_000)), 20_000
	case 4:
		h.proxy.Cut()
		return
	}
	if err := h.proxy.Set(r); err != nil {
		w.t.Error(err)
	}
	pause(ctx, d)
	if rng.IntN(2) == 0 {
		h.proxy.HalfOpen()
	}
	if err := h.proxy.Set(fault.Rules{}); err != nil {
		w.t.Error(err)
	}
	h.disturb(0, false)
}

func (w *world) anyHost(rng *rand.Rand) *host {
	if rng.IntN(3) == 0 {
		return w.controls[rng.IntN(len(w.controls))]
	}
	return w.entries[rng.IntN(len(w.entries))]
}

// disturbProcesses signals one or many processes and starts them again.
func (w *world) disturbProcesses(ctx context.Context, rng *rand.Rand) {
	if !w.signalling.TryLock() {
		return // a process has one signaller at a time
	}
	defer w.signalling.Unlock()
	down := span(rng, 50*time.Millisecond, 3*time.Second)
	h := w.anyHost(rng)
	switch rng.IntN(9) {
	case 0, 1: // killed
		h.disturb(down, false)
		h.end(syscall.SIGKILL, graceTime)
		pause(ctx, down)
		h.settings(false, rng.IntN(3))
		h.start()
	case 2, 3: // frozen
		h.disturb(down, false)
		h.signal(syscall.SIGSTOP)
		pause(ctx, down)
		h.signal(syscall.SIGCONT)
	case 4: // stopped and started in turn
		for _, e := range w.entries {
			if ctx.Err() != nil {
				return
			}
			w.stop(ctx, e, span(rng, 50*time.Millisecond, time.Second))
		}
	case 5:
		w.stop(ctx, h, down)
	case 6: // settings change, with or without a signal
		h.settings(false, rng.IntN(3))
		h.disturb(time.Second, true)
		if rng.IntN(2) == 0 {
			h.signal(syscall.SIGHUP)
		}
	case 7: // many at once
		var group sync.WaitGroup
		for _, o := range append(append([]*host{}, w.controls...), w.entries...) {
			if rng.IntN(2) == 0 {
				o.disturb(down, false)
				group.Go(func() {
					o.end(syscall.SIGKILL, graceTime)
					pause(ctx, down)
					o.settings(false, 0)
					o.start()
					o.disturb(0, false)
				})
			}
		}
		group.Wait()
	case 8:
		w.loseDisk(ctx, rng)
	}
	h.disturb(0, false)
}

// stop ends a host as planned work does and starts it again.
func (w *world) stop(ctx context.Context, h *host, down time.Duration) {
	h.disturb(graceTime+down, true)
	if !h.end(syscall.SIGTERM, graceTime) {
		w.ledger.fault(exit, "%s did not end within %s of SIGTERM", h.name, graceTime)
	}
	pause(ctx, down)
	h.settings(false, 0)
	h.start()
	h.disturb(time.Second, true)
}

// loseDisk makes the storage of one control host fail or empties it. Only one
// may be lost at a time.
func (w *world) loseDisk(ctx context.Context, rng *rand.Rand) {
	h := w.controls[rng.IntN(len(w.controls))]
	if w.coreCalm() < catchUp {
		return
	}
	h.disturb(catchUp, false)
	if rng.IntN(2) == 0 {
		h.limitFiles()
		pause(ctx, span(rng, time.Second, 3*time.Second))
		h.end(syscall.SIGKILL, graceTime)
	} else {
		h.end(syscall.SIGKILL, graceTime)
		if err := os.RemoveAll(filepath.Join(h.folder, "data")); err != nil {
			w.t.Error(err)
		}
	}
	h.settings(false, 0)
	h.start()
	h.disturb(catchUp, false)
	pause(ctx, catchUp)
}
