package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// newStopHarness returns an engine with one connection to each of two upstreams of
// a service, for routes that callers wait 10 s for.
func newStopHarness(t *testing.T) *harness {
	h := newHarness(t, 4)
	d := document(4)
	d.Version++
	for i := range d.Services {
		d.Services[i].MaxConnections = 1
	}
	for i := range d.Routes {
		d.Routes[i].Timeout = 10 * time.Second
	}
	h.step(relay.Install{Table: rules.NewTable(d)})
	return h
}

func (h *harness) arriveFor(id ident.QueryID, path string, limit time.Duration) []relay.Effect {
	return h.step(relay.Arrive{
		Query: id,
		Host:  "a.example",
		Path:  path,
		Limit: limit,
	})
}

// answerIn sends one request and lets its upstream answer after d.
func (h *harness) answerIn(id ident.QueryID, path string, d time.Duration) {
	list := calls(h.arriveFor(id, path, 10*time.Second))
	h.now = h.now.Add(d)
	for _, c := range list {
		h.end(c, relay.Good)
	}
}

func refusals(effects []relay.Effect) map[ident.QueryID]relay.Refuse {
	byQuery := map[ident.QueryID]relay.Refuse{}
	for _, r := range all[relay.Refuse](effects) {
		byQuery[r.Query] = r
	}
	return byQuery
}

// Guards against requests that wait in a stopping host until it ends: those that no
// upstream can answer by then are refused at once as not run.
func TestStoppingHostRefusesWhatWaitsTooLong(t *testing.T) {
	for _, path := range []string{"/file/x", "/read/x"} {
		is := is.New(t)
		h := newStopHarness(t)
		h.answerIn(1, path, time.Second)
		for id := ident.QueryID(2); id < 12; id++ {
			h.now += ms
			h.arriveFor(id, path, 10*time.Second)
		}
		sent := len(calls(h.seen))
		refused := refusals(h.step(relay.Stopping{End: h.now.Add(3 * time.Second)}))
		is.True(len(refused) >= 4) // two run, and at most four more can be answered in 3 s
		is.True(len(refused) <= 8)
		for id, r := range refused {
			is.True(id >= 4)
			is.Equal(r.Status, relay.NotNow)
			is.True(r.After < 50*time.Millisecond)
		}
		is.Equal(len(calls(h.seen)), sent)
	}
}

// Guards against a request that was read slowly and turns back the clock: a host that
// has reached its end began it.
func TestSlowRequestDoesNotTurnBackTheClock(t *testing.T) {
	for _, path := range []string{"/file/x", "/read/x"} {
		is := is.New(t)
		h := newStopHarness(t)
		began := h.now
		h.step(relay.Stopping{End: h.now.Add(3 * time.Second)})
		h.advance(3*time.Second + time.Millisecond)
		effects := h.engine.Step(relay.Arrive{
			Now:   began,
			Query: 1,
			Host:  "a.example",
			Path:  path,
			Limit: 10 * time.Second,
		})
		is.Equal(len(calls(effects)), 0)
		is.Equal(refusals(effects)[1].Status, relay.NotNow)
	}
}

// Guards against a request that was read for longer than its caller waits, and is sent
// all the same.
func TestTimeOfReadingCounts(t *testing.T) {
	for _, path := range []string{"/file/x", "/read/x", "/search/x"} {
		is := is.New(t)
		h := newHarness(t, 4)
		effects := h.step(relay.Arrive{
			Began: h.now.Add(-500 * time.Millisecond),
			Query: 1,
			Host:  "a.example",
			Path:  path,
			Limit: 500 * time.Millisecond,
		})
		is.Equal(len(calls(effects)), 0)
		is.Equal(len(all[relay.Delegate](effects)), 0)
		is.Equal(refusals(effects)[1].Status, relay.NotNow)
	}
}

