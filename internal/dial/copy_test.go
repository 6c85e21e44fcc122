package dial_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// copyingUpstream rejects every second filing or search. The second copy of a
// rejection comes late: just before the next answer on the connection.
type copyingUpstream struct {
	// named is set if rejections name the call that they answer.
	named bool

	mu   sync.Mutex
	seen int
	runs map[ident.RequestID]int
}

func httpAnswer(status int, body any) string {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(raw), raw)
}

// answer returns the answer to a request; rejected is set for a rejection.
func (u *copyingUpstream) answer(r *http.Request) (text string, rejected bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen++
	rejection := wire.LeafError{
		Kind:   engine.Shed,
		Remedy: "later",
	}
	if r.URL.Path == wire.PathLeafFile {
		f, err := wire.DecodeLeafFile(r.Body)
		if err != nil {
			panic(err)
		}
		if u.named {
			rejection.Request, rejection.Fence = f.Request, f.Fence
		}
		if u.seen%2 == 1 {
			return httpAnswer(http.StatusServiceUnavailable, rejection), true
		}
		u.runs[f.Request]++
		return httpAnswer(http.StatusOK, wire.LeafFiled{
			Request: f.Request,
			Fence:   f.Fence,
			Receipt: "receipt",
		}), false
	}
	s, err := wire.DecodeLeafSearch(r.Body)
	if err != nil {
		panic(err)
	}
	if u.named {
		rejection.Request, rejection.Attempt = s.Request, s.Attempt
	}
	if u.seen%2 == 1 {
		return httpAnswer(http.StatusServiceUnavailable, rejection), true
	}
	u.runs[s.Request]++
	return httpAnswer(http.StatusOK, engine.Answer{
		Request: s.Request,
		Attempt: s.Attempt,
		Shard:   s.Shard,
		Version: s.Version,
	}), false
}

func (u *copyingUpstream) runsOf(id ident.RequestID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// start serves the upstream and returns a client with one connection to it.
func (u *copyingUpstream) start(t *testing.T) (*dial.Client, <-chan engine.Event) {
	t.Helper()
	u.runs = map[ident.RequestID]int{}
	return serveConns(t, u.serve)
}

// serveConns serves the connections to upstream u and returns a client with one.
func serveConns(t *testing.T, serve func(net.Conn)) (*dial.Client, <-chan engine.Event) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { serve(c) })
		}
	})
	events := make(chan engine.Event, 1000)
	client := dial.New(dial.Config{Emit: func(ev engine.Event) { events <- ev }})
	t.Cleanup(func() {
		client.Close()
		_ = lis.Close()
		conns.Wait()
	})
	client.Warm(engine.Warm{
		Upstream:    "u",
		Address:     lis.Addr().String(),
		Connections: 1,
	})
	return client, events
}

func (u *copyingUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	late := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text, rejected := u.answer(r)
		if _, err := c.Write([]byte(late + text)); err != nil {
			return
		}
		if late = ""; rejected {
			late = text
		}
	}
}

// Guards against a filing or search that runs and is reported as not run, since the
// second copy of the rejection of an earlier one comes before its answer; also with
// upstreams whose rejections do not name the call.
func TestLateCopyOfARejectionIsNotTheNextAnswer(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("filings named %v", named), func(t *testing.T) {
			is := is.New(t)
			u := &copyingUpstream{named: named}
			client, _ := u.start(t)
			rejections := 0
			for i := range 40 {
				id := ident.RequestID(fmt.Sprint("f-", i))
				_, failure := client.File(context.Background(), "u", wire.LeafFile{
					Request:         id,
					Fence:           uint64(i + 1),
					Shard:           "s",
					Body:            "d",
					RemainingMicros: waitLimit.Microseconds(),
				}, time.Now().Add(waitLimit), "")
				if failure != nil && failure.NotRun() {
					rejections++
					is.Equal(u.runsOf(id), 0) // reported as not run, and has run
				}
			}
			is.True(rejections > 10)
		})
		t.Run(fmt.Sprintf("searches named %v", named), func(t *testing.T) {
			is := is.New(t)
			u := &copyingUpstream{named: named}
			client, events := u.start(t)
			rejections := 0
			for i := range 40 {
				id := ident.RequestID(fmt.Sprint("s-", i))
				client.Send(engine.Send{
					Attempt:   ident.AttemptID(i + 1),
					Request:   id,
					Upstream:  "u",
					Index:     "papers",
					Shard:     "s",
					Version:   1,
					Terms:     "x",
					Limit:     1,
					Class:     preset.Standard,
					Remaining: waitLimit,
				}, "", nil)
				if failed, ok := (<-events).(engine.AttemptFailed); ok && failed.Kind == engine.Shed {
					rejections++
					is.Equal(u.runsOf(id), 0) // reported as not run, and has run
				}
			}
			is.True(rejections > 10)
		})
	}
}
