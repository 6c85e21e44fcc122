package leaf

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
)

// slots limits the number of requests that run concurrently. When all slots are
// taken, a bounded number of requests waits in FIFO order.
type slots struct {
	capacity   int
	queueBound int

	mu      sync.Mutex
	running int
	peak    int
	waiting []chan struct{}
	// meanServiceTime is an EWMA.
	meanServiceTime time.Duration
}

const meanDivisor = 8 // weight of a new service time in the EWMA: 1/meanDivisor

func newSlots(capacity, queueBound int) *slots {
	return &slots{
		capacity:   capacity,
		queueBound: queueBound,
	}
}

// acquire waits for a slot and returns "" once the request has one; release frees
// it. It returns Shed if the queue is full or the expected wait exceeds the
// remaining time (0 means no deadline), and TimedOut if the context ends first.
func (s *slots) acquire(ctx context.Context, remaining time.Duration) engine.FailKind {
	s.mu.Lock()
	if s.running < s.capacity {
		s.running++
		s.peak = max(s.peak, s.running)
		s.mu.Unlock()
		return ""
	}
	if len(s.waiting) >= s.queueBound || (remaining > 0 && s.expectedWait() > remaining) {
		s.mu.Unlock()
		return engine.Shed
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return s.cancelWait(granted)
	}
	return ""
}

// expectedWait estimates the time until a request that joins the queue now
// completes.
func (s *slots) expectedWait() time.Duration {
	return s.meanServiceTime * time.Duration(len(s.waiting)+1+s.capacity) / time.Duration(s.capacity)
}

func (s *slots) cancelWait(granted chan struct{}) engine.FailKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return engine.TimedOut
		}
	}
	// The slot was granted while the context ended: give it to the next waiter.
	s.grantNext()
	return engine.TimedOut
}

func (s *slots) release(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanServiceTime == 0 {
		s.meanServiceTime = took
	}
	s.meanServiceTime += (took - s.meanServiceTime) / meanDivisor
	s.grantNext()
}

// grantNext passes a freed slot to the first waiter. The caller holds mu.
func (s *slots) grantNext() {
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

func (s *slots) fillStats(st *Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Running = s.running
	st.Waiting = len(s.waiting)
	st.PeakRunning = s.peak
}