// Guards against a process that is paused between reading a request and sending it, and
// then sends it too late, or after its own end.
func TestTimeOfAPauseCounts(t *testing.T) {
	for _, path := range []string{"/file/x", "/read/x", "/search/x"} {
		for _, stopping := range []bool{false, true} {
			is := is.New(t)
			h := newHarness(t, 4)
			h.now += ms
			read := relay.Arrive{
				Now:   h.now,
				Query: 1,
				Host:  "a.example",
				Path:  path,
				Limit: time.Second,
			}
			if stopping {
				h.step(relay.Stopping{End: h.now.Add(500 * time.Millisecond)})
				read.Limit = 10 * time.Second
			}
			h.now = h.now.Add(time.Second) // the pause
			effects := h.step(read)
			is.Equal(len(calls(effects)), 0)
			is.Equal(len(all[relay.Delegate](effects)), 0)
			is.Equal(refusals(effects)[1].Status, relay.NotNow)
		}
	}
}

// Guards against a request that may run once only and that a stopping host sends
// although it cannot wait for the answer.
func TestStoppingHostBeginsNothingThatMayNotEnd(t *testing.T) {
	for _, row := range []struct {
		name  string
		known time.Duration // the time of an earlier answer, 0 for none
		left  time.Duration // from the arrival to the end of the host
		path  string
		sent  bool
	}{
		{name: "unknown", left: 3 * time.Second, path: "/file/x"},
		{name: "long", known: 2 * time.Second, left: 3 * time.Second, path: "/file/x"},
		{name: "short", known: time.Second, left: 3 * time.Second, path: "/file/x", sent: true},
		{name: "repeatable", known: 2 * time.Second, left: 3 * time.Second, path: "/read/x", sent: true},
		{name: "repeatable and too long", known: 4 * time.Second, left: 3 * time.Second, path: "/read/x"},
		{name: "repeatable and unknown", left: 3 * time.Second, path: "/read/x", sent: true},
		{name: "shards", known: 50 * time.Millisecond, left: 3 * time.Second, path: "/search/x", sent: true},
		{name: "shards too late", known: 50 * time.Millisecond, left: 40 * time.Millisecond, path: "/search/x"},
		{name: "after the end", known: time.Millisecond, left: -time.Second, path: "/read/x"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			h := newStopHarness(t)
			if row.known > 0 {
				h.answerIn(1, row.path, row.known)
			}
			h.step(relay.Stopping{End: h.now.Add(row.left)})
			effects := h.arriveFor(2, row.path, 10*time.Second)
			is.Equal(len(calls(effects)) > 0, row.sent)
			r, refused := refusals(effects)[2]
			is.Equal(refused, !row.sent)
			if refused {
				is.Equal(r.Status, relay.NotNow)
			}
		})
	}
}

// Guards against a request that a stopping host refuses although its own deadline
// is before the end of the host.
func TestStoppingHostSendsWhatEndsBefore(t *testing.T) {
	is := is.New(t)
	h := newStopHarness(t)
	h.step(relay.Stopping{End: h.now.Add(3 * time.Second)})
	is.Equal(len(calls(h.arriveFor(1, "/file/x", 2*time.Second))), 1)
}

// Guards against calls in flight that are cut off at the end of a stopping host:
// their callers get an answer that does not claim that the request has not run.
func TestStoppingHostAnswersCallsInFlight(t *testing.T) {
	for _, path := range []string{"/file/x", "/read/x", "/search/x"} {
		is := is.New(t)
		h := newStopHarness(t)
		is.True(len(calls(h.arriveFor(1, path, 10*time.Second))) > 0)
		h.step(relay.Stopping{End: h.now.Add(3 * time.Second)})
		is.Equal(len(refusals(h.advance(2990*time.Millisecond))), 0)
		is.Equal(refusals(h.advance(20 * time.Millisecond))[1].Status, relay.TimedOut)
	}
}

// Guards against a waiting request that is sent too late since the calls before it
// took longer than expected.
func TestStoppingHostFollowsSlowerUpstreams(t *testing.T) {
	is := is.New(t)
	h := newStopHarness(t)
	h.answerIn(1, "/read/x", 100*time.Millisecond)
	for id := ident.QueryID(2); id < 6; id++ {
		h.now += ms
		h.arriveFor(id, "/read/x", 10*time.Second)
	}
	is.Equal(len(refusals(h.step(relay.Stopping{End: h.now.Add(3 * time.Second)}))), 0)
	waiting := refusals(h.advance(1600 * time.Millisecond)) // the two calls in flight are not answered
	is.Equal(len(waiting), 2)
	for _, r := range waiting {
		is.Equal(r.Status, relay.NotNow)
	}
}
