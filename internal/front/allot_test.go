package front_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var quota = allot.Config{
	Window:  5 * time.Second,
	Overage: 0.1,
	Slack:   4,
	Domains: 1,
}

// limitedKey is the key of the account x.
const limitedKey = "key-of-x"

// limitedDocument returns a configuration with the account x, which has a limit.
func limitedDocument(t *testing.T, rate, burst float64) board.Document {
	t.Helper()
	return slowDocument(t, 2, fmt.Sprintf(`,"Tenants":[{"Name":"x","ApiKeys":[%q],"RatePerS":%g,"Burst":%g}]`, limitedKey, rate, burst))
}

// startLimited starts an entry host whose callers have limitedKey, and returns its entry
// of the roster and a function that sends it a request and returns the status and the
// Retry-After.
func startLimited(t *testing.T, name ident.HostID, seed string) (self board.Host, get func(path string) (int, string)) {
	t.Helper()
	is := is.New(t)
	free := func() string {
		address, err := ports.Free()
		is.NoErr(err)
		return address
	}
	address := free()
	self = board.Host{
		ID:     name,
		Kind:   board.Entry,
		Domain: "a",
		Link:   free(),
	}
	f, err := front.New(front.Config{
		Name:   name,
		Domain: "a",
		Front:  address,
		Ready:  free(),
		Link:   self.Link,
		Seeds:  []string{seed},
		Extra: budget.Config{
			Ratio:  0.2,
			Slack:  10,
			Window: 10 * time.Second,
		},
		Quota:   quota,
		Domains: []ident.Domain{"a"},
		Grace:   time.Second,
		Log:     slog.New(slog.DiscardHandler),
	})
	is.NoErr(err)
	run(t, f.Run)
	n := 0
	var mu sync.Mutex
	return self, func(path string) (int, string) {
		mu.Lock()
		n++
		id := fmt.Sprint(name, "-", n)
		mu.Unlock()
		req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		req.Host = "a.example"
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Milliseconds", "15000")
		req.Header.Set("X-Api-Key", limitedKey)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, ""
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.StatusCode, res.Header.Get("Retry-After")
	}
}

// Guards against a limit that each host keeps for itself, so that callers of two hosts
// get twice as much, and against a host that gets nothing since another one counts.
func TestTwoHostsShareTheLimitOfAnAccount(t *testing.T) {
	is := is.New(t)
	service, control := startSlowService(t, "a", 0)
	const rate, burst = 10, 6
	control.SetDocument(limitedDocument(t, rate, burst))
	one, getOne := startLimited(t, "one", control.host.Link)
	two, getTwo := startLimited(t, "two", control.host.Link)
	hosts := []func(string) (int, string){getOne, getTwo}
	control.SetRoster([]board.Host{control.host, one, two})
	for _, get := range hosts {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if status, _ := get("/many/x"); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				t.Fatal("a host serves no request")
			}
		}
	}
	time.Sleep(2 * time.Second) // an owner starts with a part of its bucket

	// Requests that have not run do not count.
	for _, get := range hosts {
		for range 30 {
			status, _ := get("/none")
			is.Equal(status, http.StatusNotFound)
		}
	}

	var mu sync.Mutex
	statuses := make([]map[int]int, len(hosts))
	var group sync.WaitGroup
	start := time.Now()
	for i, get := range hosts {
		statuses[i] = make(map[int]int)
		for range 4 {
			group.Go(func() {
				for time.Since(start) < 3*time.Second {
					status, after := get("/many/x")
					mu.Lock()
					statuses[i][status]++
					mu.Unlock()
					if status == http.StatusTooManyRequests && after == "" {
						t.Error("a refusal does not state when to try again")
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	took := time.Since(start).Seconds()
	served := statuses[0][http.StatusOK] + statuses[1][http.StatusOK]
	t.Logf("%v in %.1f s", statuses, took)
	is.True(float64(served) <= (rate*took+burst)*(1+quota.Overage)+quota.Slack)
	is.True(float64(served) >= rate*took/2)
	for i := range hosts {
		is.True(statuses[i][http.StatusOK] > 0)
		is.True(statuses[i][http.StatusTooManyRequests] > 0)
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	is.True(len(service.runs) >= served)
}

// Guards against a host that holds requests while the owner of an account is silent, lets
// them all pass, or does not begin to count itself once the owner is gone.
func TestSilentOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	_, control := startSlowService(t, "a", 0)
	control.SetDocument(limitedDocument(t, 10, 6))
	self, get := startLimited(t, "one", control.host.Link)
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	owner := board.Host{
		Kind:   board.Entry,
		Domain: "a",
		Link:   silent.LocalAddr().String(),
	}
	for i := 0; owner.ID == "" || gather.Hash(string(owner.ID)) > gather.Hash(string(self.ID)); i++ {
		owner.ID = ident.HostID(fmt.Sprint("silent-", i)) // the only gatherer of two hosts
	}
	control.SetRoster([]board.Host{control.host, self, owner})
	waitFor := func(wanted int) {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			switch status, _ := get("/many/x"); {
			case status == wanted:
				return
			case time.Now().After(deadline):
				t.Fatalf("status %d instead of %d", status, wanted)
			}
		}
	}
	waitFor(http.StatusTooManyRequests)
	served := 0
	for range 100 {
		status, after := get("/many/x")
		if status == http.StatusOK {
			served++
		} else {
			is.Equal(status, http.StatusTooManyRequests)
			is.True(after != "")
		}
	}
	is.True(served <= 6) // the share of hosts without an owner
	control.SetRoster([]board.Host{control.host, self})
	waitFor(http.StatusOK)
}
