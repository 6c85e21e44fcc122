package dial

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The states of a body.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyBarred
)

var errBarred = errors.New("request was given up before its body was sent")

// body is a request body that tells whether any of it may have been sent. An
// upstream cannot run a request without its body, so a request whose body was
// barred before its first byte was read provably did not run.
//
// httptrace cannot prove this: the transport may still write a request whose
// RoundTrip has returned an error, so a WroteHeaders that has not come yet
// may come later.
type body struct {
	reader bytes.Reader
	raw    []byte
	state  *atomic.Int32
	until  time.Time // no first byte after this time; zero means none
}

func newBody(raw []byte, until time.Time) *body {
	b := &body{
		raw:   raw,
		state: new(atomic.Int32),
		until: until,
	}
	b.reader.Reset(raw)
	return b
}

// again returns the body anew for a repetition by the transport, which it
// only makes when nothing of the request was written.
func (b *body) again() (io.ReadCloser, error) {
	next := *b
	next.reader.Reset(b.raw)
	return &next, nil
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.until.IsZero() && time.Now().After(b.until) {
		b.state.CompareAndSwap(bodyUnread, bodyBarred)
	}
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyBarred {
		return 0, errBarred
	}
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// bar reports whether no byte was read; none can be read afterwards then.
func (b *body) bar() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyBarred) || b.state.Load() == bodyBarred
}
