package tier_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a query that its gatherer cannot answer or read, and that ends the
// queries of all other callers which are in flight there: the gatherer would count as
// unreachable.
func TestOddQueryDoesNotEndOthers(t *testing.T) {
	const (
		work    = 400 * time.Millisecond
		rounds  = 12 // the ids of the queries decide which gatherer gets them
		queries = 2  // beside the odd one; upstreams run 4 at a time
	)
	s := newSystem(t, work)
	is.New(t).Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
	}
	send := func(entry, id, deadline, odd string) (status int, err error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+entry+"/x/1", nil)
		if err != nil {
			return 0, err
		}
		req.Host, req.Close = "a.example", true
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Milliseconds", deadline)
		if odd != "" {
			req.Header.Set("X-Odd", odd)
		}
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return 0, err
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.Copy(io.Discard, res.Body)
		return res.StatusCode, err
	}
	for name, odd := range map[string]struct {
		deadline, header string
		statuses         []int
	}{
		"deadline too short":      {"4", "", []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}},
		"header that is no UTF-8": {"3000", "a\xff\xfeb", []int{http.StatusOK, http.StatusServiceUnavailable}},
	} {
		t.Run(name, func(t *testing.T) {
			var group sync.WaitGroup
			var served atomic.Int64
			for round := range rounds {
				host := round % len(s.entries)
				entry := s.entries[host]
				for i := range queries {
					group.Go(func() {
						id := fmt.Sprintf("sound-%s-%d-%d", odd.deadline, round, i)
						status, err := send(entry, id, "3000", "")
						switch {
						case err == nil && status == http.StatusOK:
							served.Add(1)
						case err != nil || status != http.StatusServiceUnavailable: // no room at the upstreams
							t.Errorf("query %d to host %d got status %d, %v", i, host, status, err)
						}
					})
				}
				time.Sleep(100 * time.Millisecond)
				status, err := send(entry, fmt.Sprintf("odd-%s-%d", odd.deadline, round), odd.deadline, odd.header)
				if err != nil || !slices.Contains(odd.statuses, status) {
					t.Errorf("odd query to host %d got status %d, %v", host, status, err)
				}
				group.Wait()
			}
			is.New(t).True(served.Load() > rounds) // of rounds * queries
		})
	}
}
