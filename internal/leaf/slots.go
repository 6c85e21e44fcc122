package leaf

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
)

// slots runs a bounded number of requests at once and lets a bounded number
// wait, first come first served.
type slots struct {
	size  int
	bound int

	mu      sync.Mutex
	running int
	peak    int
	waiting []chan struct{}
	// mean is a moving average of the service time.
	mean time.Duration
}

const meanWeight = 8 // a new service time counts one part in this many

func newSlots(size, bound int) *slots {
	return &slots{
		size:  size,
		bound: bound,
	}
}

// enter waits for a slot. It returns a kind of failure when the request must
// not run, and "" when it holds a slot, which leave frees.
func (s *slots) enter(ctx context.Context, remaining time.Duration) engine.FailKind {
	s.mu.Lock()
	if s.running < s.size {
		s.running++
		s.peak = max(s.peak, s.running)
		s.mu.Unlock()
		return ""
	}
	if len(s.waiting) >= s.bound || (remaining > 0 && s.expectedWait() > remaining) {
		s.mu.Unlock()
		return engine.Shed
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return s.giveUp(turn)
	}
	return ""
}

// expectedWait is the time until a request that starts to wait now has run.
func (s *slots) expectedWait() time.Duration {
	return s.mean * time.Duration(len(s.waiting)+1+s.size) / time.Duration(s.size)
}

func (s *slots) giveUp(turn chan struct{}) engine.FailKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return engine.TimedOut
		}
	}
	// The slot was already handed over; pass it on.
	s.free()
	return engine.TimedOut
}

func (s *slots) leave(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += (took - s.mean) / meanWeight
	s.free()
}

func (s *slots) free() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

func (s *slots) load() engine.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Load{
		Running: s.running,
		Waiting: len(s.waiting),
	}
}

func (s *slots) fill(st *Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Running = s.running
	st.Waiting = len(s.waiting)
	st.PeakRunning = s.peak
}
