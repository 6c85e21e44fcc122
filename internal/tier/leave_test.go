package tier_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an empty success without a stamp for a caller that closes its sending
// side after the request and reads on, whichever host gathers its query.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	const queries = 6 // to each host; their ids decide which gatherer gets them
	s := newSystem(t, 300*time.Millisecond)
	is.New(t).Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
	}
	var group sync.WaitGroup
	for host, entry := range s.entries {
		for i := range queries {
			group.Go(func() {
				conn, err := net.Dial("tcp", entry)
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: half-%d-%d\r\nDeadline-Milliseconds: 3000\r\n\r\n", host, i)
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).CloseWrite()
				_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return // the connection was closed without an answer
				}
				body, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK && res.Header.Get("Part-Stamps") == "" {
					t.Errorf("query %d to host %d got status 200 without stamps, with %d bytes, %v", i, host, len(body), err)
				}
			})
		}
	}
	group.Wait()
}

// Guards against upstreams that are at work half a second after the caller has left,
// since the host that called them has answered its gatherer without them.
func TestUpstreamsStopAfterTheCallerHasLeft(t *testing.T) {
	const (
		work    = 2 * time.Second // beyond the target
		leaveAt = 600 * time.Millisecond
		queries = 2 // to each host
	)
	is := is.New(t)
	s := newSystemIn(t, work, "a", "b", "c")
	doc := document(5, "/x/")
	for _, change := range [][2]string{
		{`"TargetLatencyMs":900`, `"TargetLatencyMs":200`},
		{`"MaxAttempts":2`, `"MaxAttempts":3`},
		{`"MinShardRatio":0.75`, `"MinShardRatio":1`},
	} {
		is.True(strings.Contains(doc, change[0]))
		doc = strings.Replace(doc, change[0], change[1], 1)
	}
	is.Equal(s.putDocument(s.controls[0], doc), http.StatusOK)
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
	}
	for i := range queries {
		for host, entry := range s.entries {
			ctx, leave := context.WithTimeout(t.Context(), leaveAt)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/x/1", nil)
			is.NoErr(err)
			req.Host, req.Close = "a.example", true
			req.Header.Set("Request-Id", fmt.Sprintf("leaves-%d-%d", host, i))
			req.Header.Set("Deadline-Milliseconds", "3000")
			_, err = http.DefaultTransport.RoundTrip(req) //nolint:bodyclose // there is no answer
			leave()
			is.True(err != nil)
			time.Sleep(500 * time.Millisecond)
			if n := s.atWork.Load(); n > 0 {
				t.Errorf("query %d to host %d: %d calls are at work half a second after the caller has left", i, host, n)
			}
			for s.atWork.Load() > 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
}

// Guards against answers that are kept for good since the caller left before the last
// one came.
func TestAnswersForCallersThatHaveLeftAreForgotten(t *testing.T) {
	const queries = 60 // to each host
	is := is.New(t)
	s := newSystem(t, 2*time.Second)
	doc := strings.Replace(document(5, "/x/"), `"MinShardRatio":0.75`, `"MinShardRatio":1`, 1)
	is.Equal(s.putDocument(s.controls[0], doc), http.StatusOK)
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
	}
	before := heap()
	for i := range queries {
		for host, entry := range s.entries {
			ctx, leave := context.WithTimeout(t.Context(), 60*time.Millisecond)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+largePath, nil)
			is.NoErr(err)
			req.Host, req.Close = "a.example", true
			req.Header.Set("Request-Id", fmt.Sprintf("large-%d-%d", host, i))
			req.Header.Set("Deadline-Milliseconds", "3000")
			_, _ = http.DefaultTransport.RoundTrip(req) //nolint:bodyclose // there is no answer
			leave()
		}
	}
	time.Sleep(time.Second) // calls that were stopped end
	received := int64(queries * len(s.entries) * 3 * largeSize)
	if grown := heap() - before; grown > received/4 {
		t.Fatalf("the heap has grown by %d KB; callers that left had been sent %d KB", grown>>10, received>>10)
	}
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
