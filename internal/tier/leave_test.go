package tier_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
