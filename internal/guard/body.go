package guard

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNoMemory is the cause of a request that is refused since callers hold all the
// memory that there is for them.
var ErrNoMemory = errors.New("callers hold all the memory that there is for them: send the request again")

const (
	// firstRead is the size of the first buffer for a body. Bodies that fit are not
	// copied.
	firstRead = 4 << 10
	// blockBytes is the size of the blocks that hold what was read of larger bodies.
	blockBytes = 16 << 10
)

// block holds a part of a body that is not whole. Blocks are used again: buffers that
// grow with each body leave more garbage than the collector frees in time while many
// connections are closed and opened.
type block [blockBytes]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// ReadBody reads the body of a request within a limit, as io.ReadAll does, and reserves
// its memory before it is used. Errors are of type *http.MaxBytesError for a body over
// the limit, os.ErrDeadlineExceeded for one that makes no progress, and ErrNoMemory.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		w.Header()["Connection"] = []string{"close"}
		return nil, &http.MaxBytesError{Limit: limit}
	}
	b := bodyBuffer{
		conn:  Of(r),
		from:  http.MaxBytesReader(w, r.Body, limit),
		stall: true,
	}
	defer b.release()
	if err := b.readAll(r.ContentLength); err != nil {
		return nil, err
	}
	return b.join()
}

// Body reads the body of a request as ReadBody does, for handlers that decode it from a
// stream and have set a limit and a deadline. A body that could not be read yields only
// its error, so that decoders don't copy what was read of it; one over the limit yields
// the limit first. release must follow.
func Body(r *http.Request) (whole io.Reader, release func()) {
	b := bodyBuffer{
		conn: Of(r),
		from: r.Body,
	}
	err := b.readAll(r.ContentLength)
	if err == nil && !b.hold(0, int64(b.size)) {
		err = ErrNoMemory
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		err = io.EOF
	case !errors.As(err, &tooLarge):
		b.release()
		return errReader{err}, b.release
	}
	parts := []io.Reader{bytes.NewReader(b.first)}
	for i := range b.blocks {
		parts = append(parts, bytes.NewReader(b.part(i)))
	}
	return io.MultiReader(append(parts, errReader{err})...), b.release
}

// errReader is a reader at its end.
type errReader struct{ err error }

// Read implements io.Reader.
func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// bodyBuffer holds what was read of a body.
type bodyBuffer struct {
	conn *Conn
	from io.Reader
	// stall is set if the stall timeout applies to each read.
	stall bool
	// first holds the first bytes, blocks the others; all but the last are full.
	first  []byte
	blocks []*block
	// size is the number of bytes in the blocks.
	size int
}

// readAll reads until the body ends, whose length is negative if it is not stated.
func (b *bodyBuffer) readAll(length int64) (err error) {
	size := int64(firstRead)
	if length >= 0 {
		size = min(size, length)
	}
	if !b.hold(0, size) {
		return ErrNoMemory
	}
	var whole bool
	b.first, whole, err = b.fill(make([]byte, 0, size))
	for err == nil && !whole && int64(len(b.first)+b.size) != length {
		if !b.hold(0, blockBytes) {
			return ErrNoMemory
		}
		next := blocks.Get().(*block)
		b.blocks = append(b.blocks, next)
		var filled []byte
		filled, whole, err = b.fill(next[:0])
		b.size += len(filled)
	}
	return err
}

// part returns what was read into a block.
func (b *bodyBuffer) part(i int) []byte { return b.blocks[i][:min(blockBytes, b.size-i*blockBytes)] }

func (b *bodyBuffer) hold(received int, bytes int64) bool {
	return b.conn == nil || b.conn.hold(received, bytes)
}

// fill reads until a buffer is full or the body ends.
func (b *bodyBuffer) fill(buf []byte) (filled []byte, whole bool, err error) {
	for len(buf) < cap(buf) {
		n, err := b.from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, true, nil
		case err != nil && b.conn != nil && b.conn.evicted.Load():
			return buf, false, ErrNoMemory
		case err != nil:
			return buf, false, err
		case b.conn != nil:
			if b.stall {
				_ = b.conn.SetReadDeadline(time.Now().Add(b.conn.guard.cfg.StallTimeout))
			}
			if !b.hold(n, 0) {
				return buf, false, ErrNoMemory
			}
		}
	}
	return buf, false, nil
}

// join returns the whole body, which takes the place of the blocks.
func (b *bodyBuffer) join() ([]byte, error) {
	if len(b.blocks) == 0 {
		return b.first, nil
	}
	if !b.hold(0, int64(b.size)) {
		return nil, ErrNoMemory
	}
	body := append(make([]byte, 0, len(b.first)+b.size), b.first...)
	for i := range b.blocks {
		body = append(body, b.part(i)...)
	}
	b.hold(0, -int64(len(b.blocks)*blockBytes))
	return body, nil
}

func (b *bodyBuffer) release() {
	for _, next := range b.blocks {
		blocks.Put(next)
	}
	b.blocks = nil
}

// Status returns the status with which a request is answered whose body could not be
// read.
func Status(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
