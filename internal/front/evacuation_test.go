package front_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// startUpstream starts an upstream of the service "s" in domain a, and returns the list
// with it and the number of calls that it has got.
func startUpstream(t *testing.T) (board.List, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Stamp", "u."+id)
	}))
	t.Cleanup(srv.Close)
	return board.NewList([]relay.Upstream{{
		ID:      "u",
		Service: "s",
		Address: srv.Listener.Addr().String(),
		Domain:  "a",
		Slots:   1,
	}}), calls
}

func evacuated(r evac.Revision, domains ...ident.Domain) evac.Set {
	return evac.Set{
		Revision: r,
		Domains:  domains,
	}
}

// Guards against an entry host that starts after a power loss of all hosts, is ready
// and calls an evacuated domain, since the control host has not heard of the order yet.
func TestEntryHostWaitsForAConfirmedEvacuation(t *testing.T) {
	is := is.New(t)
	const watched = time.Second // less than an entry host waits
	c := startControlHostThat(t, "a", true)
	list, calls := startUpstream(t)
	c.SetList(list, c.Now())
	c.SetDocument(document(t, 1, "/x/"))
	hasRoute, isReady := startEntryHost(t, c.host.Link)
	is.True(!waitFor(t, watched, func() bool { return isReady() || hasRoute("/x/") && calls.Load() > 0 }))
	c.SetEvacuation(evacuated(4, "a"))
	c.lostLeader.Store(false)
	is.True(waitFor(t, applyTimeout, isReady))
	for range 20 {
		hasRoute("/x/")
	}
	is.Equal(calls.Load(), int64(0))
	c.SetEvacuation(evacuated(5))
	is.True(waitFor(t, applyTimeout, func() bool { return hasRoute("/x/") && calls.Load() > 0 }))
}

// Guards against an entry host in a domain that is cut off from the leader that never
// serves again after a restart.
func TestEntryHostServesWithoutALeader(t *testing.T) {
	is := is.New(t)
	const limit = 8 * time.Second
	c := startControlHostThat(t, "a", true)
	list, calls := startUpstream(t)
	c.SetList(list, c.Now())
	c.SetDocument(document(t, 1, "/x/"))
	hasRoute, isReady := startEntryHost(t, c.host.Link)
	is.True(waitFor(t, limit, isReady))
	is.True(waitFor(t, limit, func() bool { return hasRoute("/x/") && calls.Load() > 0 }))
}

// Guards against an entry host that keeps an old set because the control host of its
// domain answers polls but has lost the leader, while the configuration is unchanged.
func TestEntryHostLeavesAControlHostWithoutTheEvacuation(t *testing.T) {
	is := is.New(t)
	cutOff, other := startControlHost(t, "a"), startControlHost(t, "b")
	list, calls := startUpstream(t)
	for _, c := range []*controlHost{cutOff, other} {
		c.SetRoster([]board.Host{cutOff.host, other.host})
		c.SetList(list, c.Now())
		c.SetDocument(document(t, 1, "/x/"))
		c.SetEvacuation(evacuated(1, "b"))
	}
	hasRoute, _ := startEntryHost(t, cutOff.host.Link)
	served := func() bool {
		before := calls.Load()
		return hasRoute("/x/") && calls.Load() > before
	}
	is.True(waitFor(t, applyTimeout, served))
	cutOff.lostLeader.Store(true)
	other.SetEvacuation(evacuated(2, "a", "b"))
	is.True(waitFor(t, applyTimeout, func() bool { return !served() }))
	other.lostLeader.Store(true) // neither is better now
	is.True(!waitFor(t, 2*time.Second, served))
	other.lostLeader.Store(false)
	other.SetEvacuation(evacuated(3, "b"))
	is.True(waitFor(t, applyTimeout, served))
}

// Guards against an entry host that ignores each later set since it has once got one with
// too high a revision: from a control host that counted an evacuation twice, or from a
// group that has been made anew.
func TestEntryHostGivesUpARevisionOfAnotherLog(t *testing.T) {
	is := is.New(t)
	wrong, right := startControlHost(t, "a"), startControlHost(t, "b")
	list, calls := startUpstream(t)
	for _, c := range []*controlHost{wrong, right} {
		c.SetRoster([]board.Host{wrong.host, right.host})
		c.SetList(list, c.Now())
		c.SetDocument(document(t, 1, "/x/"))
	}
	wrong.SetEvacuation(evacuated(1000))
	right.SetEvacuation(evacuated(7))
	hasRoute, _ := startEntryHost(t, wrong.host.Link)
	served := func() bool {
		before := calls.Load()
		return hasRoute("/x/") && calls.Load() > before
	}
	is.True(waitFor(t, applyTimeout, served))
	wrong.lostLeader.Store(true)
	right.SetEvacuation(evacuated(8, "a"))
	is.True(waitFor(t, applyTimeout, func() bool { return !served() }))
	right.SetEvacuation(evacuated(9))
	is.True(waitFor(t, applyTimeout, served))
}
