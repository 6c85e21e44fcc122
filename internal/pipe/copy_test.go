package pipe_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const rejection = "HTTP/1.1 503 Full\nRequest-Id: %s\nNot-Executed: shed\nContent-Length: 0\n\n"

// copyingUpstream rejects the first call of each request. The second copy of each
// answer comes late: just before the next answer on the connection.
type copyingUpstream struct {
	mu     sync.Mutex
	last   map[int]string // by connection
	runs   map[string]int
	copies int
}

func (u *copyingUpstream) answer(conn, _ int, r *http.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := r.Header.Get("Request-Id")
	text := fmt.Sprintf(rejection, id)
	if _, again := u.runs[id]; again || strings.HasPrefix(id, "good-") {
		text = ok(r, "body of "+id)
		u.runs[id]++
	} else {
		u.runs[id] = 0
	}
	late := u.last[conn]
	u.last[conn] = text
	if late != "" {
		u.copies++
	}
	return late + text
}

// Guards against a request that runs and is reported as rejected: it is sent again
// after a rejection, and the second copy of that, which has the same id, comes before
// the answer. Other requests in between do not help.
func TestLateCopyOfARejectionIsNotTheNextAnswer(t *testing.T) {
	for _, between := range []int{0, 1, 3, 100} {
		t.Run(fmt.Sprint(between), func(t *testing.T) {
			is := is.New(t)
			u := &copyingUpstream{
				last: map[int]string{},
				runs: map[string]int{},
			}
			address := serve(t, u.answer)
			p := pipe.NewPool()
			is.Equal(call(t, p, address, "u", "r-1").Result, relay.Rejected)
			for i := range between {
				is.Equal(call(t, p, address, "u", fmt.Sprint("good-", i)).Result, relay.Good)
			}
			o := call(t, p, address, "u", "r-1")
			is.Equal(u.runs["r-1"], 1)
			is.Equal(o.Result, relay.Good)
			is.Equal(string(o.Body), "body of r-1")
		})
	}
}

// Guards against an answer to another caller's request that has the same id, or none.
func TestLateCopyForTheSameIDIsSkipped(t *testing.T) {
	for _, id := range []string{"same", ""} {
		is := is.New(t)
		last := map[int]string{}
		address := serve(t, func(conn, request int, r *http.Request) string {
			text := ok(r, fmt.Sprintf("%d-%d", conn, request))
			defer func() { last[conn] = text }()
			return last[conn] + text
		})
		p := pipe.NewPool()
		seen := map[string]bool{}
		for range 5 {
			body := string(call(t, p, address, "u", id).Body)
			is.True(!seen[body]) // an answer was used twice
			seen[body] = true
		}
	}
}

// Guards against more connections to an upstream than before, as each one that may
// not be used for a request is replaced, and against connections that are not used
// again by other requests.
func TestRejectionsReplaceConnections(t *testing.T) {
	is := is.New(t)
	u := &copyingUpstream{
		last: map[int]string{},
		runs: map[string]int{},
	}
	var open atomic.Int64
	address := serveCounted(t, u.answer, func(n int) { open.Add(int64(n)) })
	p := pipe.NewPool()
	for i := range 200 {
		id := fmt.Sprint("r-", i)
		is.Equal(call(t, p, address, "u", id).Result, relay.Rejected)
		is.Equal(call(t, p, address, "u", id).Result, relay.Good)
	}
	is.Equal(p.Dials(), int64(201))
	// The upstream learns of a close a little later.
	for end := time.Now().Add(5 * time.Second); open.Load() > 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(open.Load(), int64(1))
}

// Guards against what is remembered of a connection growing without bound.
func TestConnectionIsReplacedAfterManyRejections(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_, _ int, r *http.Request) string {
		return fmt.Sprintf(rejection, r.Header.Get("Request-Id"))
	})
	p := pipe.NewPool()
	for i := range 1000 {
		is.Equal(call(t, p, address, "u", fmt.Sprint("r-", i)).Result, relay.Rejected)
	}
	is.Equal(p.Dials(), int64(4)) // 256 on each
}
