// Package bound limits how much is read of what other processes send: a Budget
// limits the unfinished messages of a process together, a Reader one connection.
package bound

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// ErrEndless is the cause of errors about an answer that exceeds a bound.
var ErrEndless = errors.New("the answer does not end: check the process that sends it, or restart it")

// FreeBytes of each message do not count towards a Budget, so that ordinary
// answers are read while large ones use it up.
const FreeBytes = 64 << 10

const (
	// largeBytesPerSecond is the rate at which all messages together are read
	// beyond FreeBytes. Unpaced, 20 answers without end took the processor of a busy
	// host for over 120 ms.
	largeBytesPerSecond = 32 << 20

	// largeBurst is read at once: an ordinary large answer.
	largeBurst = 256 << 10
)

// Pace limits the rate at which large messages are read.
type Pace struct{ limiter *rate.Limiter }

// NewPace returns the Pace for the messages of one kind.
func NewPace() Pace { return Pace{limiter: rate.NewLimiter(largeBytesPerSecond, largeBurst)} }

// Wait delays the reader of a large message after some bytes, unless it is cancelled.
func (p Pace) Wait(bytes int64, cancelled <-chan struct{}) {
	delay := p.limiter.ReserveN(time.Now(), int(min(bytes, largeBurst))).Delay()
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cancelled:
	}
}

// Budget limits the bytes of all messages that are being read, and the rate at
// which large ones are.
type Budget struct {
	max  int64
	held atomic.Int64
	pace Pace
}

// NewBudget returns a Budget of some bytes.
func NewBudget(most int64) *Budget {
	return &Budget{
		max:  most,
		pace: NewPace(),
	}
}

// Message reads one message within a Budget. Done must follow.
type Message struct {
	from   io.Reader
	budget *Budget
	read   int64
	held   int64
}

// Message returns a reader of one message.
func (b *Budget) Message(from io.Reader) *Message {
	return &Message{
		from:   from,
		budget: b,
	}
}

// Read implements io.Reader.
func (m *Message) Read(p []byte) (int, error) {
	n, err := m.from.Read(p)
	m.read += int64(n)
	if more := m.read - FreeBytes - m.held; more > 0 {
		m.held += more
		if m.budget.held.Add(more) > m.budget.max {
			return n, errors.Wrapf(ErrEndless, "unfinished answers hold over %d bytes", m.budget.max)
		}
		m.budget.pace.Wait(more, nil)
	}
	return n, err
}

// Done returns what the message holds to the budget.
func (m *Message) Done() { m.budget.held.Add(-m.held) }

// Reader reads from a connection up to a bound that its user sets anew for each
// part of a message. Use it from one goroutine.
type Reader struct {
	From io.Reader
	// Left is the number of bytes that may still be read.
	Left int
	// Exceeded is set once more was wanted.
	Exceeded bool
	// Err is the error with which From ended.
	Err error
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Left <= 0 {
		r.Exceeded = true
		return 0, ErrEndless
	}
	n, err := r.From.Read(p[:min(len(p), r.Left)])
	r.Left -= n
	if err != nil {
		r.Err = err
	}
	return n, err
}
