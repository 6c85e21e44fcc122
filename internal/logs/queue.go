package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 1024

	// linesPerSecond and lineBurst bound what a process writes. At 300 bytes a
	// line that is 60 KB/s.
	linesPerSecond = 200
	lineBurst      = 600
)

// Queue is a writer of log lines that never blocks: a goroutine writes them.
// Lines over the bounds are dropped and counted, and the count is written
// with the next line.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	total   atomic.Int64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		out:    out,
		lines:  make(chan []byte, queueLines),
		done:   make(chan struct{}),
		tokens: lineBurst,
		at:     time.Now(),
	}
	go q.run()
	return q
}

// Write implements io.Writer for whole lines. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.take() {
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

// Dropped returns how many lines were dropped so far.
func (q *Queue) Dropped() int64 { return q.total.Load() }

func (q *Queue) take() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(lineBurst, q.tokens+now.Sub(q.at).Seconds()*linesPerSecond)
	q.at = now
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
			// Nobody reads the log; the lines count as dropped.
			q.drop()
		}
	}
}

// Close writes the lines that wait, for at most the given time.
func (q *Queue) Close(wait time.Duration) {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(wait):
	}
}
