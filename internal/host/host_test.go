package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Guards against a fault anywhere on the path from the caller to the upstreams
// and back.
func TestSearchGoesToEveryUpstream(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil, http.HandlerFunc(answerShard), http.HandlerFunc(answerShard))
	status, header, body := r.post(wire.PathSearch, `{"Index":"review-panel","Terms":"x"}`, wire.HeaderRequestID, "req-1")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get(wire.HeaderRequestID), "req-1")
	is.Equal(body["RequestID"], "req-1")
	is.Equal(body["Outcome"], "Done")
	is.Equal(len(body["Documents"].([]any)), 2)
}

// Guards against malformed requests reaching the engine and against answers
// without a request id.
func TestBadRequestsAreRefusedByName(t *testing.T) {
	r := newRig(t, func(c *host.Config) { c.MaxBody = 100 }, http.HandlerFunc(answerShard))
	for _, tc := range []struct {
		body   string
		header []string
		status int
		remedy string
	}{
		{`{"Index":"x","Colour":1}`, nil, 400, "Colour"},
		{`{"Index":"x"}{}`, nil, 400, "more data follows"},
		{`{"Terms":"x"}`, nil, 400, "Index is empty"},
		{`{"Index":"x","Class":"First"}`, nil, 400, `Class is "First"`},
		{`{"Index":"x","Limit":-1}`, nil, 400, "Limit is -1"},
		{`{"Index":"x"}`, []string{wire.HeaderDeadline, "soon"}, 400, "soon"},
		{`{"Index":"x"}`, []string{wire.HeaderRequestID, "a b"}, 400, wire.HeaderRequestID},
		{`{"Index":"` + strings.Repeat("x", 100) + `"}`, nil, 413, "100 bytes"},
	} {
		status, header, body := r.post(wire.PathSearch, tc.body, tc.header...)
		r.is.Equal(status, tc.status)
		r.is.True(strings.Contains(body["Remedy"].(string), tc.remedy)) // the remedy names the fault
		r.is.True(header.Get(wire.HeaderRequestID) != "")
		r.is.Equal(body["Outcome"], "NotRun")
	}
}

// Guards against upstreams that keep working for a caller that disconnected.
func TestCallerThatLeavesCancelsTheAttempts(t *testing.T) {
	is := is.New(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	r := newRig(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		var s wire.LeafSearch
		_ = json.NewDecoder(req.Body).Decode(&s)
		close(started)
		<-req.Context().Done()
		close(cancelled)
	}))
	ctx, disconnect := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+wire.PathSearch, strings.NewReader(`{"Index":"review-panel"}`))
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := r.client.Do(req)
		is.True(err != nil)
	}()
	<-started
	disconnect()
	<-done
	<-cancelled
}

// Guards against a query that is interrupted by the body timeout, since net/http
// applies a read deadline to the connection and not only to the body.
func TestQueryOutlivesTheBodyTimeout(t *testing.T) {
	is := is.New(t)
	const bodyTimeout = 50 * time.Millisecond
	r := newRig(t, func(c *host.Config) { c.BodyTimeout = bodyTimeout }, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		<-time.After(3 * bodyTimeout)
		answerShard(w, req)
	}))
	status, _, _ := r.post(wire.PathSearch, `{"Index":"review-panel"}`)
	is.Equal(status, http.StatusOK)
}

// Guards against a shutdown that interrupts a request in flight, or that refuses
// requests before the load balancer can notice the failing health check.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 1), make(chan struct{})
	r := newRig(t, func(c *host.Config) { c.Grace = 300 * time.Millisecond }, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		started <- struct{}{}
		<-release
		answerShard(w, req)
	}))
	var searches sync.WaitGroup
	search := func() {
		defer searches.Done()
		status, _, body := r.post(wire.PathSearch, `{"Index":"review-panel"}`)
		is.Equal(status, http.StatusOK)
		is.Equal(body["Outcome"], "Done")
	}
	searches.Add(2)
	go search()
	<-started
	r.stop()
	r.eventually(func() bool { return r.get(wire.PathHealth) == http.StatusServiceUnavailable })
	go search() // during the grace period
	<-started
	r.eventually(func() bool { return r.get(wire.PathHealth) == 0 }) // the listener is closed
	close(release)
	searches.Wait()
}

// Guards against a shutdown that interrupts or refuses requests of callers that
// stop as soon as the health check fails, as a load balancer does.
func TestShutdownUnderLoad(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(c *host.Config) { c.Grace = 500 * time.Millisecond }, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		<-time.After(2 * time.Millisecond)
		answerShard(w, req)
	}))
	var unhealthy atomic.Bool
	var done atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for !unhealthy.Load() {
				resp, err := r.client.Post(r.url+wire.PathSearch, "application/json", strings.NewReader(`{"Index":"review-panel"}`))
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request was interrupted or refused: %v %v", resp, err)
					return
				}
				var body wire.SearchAnswer
				if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Outcome != engine.Done {
					t.Errorf("answer was truncated: %v %v", body, err)
				}
				resp.Body.Close()
				done.Add(1)
			}
		})
	}
	r.eventually(func() bool { return done.Load() > 100 })
	r.stop()
	r.eventually(func() bool { return r.get(wire.PathHealth) == http.StatusServiceUnavailable })
	unhealthy.Store(true)
	callers.Wait()
	r.end()
	is.True(done.Load() > 100)
}

