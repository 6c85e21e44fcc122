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
	// drainTime is how long a leaf may still receive new requests after the
	// instance list shows it as draining.
	drainTime = 3 * time.Second

	// diskRecoveryTime is how long a control host that restarted after a disk
	// failure counts as faulty, since it first has to catch up with the others.
	diskRecoveryTime = 5 * time.Second
)

// injectFaults injects random faults, some concurrently, until ctx ends.
func (cl *cluster) injectFaults(ctx context.Context, rng *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { cl.rollEntries(ctx, rand.New(rand.NewPCG(cl.seed, 5))) })
	for ctx.Err() == nil {
		pause(ctx, time.Duration(100+rng.IntN(1500))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		sub := rand.New(rand.NewPCG(rng.Uint64(), 4))
		switch rng.IntN(11) {
		case 10:
			group.Go(func() { cl.limitLeaves(ctx, sub) })
		case 0, 1, 2:
			group.Go(func() { cl.faultLeaves(ctx, sub) })
		case 3:
			group.Go(func() { cl.reassignLeaf(ctx, sub) })
		case 4:
			group.Go(func() { cl.faultList(ctx, sub) })
		case 5, 6:
			group.Go(func() { cl.faultLink(ctx, sub) })
		default:
			group.Go(func() { cl.faultProcesses(ctx, sub) })
		}
	}
}

// rollEntries stops and starts entry hosts one after the other until ctx ends, as a
// release does.
func (cl *cluster) rollEntries(ctx context.Context, rng *rand.Rand) {
	for {
		pause(ctx, randomDuration(rng, 2*time.Second, 6*time.Second))
		cl.signalMu.Lock()
		if ctx.Err() == nil {
			h := cl.entries[rng.IntN(len(cl.entries))]
			cl.restart(ctx, h, randomDuration(rng, 50*time.Millisecond, time.Second))
		}
		cl.signalMu.Unlock()
		if ctx.Err() != nil {
			return
		}
	}
}

func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func (cl *cluster) faultLeaves(ctx context.Context, rng *rand.Rand) {
	b := behavior(1 + rng.IntN(int(behaviorCount)-1))
	var chosen []*leaf
	for range 1 + rng.IntN(len(cl.leaves)/4) {
		l := cl.leaves[rng.IntN(len(cl.leaves))]
		l.setBehavior(b)
		chosen = append(chosen, l)
	}
	pause(ctx, randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	for _, l := range chosen {
		l.setBehavior(healthy)
	}
}

// limitLeaves makes the leaves of some services name limits below what they get.
func (cl *cluster) limitLeaves(ctx context.Context, rng *rand.Rand) {
	var chosen []*leaf
	for range 1 + rng.IntN(4) {
		l := cl.leaves[rng.IntN(len(cl.leaves))]
		l.setLimit(1 + 20*rng.Float64())
		chosen = append(chosen, l)
	}
	pause(ctx, randomDuration(rng, limitGrace, 4*limitGrace))
	for _, l := range chosen {
		l.setLimit(0)
	}
}

// reassignLeaf drains a leaf, replaces it by an instance of another service at
// the same address, and later restores the first service.
func (cl *cluster) reassignLeaf(ctx context.Context, rng *rand.Rand) {
	cl.moveMu.Lock()
	defer cl.moveMu.Unlock()
	l := cl.leaves[rng.IntN(2*shardCount)]
	_, service, _ := l.state()
	l.mu.Lock()
	l.draining = time.Now()
	l.mu.Unlock()
	pause(ctx, randomDuration(rng, drainTime, 2*drainTime))
	l.replace("desk")
	pause(ctx, randomDuration(rng, time.Second, 3*time.Second))
	l.replace(service)
}

func (cl *cluster) faultList(ctx context.Context, rng *rand.Rand) {
	cl.listDown.Store(true)
	pause(ctx, randomDuration(rng, 500*time.Millisecond, 3*time.Second))
	cl.listDown.Store(false)
	cl.listUpAt.Store(time.Now().UnixNano())
}

func (cl *cluster) faultLink(ctx context.Context, rng *rand.Rand) {
	h := cl.randomHost(rng)
	d := randomDuration(rng, 100*time.Millisecond, 5*time.Second)
	h.recordFault(d, false)
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
		cl.t.Error(err)
	}
	pause(ctx, d)
	if rng.IntN(2) == 0 {
		h.proxy.HalfOpen()
	}
	if err := h.proxy.Set(fault.Rules{}); err != nil {
		cl.t.Error(err)
	}
	h.recordFault(0, false)
}

