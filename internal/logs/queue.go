package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait to be written.
	maxQueuedLines = 1024

	// linesPerSecond and burstLines are the rate and burst limit of what a
	// process writes. At 300 bytes per line the rate is 60 KB/s.
	linesPerSecond = 200
	burstLines     = 600
)

// Queue is a writer of log lines that never blocks: a goroutine writes them to
// the output. Lines over the limits of rate and queue length are dropped and
// counted, and the count is written after the next line.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	total   atomic.Int64

	mu       sync.Mutex
	closed   bool
	tokens   float64
	refilled time.Time
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		out:      out,
		lines:    make(chan []byte, maxQueuedLines),
		done:     make(chan struct{}),
		tokens:   burstLines,
		refilled: time.Now(),
	}
	go q.run()
	return q
}

// Write implements io.Writer; each call has one complete line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.takeToken() {
		q.drop()
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop()
	}
	return len(line), nil
}

func (q *Queue) drop() {
	q.dropped.Add(1)
	q.total.Add(1)
}

// Dropped returns the number of lines dropped since the queue was created.
func (q *Queue) Dropped() int64 { return q.total.Load() }

// takeToken takes a token of the rate limit. The caller must hold the lock.
func (q *Queue) takeToken() bool {
	now := time.Now()
	q.tokens = min(burstLines, q.tokens+now.Sub(q.refilled).Seconds()*linesPerSecond)
	q.refilled = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if n := q.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "{\"Message\":\"log lines were dropped\",\"Lines\":%d}\n", n)
		}
		if _, err := q.out.Write(line); err != nil {
			// The line counts as dropped, for example after the reader of the log
			// has closed it.
			q.drop()
		}
	}
}

// Close waits at most the given time until all queued lines are written. Later ones
// are dropped: goroutines that are still ending may log.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	close(q.lines)
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
