package tier_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// orderEvacuation sends an order to a control host until it is acknowledged.
func (s *system) orderEvacuation(control, method, domain string) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(method, "http://"+control+"/-/evacuation/"+domain, http.NoBody)
		if err != nil {
			s.t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil && res.Body.Close() == nil && res.StatusCode == http.StatusOK {
			return
		}
	}
	s.t.Fatalf("%s %s is not acknowledged", method, domain)
}

// Guards against hosts that acknowledge an evacuation and call the domain later on,
// gatherers and helpers included, and against callers that get no answer from the
// other domain, or no refusal if there is none.
func TestEvacuationOnLoopback(t *testing.T) {
	is := is.New(t)
	const reachTime = 2 * time.Second
	s := newSystem(t, 0)
	is.Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
	}
	is.True(s.calledA.Load() > 0)

	s.orderEvacuation(s.controls[1], http.MethodPost, "a")
	time.Sleep(reachTime)
	before := s.calledA.Load()
	for _, entry := range s.entries { // two of them are in domain a
		for range 20 {
			h, _ := s.search(entry, "/x/1", http.StatusOK)
			for stamp := range strings.SplitSeq(h.Get("Part-Stamps"), ", ") {
				name, _, _ := strings.Cut(stamp, ".")
				is.True(strings.HasSuffix(name, "-b"))
			}
			is.Equal(h.Get("Missing-Parts"), "")
		}
	}
	is.Equal(s.calledA.Load(), before)

	s.orderEvacuation(s.controls[2], http.MethodPost, "b")
	time.Sleep(reachTime)
	beforeB := s.calledB.Load()
	for _, entry := range s.entries {
		h, _ := s.search(entry, "/x/1", http.StatusServiceUnavailable)
		is.Equal(h.Get("Retry-After"), "1.000")
	}
	is.Equal(s.calledA.Load(), before)
	is.Equal(s.calledB.Load(), beforeB)

	s.orderEvacuation(s.controls[0], http.MethodDelete, "a")
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
	}
	is.True(s.calledA.Load() > before)
	is.Equal(s.calledB.Load(), beforeB)
}
