package host_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

const searchHead = "POST " + wire.PathSearch + " HTTP/1.1\r\nHost: h\r\n"

// dialAndWrite opens a connection to the host and writes text to it.
func (r *rig) dialAndWrite(text string) *net.TCPConn {
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	r.is.NoErr(err)
	r.is.NoErr(c.SetDeadline(time.Now().Add(waitLimit)))
	_, err = c.Write([]byte(text))
	r.is.NoErr(err)
	return c.(*net.TCPConn)
}

// Guards against callers that occupy a connection or memory without limit by
// sending slowly or too much.
func TestSlowAndLargeRequestsAreBounded(t *testing.T) {
	r := newRig(t, func(c *host.Config) {
		c.HeaderTimeout = 50 * time.Millisecond
		c.BodyTimeout = 50 * time.Millisecond
		c.MaxHeader = 1000
	}, http.HandlerFunc(answerShard))
	for _, tc := range []struct {
		text   string
		status int // 0 means that the connection is closed without an answer
	}{
		{searchHead, 0},
		{searchHead + "Content-Length: 100\r\n\r\n{", http.StatusRequestTimeout},
		{searchHead + "X: " + strings.Repeat("x", 8000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{searchHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		{searchHead + "Content-Length: 0\r\n\r\n", http.StatusBadRequest},
		{"GET " + wire.PathSearch + " HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusMethodNotAllowed},
		{"GET /v2 HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound},
	} {
		c := r.dialAndWrite(tc.text)
		reader := bufio.NewReader(c)
		resp, err := http.ReadResponse(reader, nil)
		if tc.status == 0 {
			r.is.Equal(err, io.ErrUnexpectedEOF)
		} else {
			r.is.NoErr(err)
			r.is.Equal(resp.StatusCode, tc.status)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		c.Close()
	}
}

// Guards against a request whose body came so slowly that its caller waits no longer,
// and that is sent to upstreams all the same.
func TestTimeOfReadingCounts(t *testing.T) {
	r := newRig(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path != wire.PathLeafHealth {
			t.Errorf("an upstream got %s", req.URL.Path)
		}
	}))
	for path, body := range map[string]string{
		wire.PathSearch:  `{"Index":"review-panel"}`,
		wire.PathFilings: `{"Index":"review-panel","Body":"d"}`,
	} {
		c := r.dialAndWrite(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: slow\r\n%s: 200\r\nContent-Length: %d\r\n\r\n{", path, wire.HeaderRequestID, wire.HeaderDeadline, len(body)))
		time.Sleep(time.Second)
		_, err := c.Write([]byte(body[1:]))
		r.is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		r.is.NoErr(err)
		var answer wire.SearchAnswer
		r.is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
		r.is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		r.is.Equal(answer.Outcome, engine.NotRun)
		r.is.NoErr(c.Close())
	}
}

// Guards against a query that runs on for a caller that has closed its sending
// half, which leaves the connection half open.
func TestHalfClosedCallerIsCancelled(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	r := newRig(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = wire.DecodeLeafSearch(req.Body)
		close(started)
		<-req.Context().Done()
		close(cancelled)
	}))
	const body = `{"Index":"review-panel"}`
	c := r.dialAndWrite(searchHead + "Content-Length: 24\r\n\r\n" + body)
	defer c.Close()
	<-started
	r.is.NoErr(c.CloseWrite())
	<-cancelled
	rest, err := io.ReadAll(c)
	r.is.NoErr(err)
	r.is.Equal(len(rest), 0)
}

// Guards against more requests in flight than the host has memory for.
func TestRequestsInProgressAreBounded(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(c *host.Config) { c.MaxRequests = 1 }, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		close(started)
		<-release
		answerShard(w, req)
	}))
	done := make(chan int)
	go func() {
		status, _, _ := r.post(wire.PathSearch, `{"Index":"review-panel"}`)
		done <- status
	}()
	<-started
	status, header, body := r.post(wire.PathSearch, `{"Index":"review-panel"}`)
	r.is.Equal(status, http.StatusServiceUnavailable)
	r.is.Equal(body["Outcome"], "NotRun")
	r.is.True(header.Get("Retry-After") != "")
	r.is.Equal(r.get(wire.PathHealth), http.StatusOK)
	close(release)
	r.is.Equal(<-done, http.StatusOK)
}

// Guards against a caller that never reads its answer and so keeps its request
// in flight for ever.
func TestUnreadAnswerTimesOut(t *testing.T) {
	answerLarge := func(w http.ResponseWriter, req *http.Request) {
		s, _ := wire.DecodeLeafSearch(req.Body)
		_ = wire.Reply(w, http.StatusOK, engine.Answer{
			Attempt:   s.Attempt,
			Documents: []engine.Document{{Body: strings.Repeat("x", wire.MaxAnswerBytes-1000)}},
		})
	}
	var upstreams []http.Handler
	for range 5 {
		upstreams = append(upstreams, http.HandlerFunc(answerLarge))
	}
	r := newRig(t, func(c *host.Config) { c.WriteTimeout = 50 * time.Millisecond }, upstreams...)
	c := r.dialAndWrite(searchHead + "Content-Length: 24\r\n\r\n" + `{"Index":"review-panel"}`)
	defer c.Close()
	inFlight := func() float64 {
		var status struct{ Requests float64 }
		r.is.NoErr(json.Unmarshal(r.read(wire.PathStatus), &status))
		return status.Requests
	}
	r.eventually(func() bool { return inFlight() == 1 })
	r.eventually(func() bool { return inFlight() == 0 })
}