// Guards against a connection that is reset or dropped because it was opened just
// as the listener closed. Callers that ignore the health check must get either an
// answer, be it NotRun, or a refused connection.
func TestShutdownCutsNoNewConnection(t *testing.T) {
	r := newRig(t, nil, http.HandlerFunc(answerShard))
	noKeepAlive := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var callers sync.WaitGroup
	started := make(chan struct{}, 8)
	for range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				resp, err := noKeepAlive.Post(r.url+wire.PathSearch, "application/json", strings.NewReader(`{"Index":"review-panel"}`))
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err != nil {
					t.Errorf("request was interrupted: %v", err)
					return
				}
				var body wire.SearchAnswer
				if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || (body.Outcome != engine.Done && body.Outcome != engine.NotRun) {
					t.Errorf("answer was truncated: %v %v", body, err)
				}
				resp.Body.Close()
				if n == 0 {
					started <- struct{}{}
				}
			}
		})
	}
	for range 8 {
		<-started
	}
	r.end()
	callers.Wait()
}

// Guards against a filing that runs twice, or whose recorded outcome differs
// from the answer.
func TestFilingRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	r := newRig(t, nil, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var f wire.LeafFile
		_ = json.NewDecoder(req.Body).Decode(&f)
		runs.Add(1)
		_ = json.NewEncoder(w).Encode(wire.LeafFiled{
			Request: f.Request,
			Fence:   f.Fence,
			Receipt: "r" + f.Body,
		})
	}))
	for range 2 {
		status, _, body := r.post(wire.PathFilings, `{"Index":"review-panel","Body":"draft"}`, wire.HeaderRequestID, "f1")
		is.Equal(status, http.StatusOK)
		is.Equal(body["Receipt"], "rdraft")
	}
	is.Equal(runs.Load(), int64(1))
	status, _, body := r.post(wire.PathFilings, `{"Index":"review-panel","Body":"other"}`, wire.HeaderRequestID, "f1")
	is.Equal(status, http.StatusConflict)
	is.Equal(body["Outcome"], "NotRun")
	r.control.mu.Lock()
	r.control.down = true
	r.control.mu.Unlock()
	status, header, body := r.post(wire.PathFilings, `{"Index":"review-panel","Body":"more"}`, wire.HeaderRequestID, "f2")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body["Outcome"], "NotRun")
	is.True(header.Get("Retry-After") != "")
	is.Equal(runs.Load(), int64(1))
}

// Guards against a filing reported as NotRun although the upstream may have run
// it, and against a reservation that is kept although the filing did not run.
func TestFilingOutcomeFollowsTheUpstream(t *testing.T) {
	for _, tc := range []struct {
		leaf    http.HandlerFunc
		status  int
		outcome string
	}{
		{func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 504, "Unknown"},
		{func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }, 504, "Unknown"},
		{func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, 504, "Unknown"},
		{func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(wire.LeafError{Kind: engine.Shed})
		}, 503, "NotRun"},
	} {
		r := newRig(t, nil, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			var f wire.LeafFile
			_ = json.NewDecoder(req.Body).Decode(&f)
			tc.leaf(w, req)
		}))
		status, _, body := r.post(wire.PathFilings, `{"Index":"review-panel","Body":"d"}`, wire.HeaderRequestID, "f1", wire.HeaderDeadline, "200")
		r.is.Equal(status, tc.status)
		r.is.Equal(body["Outcome"], tc.outcome)
		_, stored := r.control.filings["f1"]
		r.is.Equal(stored, tc.outcome == "Unknown")
	}
}

// slowToApply is a fanOut that takes 100 ms to apply a configuration.
type slowToApply struct{ *fanOut }

func (s slowToApply) Step(now ident.Instant, ev engine.Event) []engine.Effect {
	if _, ok := ev.(engine.ConfigApplied); ok {
		time.Sleep(100 * time.Millisecond)
	}
	return s.fanOut.Step(now, ev)
}

