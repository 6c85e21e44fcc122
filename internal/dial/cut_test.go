package dial_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// cuttingUpstream answers each call with the first bytes of an answer, and closes the
// connection unless the answer is whole.
type cuttingUpstream struct {
	mu sync.Mutex
	// answer returns the bytes of the answer to a call.
	answer func(r *http.Request) string
	// most is the number of bytes that are sent, or less than 0 for all.
	most int
	// size is the number of bytes of the last answer.
	size int
}

func (u *cuttingUpstream) cutAt(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = n
}

func (u *cuttingUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text := u.answer(r)
		u.mu.Lock()
		u.size = len(text)
		cut := u.most >= 0
		if cut {
			text = text[:u.most]
		}
		u.mu.Unlock()
		if _, err := c.Write([]byte(text)); err != nil || cut {
			return
		}
	}
}

// chunked returns an answer in the form of two chunks.
func chunked(text string) string {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	line, _, _ := strings.Cut(head, "\r\n")
	half := len(body) / 2
	return fmt.Sprintf("%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", line, half, body[:half], len(body)-half, body[half:])
}

// Guards against an answer that breaks off at any byte, on a new connection or one that
// has carried an answer, and is taken for a whole one: for the records of a search, the
// receipt of a filing, or the promise that a filing has not run.
func TestAnswerThatBreaksOffAnywhereFails(t *testing.T) {
	search := func(r *http.Request) string {
		s, err := wire.DecodeLeafSearch(r.Body)
		if err != nil {
			panic(err)
		}
		return httpAnswer(http.StatusOK, engine.Answer{
			Request: s.Request,
			Attempt: s.Attempt,
			Shard:   s.Shard,
			Version: s.Version,
		})
	}
	receipt := func(r *http.Request) string {
		f, err := wire.DecodeLeafFile(r.Body)
		if err != nil {
			panic(err)
		}
		return httpAnswer(http.StatusOK, wire.LeafFiled{
			Request: f.Request,
			Fence:   f.Fence,
			Receipt: "receipt",
		})
	}
	rejection := func(r *http.Request) string {
		f, err := wire.DecodeLeafFile(r.Body)
		if err != nil {
			panic(err)
		}
		return httpAnswer(http.StatusServiceUnavailable, wire.LeafError{
			Kind:    engine.Shed,
			Remedy:  "later",
			Request: f.Request,
			Fence:   f.Fence,
		})
	}
	for _, row := range []struct {
		name   string
		answer func(r *http.Request) string
	}{
		{"search", search},
		{"receipt", receipt},
		{"rejection", rejection},
		{"search in chunks", func(r *http.Request) string { return chunked(search(r)) }},
		{"receipt in chunks", func(r *http.Request) string { return chunked(receipt(r)) }},
		{"rejection in chunks", func(r *http.Request) string { return chunked(rejection(r)) }},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %v", row.name, kept), func(t *testing.T) {
				is := is.New(t)
				u := &cuttingUpstream{
					answer: row.answer,
					most:   -1,
				}
				client, events := serveConns(t, u.serve)
				// sound reports whether a call got a whole answer of its kind.
				sound := func(n int) bool {
					if strings.HasPrefix(row.name, "search") {
						client.Send(engine.Send{
							Attempt:   ident.AttemptID(n),
							Request:   "r",
							Upstream:  "u",
							Shard:     "s",
							Version:   1,
							Remaining: waitLimit,
						}, "", nil)
						_, answered := (<-events).(engine.AttemptAnswered)
						return answered
					}
					_, failure := client.File(context.Background(), "u", wire.LeafFile{
						Request:         "r",
						Fence:           1000,
						Shard:           "s",
						Body:            "d",
						RemainingMicros: waitLimit.Microseconds(),
					}, time.Now().Add(waitLimit), "")
					return failure == nil || failure.NotRun()
				}
				is.True(sound(1000))
				u.mu.Lock()
				size := u.size
				u.mu.Unlock()
				for n := range size {
					if kept {
						u.cutAt(-1)
						is.True(sound(1000))
					}
					u.cutAt(n)
					if sound(1000) {
						t.Errorf("an answer of %d bytes that breaks off after %d was taken for a whole one", size, n)
					}
				}
			})
		}
	}
}