func (cl *cluster) randomHost(rng *rand.Rand) *host {
	if rng.IntN(3) == 0 {
		return cl.controls[rng.IntN(len(cl.controls))]
	}
	return cl.entries[rng.IntN(len(cl.entries))]
}

// faultProcesses kills, freezes, restarts or reconfigures one or more processes
// and brings them back.
func (cl *cluster) faultProcesses(ctx context.Context, rng *rand.Rand) {
	if !cl.signalMu.TryLock() {
		return // only one goroutine may stop and start processes
	}
	defer cl.signalMu.Unlock()
	downtime := randomDuration(rng, 50*time.Millisecond, 3*time.Second)
	h := cl.randomHost(rng)
	switch rng.IntN(9) {
	case 0, 1: // killed
		h.recordFault(downtime, false)
		h.terminate(syscall.SIGKILL, graceTime)
		pause(ctx, downtime)
		h.writeSettings(false, rng.IntN(3))
		h.start()
	case 2, 3: // frozen
		h.recordFault(downtime, false)
		h.signal(syscall.SIGSTOP)
		pause(ctx, downtime)
		h.signal(syscall.SIGCONT)
	case 4: // rolling restart of the entry hosts
		for _, e := range cl.entries {
			if ctx.Err() != nil {
				return
			}
			cl.restart(ctx, e, randomDuration(rng, 50*time.Millisecond, time.Second))
		}
	case 5:
		cl.restart(ctx, h, downtime)
	case 6: // settings change, with or without a signal
		h.writeSettings(false, rng.IntN(3))
		h.recordFault(time.Second, true)
		if rng.IntN(2) == 0 {
			h.awaitHandlers()
			h.signal(syscall.SIGHUP)
		}
	case 7: // about half of all hosts killed at once
		var group sync.WaitGroup
		for _, o := range append(append([]*host{}, cl.controls...), cl.entries...) {
			if rng.IntN(2) == 0 {
				o.recordFault(downtime, false)
				group.Go(func() {
					o.terminate(syscall.SIGKILL, graceTime)
					pause(ctx, downtime)
					o.writeSettings(false, 0)
					o.start()
					o.recordFault(0, false)
				})
			}
		}
		group.Wait()
	case 8:
		cl.failDisk(ctx, rng)
	}
	h.recordFault(0, false)
}

// restart stops a host with SIGTERM, as in planned maintenance, and starts it
// again.
func (cl *cluster) restart(ctx context.Context, h *host, downtime time.Duration) {
	h.recordFault(graceTime+downtime, true)
	cl.checkStop(h, graceTime)
	pause(ctx, downtime)
	h.writeSettings(false, 0)
	h.start()
	h.recordFault(time.Second, true)
}

// checkStop stops a host and checks that it ends in time, and by itself. During every
// second stop, the first one included, further signals come.
func (cl *cluster) checkStop(h *host, within time.Duration) {
	if cl.stops.Add(1)%2 == 1 {
		h.awaitHandlers()
		h.signal(syscall.SIGHUP)
		for i, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			timer := time.AfterFunc(time.Duration(i+1)*100*time.Millisecond, func() { h.signal(s) })
			defer timer.Stop()
		}
	}
	if !h.terminate(syscall.SIGTERM, within) {
		cl.history.violation(ruleExit, "%s did not end within %s of SIGTERM", h.name, within)
	} else if err := h.exitError(); err != nil {
		cl.history.violation(ruleExit, "%s was ended by something else than its planned stop, %s after its start: %v", h.name, h.age(), err)
	}
}

// failDisk makes the storage of one control host fail, or empties it. It does
// nothing while any control host has had a recent fault, since the control
// group tolerates one failed disk at a time (setting "lost 1").
func (cl *cluster) failDisk(ctx context.Context, rng *rand.Rand) {
	h := cl.controls[rng.IntN(len(cl.controls))]
	if cl.controlFaultFree() < diskRecoveryTime {
		return
	}
	h.recordFault(diskRecoveryTime, false)
	if rng.IntN(2) == 0 {
		h.limitFileSize()
		pause(ctx, randomDuration(rng, time.Second, 3*time.Second))
		h.terminate(syscall.SIGKILL, graceTime)
	} else {
		h.terminate(syscall.SIGKILL, graceTime)
		if err := os.RemoveAll(filepath.Join(h.folder, "data")); err != nil {
			cl.t.Error(err)
		}
	}
	h.writeSettings(false, 0)
	h.start()
	h.recordFault(diskRecoveryTime, false)
	pause(ctx, diskRecoveryTime)
}