// Guards against a host that passes its health check, or sends filings to a new
// upstream, before it may open a connection there: it would refuse them.
func TestFilingsWaitForNoConfiguration(t *testing.T) {
	leaf := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var f wire.LeafFile
		_ = json.NewDecoder(req.Body).Decode(&f)
		_ = json.NewEncoder(w).Encode(wire.LeafFiled{
			Request: f.Request,
			Fence:   f.Fence,
			Receipt: "r",
		})
	})
	r := newRig(t, func(c *host.Config) { c.Engine = slowToApply{newFanOut()} }, leaf)
	file := func(id string) {
		status, _, body := r.post(wire.PathFilings, `{"Index":"review-panel","Body":"d"}`, wire.HeaderRequestID, id)
		if status != http.StatusOK {
			t.Fatalf("filing %s: status %d, %v", id, status, body)
		}
	}
	file("first")
	state := withUpstream(r.is, r.state, "b", httptest.NewServer(leaf), t.Cleanup)
	r.control.configs <- state
	for i := range 40 { // of two shards, one of them new
		file(fmt.Sprintf("f%d", i))
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a host and an engine that disagree about their interface,
// against a recording of a running host that does not replay, and against gauges
// that stay at zero while the engine is behind a recorder.
func TestEngineAnswersThroughTheHost(t *testing.T) {
	is := is.New(t)
	leaf := func(shard ident.Shard) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path != wire.PathLeafHealth {
				answerShard(w, req)
				return
			}
			_ = json.NewEncoder(w).Encode(wire.LeafHealth{
				Health: engine.HealthReady,
				Held: []engine.Held{{
					Shard:    shard,
					Versions: []ident.IndexVersion{7},
				}},
			})
		}
	}
	path := filepath.Join(t.TempDir(), "record")
	setup := engine.Config{
		Host: "h1",
		Seed: 1,
	}
	queryEngine := engine.NewEngine(setup)
	rec, err := replay.NewRecorder(replay.Config{
		Path:    path,
		Reducer: replay.ReducerEngine,
		Setup:   setup,
	}, queryEngine.Step)
	is.NoErr(err)
	metrics := stats.New()
	defer metrics.Close()
	r := newRig(t, func(c *host.Config) {
		c.Engine, c.Stats, c.Depths = rec, metrics, host.DepthsOf(queryEngine)
	}, leaf("review-panel/a"), leaf("review-panel/b"))
	status, _, body := r.post(wire.PathSearch, `{"Index":"review-panel"}`)
	is.Equal(status, http.StatusServiceUnavailable) // no seat yet
	is.Equal(body["Outcome"], "NotRun")
	r.control.seats <- engine.SeatHeld
	r.eventually(func() bool {
		_, _, body = r.post(wire.PathSearch, `{"Index":"review-panel"}`)
		return body["Outcome"] == "Done"
	})
	is.Equal(body["Version"], 7.0)
	is.Equal(len(body["Documents"].([]any)), 2)
	r.eventually(func() bool {
		text := string(r.read(wire.PathMetrics))
		return strings.Contains(text, `entry_queue_length{class="Critical"} 0`) &&
			regexp.MustCompile(`entry_budget_tokens\{budget="retry"\} (5|10)\.[1-9]`).MatchString(text)
	})
	r.end()
	is.NoErr(rec.Close())
	file, err := os.Open(path)
	is.NoErr(err)
	defer file.Close()
	rep, err := replay.Run(file)
	is.NoErr(err)
	is.Equal(rep.Difference, nil)
	is.True(rep.Ended)
}

// Guards against spans, the trace context of an upstream or metrics that are
// missing on the path of a query.
func TestTelemetryOfAQuery(t *testing.T) {
	is := is.New(t)
	tracer, err := span.New(span.Config{Host: "h1"})
	is.NoErr(err)
	defer tracer.Close(context.Background())
	metrics := stats.New()
	defer metrics.Close()
	headers := make(chan string, 1)
	r := newRig(t, func(c *host.Config) { c.Tracer, c.Stats = tracer, metrics }, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		headers <- req.Header.Get(wire.HeaderTrace)
		answerShard(w, req)
	}))
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	_, _, body := r.post(wire.PathSearch, `{"Index":"review-panel"}`, wire.HeaderTrace, "00-"+trace+"-00f067aa0ba902b7-01", wire.HeaderRequestID, "req-1")
	is.Equal(body["Outcome"], "Done")
	upstreamTrace := <-headers
	is.True(strings.HasPrefix(upstreamTrace, "00-"+trace) && strings.HasSuffix(upstreamTrace, "-01"))
	var got struct{ Spans []span.Record }
	is.NoErr(json.Unmarshal(r.read("/v1/traces?Request=req-1"), &got))
	is.Equal(len(got.Spans), 3)
	r.eventually(func() bool {
		text := string(r.read(wire.PathMetrics))
		return strings.Contains(text, `entry_queries{class="Standard",outcome="Done"} 1`) &&
			strings.Contains(text, `entry_attempts{reason="First",result="Answered"} 1`) &&
			strings.Contains(text, `entry_seat{state="None"} 1`)
	})
}

// Guards against a filing that is sent to an upstream after it reported that it
// is draining: it must get no new requests.
func TestFilingAvoidsDrainingUpstream(t *testing.T) {
	is := is.New(t)
	var filed atomic.Int64
	r := newRig(t, nil, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == wire.PathLeafFile {
			filed.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(wire.LeafError{Kind: engine.Draining})
			return
		}
		answerShard(w, req)
	}))
	for i := range 5 {
		status, _, body := r.post(wire.PathFilings, `{"Index":"review-panel","Body":"d"}`, wire.HeaderRequestID, fmt.Sprintf("f%d", i))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(body["Outcome"], "NotRun")
	}
	is.Equal(filed.Load(), int64(1)) // the first failure marks the upstream as draining
}
