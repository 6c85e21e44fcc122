package tier_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against queries whose connections are closed without an answer since an
// entry host that stops waits for the gatherer or helper that it has delegated them
// to, or since that host stops as well.
func TestStopAnswersDelegatedQueries(t *testing.T) {
	const (
		work    = 2 * time.Second
		queries = 8 // to each host; their ids decide which gatherer gets them
	)
	for name, stopped := range map[string][]int{
		"one host":  {0},
		"two hosts": {0, 1},
		"all hosts": {0, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, work)
			is.Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
			for _, entry := range s.entries {
				s.search(entry, "/x/1", http.StatusOK)
			}
			var group sync.WaitGroup
			for host, entry := range s.entries {
				for i := range queries {
					group.Go(func() {
						if _, err := sendQuery(entry, fmt.Sprintf("q-%d-%d", host, i)); err != nil {
							t.Errorf("query %d to host %d: %v", i, host, err)
						}
					})
				}
			}
			time.Sleep(300 * time.Millisecond)
			for _, i := range stopped {
				s.stop[len(s.controls)+i]()
			}
			group.Wait()
		})
	}
}

// Guards against a host that stops and delegates a query although no answer is expected
// before its end: the caller would get 504 then, instead of a refusal at once.
func TestStoppingHostDelegatesNothingTooLate(t *testing.T) {
	const (
		work  = 4 * time.Second
		grace = 6 * time.Second // answers within 5.45 s, new requests for 3 s
		late  = 1800 * time.Millisecond
	)
	is := is.New(t)
	s := newSystemThatStopsIn(t, grace, work, "a", "a", "b")
	doc := strings.Replace(document(5, "/x/"), `"TimeoutMs":3000,"TargetLatencyMs":900`, `"TimeoutMs":9000,"TargetLatencyMs":4900`, 1)
	is.Equal(s.putDocument(s.controls[0], doc), http.StatusOK)
	var warm sync.WaitGroup
	for _, entry := range s.entries {
		warm.Go(func() {
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if res, err := sendQuery(entry, "warm"); err == nil && res.StatusCode == http.StatusOK {
					return
				}
			}
			t.Errorf("no answer from %s", entry)
		})
	}
	warm.Wait()
	for s.atWork.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	s.stop[len(s.controls)]()
	time.Sleep(late)
	var group sync.WaitGroup
	for i := range 8 { // their ids decide which gatherer gets them
		group.Go(func() {
			started := time.Now()
			res, err := sendQuery(s.entries[0], fmt.Sprint("late-", i))
			if err != nil {
				t.Error(err)
				return
			}
			if took := time.Since(started); res.StatusCode != http.StatusServiceUnavailable || took > 500*time.Millisecond {
				t.Errorf("query %d got %d after %s, not 503 at once", i, res.StatusCode, took)
			}
		})
	}
	group.Wait()
	is.Equal(s.atWork.Load(), int64(0))
}

// sendQuery sends a query to an entry host on a connection of its own and reads the
// whole answer.
func sendQuery(entry, id string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+"/x/1", nil)
	if err != nil {
		return nil, err
	}
	req.Host, req.Close = "a.example", true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", "10000")
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res, err
}
