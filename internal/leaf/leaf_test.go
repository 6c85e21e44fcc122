package leaf_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/synth"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type testLeaf struct {
	*leaf.Leaf
	t      testing.TB
	client *http.Client
	stop   func()
}

// start runs an upstream until the test ends. edit may change its configuration.
func start(t testing.TB, edit func(*leaf.Config)) *testLeaf {
	t.Helper()
	cfg := leaf.Config{
		Upstream: config.Upstream{
			ID:        "a-1-1",
			Address:   "127.0.0.1:0",
			Index:     "a",
			Service:   "a-1",
			Shards:    []ident.Shard{"a/1"},
			Slots:     2,
			ConnLimit: 20,
			Phase:     config.Active,
		},
		Control:    "127.0.0.1:0",
		Seed:       1,
		Versions:   []ident.IndexVersion{1, 2},
		QueueBound: 2,
	}
	if edit != nil {
		edit(&cfg)
	}
	l, err := leaf.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	r := &testLeaf{
		Leaf:   l,
		t:      t,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}},
	}
	r.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run returned %v", err)
		}
		ended <- nil
	}
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		r.stop()
	})
	return r
}

func searchRequest() wire.LeafSearch {
	return wire.LeafSearch{
		Request: "r-1",
		Attempt: 9,
		Index:   "a",
		Shard:   "a/1",
		Version: 2,
		Terms:   "candidate 17",
		Class:   preset.Critical,
	}
}

// post sends a body and returns the status and body of the response. Status 0
// means that the connection broke.
func (r *testLeaf) post(ctx context.Context, path string, body any) (int, []byte) {
	doc, err := wire.Encode(body)
	if err != nil {
		r.t.Error(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address()+path, bytes.NewReader(doc))
	if err != nil {
		r.t.Error(err)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	got, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return 0, got
	}
	return res.StatusCode, got
}

func (r *testLeaf) search(s wire.LeafSearch) (int, []byte) {
	return r.post(context.Background(), wire.PathLeafSearch, s)
}

func kindOf(t *testing.T, doc []byte) engine.FailKind {
	t.Helper()
	e, err := wire.DecodeLeafError(bytes.NewReader(doc))
	if err != nil {
		t.Fatal(err)
	}
	return e.Kind
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within 10 s", what)
		}
	}
}

// Guards against answers whose documents are not those of package synth, and
// against searches answered for a version or shard that the upstream does not
// have.
func TestAnswersFollowHeldVersions(t *testing.T) {
	is := is.New(t)
	r := start(t, nil)
	status, doc := r.search(searchRequest())
	is.Equal(status, http.StatusOK)
	a, err := wire.DecodeAnswer(bytes.NewReader(doc))
	is.NoErr(err)
	is.Equal(a.Request, ident.RequestID("r-1"))
	is.Equal(a.Attempt, ident.AttemptID(9))
	is.Equal(a.Documents, synth.Documents(1, "a/1", 2, "candidate 17", 0))
	is.Equal(a.Held, []engine.Held{{Shard: "a/1", Versions: []ident.IndexVersion{1, 2}}})

	r.AddVersion(3)
	r.DropVersion(2)
	status, doc = r.search(searchRequest())
	is.Equal(status, http.StatusConflict)
	e, err := wire.DecodeLeafError(bytes.NewReader(doc))
	is.NoErr(err)
	is.Equal(e.Kind, engine.VersionGone)
	is.Equal(e.Held[0].Versions, []ident.IndexVersion{1, 3})

	r.AddShard("a/2")
	r.DropShard("a/1")
	_, doc = r.search(searchRequest())
	is.Equal(kindOf(t, doc), engine.WrongShard)
}

// Guards against an unbounded queue, and against requests that run although they
// were cancelled or their deadline was exceeded.
func TestSlotsQueueAndCancellation(t *testing.T) {
	is := is.New(t)
	r := start(t, func(c *leaf.Config) { c.ServiceTime.Median = time.Hour })
	ended := make(chan int, 4)
	// sendTwo sends two searches and returns a function that cancels them.
	sendTwo := func() func() {
		ctx, cancel := context.WithCancel(context.Background())
		for range 2 {
			go func() {
				status, _ := r.post(ctx, wire.PathLeafSearch, searchRequest())
				ended <- status
			}()
		}
		return cancel
	}
	cancelRunning := sendTwo()
	waitFor(t, "two runs", func() bool { return r.Stats().Running == 2 })
	cancelWaiting := sendTwo()
	waitFor(t, "full queue", func() bool { return r.Stats().Waiting == 2 })
	status, doc := r.search(searchRequest())
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(kindOf(t, doc), engine.Shed)
	cancelWaiting()
	waitFor(t, "cancellation of the waiting requests", func() bool { return r.Stats().Cancelled == 2 })
	is.Equal(r.Stats().Runs, uint64(2)) // the waiting requests never ran
	cancelRunning()
	waitFor(t, "cancellation of the running requests", func() bool { return r.Stats().Cancelled == 4 })
	for range 4 {
		<-ended
	}
	is.Equal(r.Stats().Running+r.Stats().Waiting, 0)
	late := searchRequest()
	late.RemainingMicros = 1_000
	status, doc = r.search(late)
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(kindOf(t, doc), engine.TimedOut)
}

// Guards against a connection limit that is not enforced, and refused connections
// that are not counted.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	r := start(t, func(c *leaf.Config) { c.Upstream.ConnLimit = 2 })
	var open []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", r.Address())
		is.NoErr(err)
		open = append(open, c)
	}
	waitFor(t, "two connections", func() bool { return r.Stats().OpenConns == 2 })
	c, err := net.Dial("tcp", r.Address())
	if err == nil {
		_, err = c.Read(make([]byte, 1))
		c.Close()
	}
	is.True(err != nil && !errors.Is(err, io.EOF)) // closed with a reset, not a FIN
	s := r.Stats()
	is.Equal(s.RefusedConns, uint64(1))
	is.Equal(s.PeakConns, 3)
	for _, c := range open {
		c.Close()
	}
	waitFor(t, "closed connections", func() bool { return r.Stats().OpenConns == 0 })
}

// Guards against a drain that admits new requests or breaks running ones.
func TestDrain(t *testing.T) {
	is := is.New(t)
	r := start(t, func(c *leaf.Config) { c.ServiceTime.Median = 100 * time.Millisecond })
	ended := make(chan int, 1)
	go func() {
		status, _ := r.search(searchRequest())
		ended <- status
	}()
	waitFor(t, "a run", func() bool { return r.Stats().Running == 1 })
	r.Drain(true)
	_, doc := r.search(searchRequest())
	is.Equal(kindOf(t, doc), engine.Draining)
	r.client.CloseIdleConnections()
	r.stop()
	is.Equal(<-ended, http.StatusOK)
}

// Guards against filings that are cancelled while they run, or counted wrongly
// when the answer is lost.
func TestFilingsRunToTheEnd(t *testing.T) {
	is := is.New(t)
	r := start(t, func(c *leaf.Config) { c.ServiceTime.Median = 20 * time.Millisecond })
	file := wire.LeafFile{
		Request: "f-1",
		Fence:   4,
		Shard:   "a/1",
		Body:    "letter",
	}
	status, doc := r.post(context.Background(), wire.PathLeafFile, file)
	is.Equal(status, http.StatusOK)
	got, err := wire.DecodeLeafFiled(bytes.NewReader(doc))
	is.NoErr(err)
	is.Equal(got.Fence, uint64(4))
	r.SetFaults(leaf.Faults{LostAnswer: 1})
	status, _ = r.post(context.Background(), wire.PathLeafFile, file)
	is.Equal(status, 0)
	is.Equal(r.Filings()[0], leaf.FilingRuns{Request: "f-1", Runs: 2})
}

// Guards against faults without effect: each must give the sender an answer that
// differs from the correct one.
func TestFaultsChangeAnswers(t *testing.T) {
	r := start(t, nil)
	correct := engine.Answer{
		Request:   "r-1",
		Attempt:   9,
		Shard:     "a/1",
		Version:   2,
		Documents: synth.Documents(1, "a/1", 2, "candidate 17", 0),
	}
	for _, f := range []leaf.Faults{
		{ShedFraction: 1},
		{WrongID: 1},
		{WrongAttempt: 1},
		{WrongVersion: 1},
		{WrongShard: 1},
		{SilentLie: 1},
		{Malformed: 1},
		{Endless: 1},
		{Drip: 1},
		{Lost: true},
		{LostAnswer: 1},
		{Killed: true},
	} {
		is := is.New(t)
		r.SetFaults(f)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, doc := r.post(ctx, wire.PathLeafSearch, searchRequest())
		cancel()
		got, err := wire.DecodeAnswer(bytes.NewReader(doc))
		got.Held = nil
		gotBody, _ := wire.Encode(got)
		wantBody, _ := wire.Encode(correct)
		if err == nil && bytes.Equal(gotBody, wantBody) {
			t.Errorf("faults %+v have no effect", f)
		}
		r.SetFaults(leaf.Faults{})
		status, _ := r.search(searchRequest())
		is.Equal(status, http.StatusOK) // cleared faults have no further effect
	}
}

// Guards against a load report that is newer than ReportLag, or that is never
// updated.
func TestLaggingReport(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		lag     time.Duration
		updated bool
	}{{time.Hour, false}, {30 * time.Millisecond, true}} {
		r := start(t, func(cfg *leaf.Config) {
			cfg.ReportLag = c.lag
			cfg.ServiceTime.Median = time.Hour
		})
		ctx, cancel := context.WithCancel(context.Background())
		go r.post(ctx, wire.PathLeafSearch, searchRequest())
		waitFor(t, "a run", func() bool { return r.Stats().Running == 1 })
		load := func() engine.Load {
			res, err := r.client.Get("http://" + r.Address() + wire.PathLeafHealth)
			is.NoErr(err)
			defer res.Body.Close()
			h, err := wire.DecodeLeafHealth(res.Body)
			is.NoErr(err)
			return h.Load
		}
		if c.updated {
			waitFor(t, "report of the load", func() bool { return load().Running == 1 })
		} else {
			is.Equal(load(), engine.Load{})
		}
		cancel()
		waitFor(t, "end of the run", func() bool { return r.Stats().Running == 0 })
	}
}

// Guards against connections to an unresponsive upstream that stay open after
// their sender disconnected, and would exhaust the connection limit.
func TestLostUpstreamFreesConnections(t *testing.T) {
	is := is.New(t)
	r := start(t, func(c *leaf.Config) { c.Faults.Lost = true })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.post(ctx, wire.PathLeafSearch, searchRequest())
	}()
	waitFor(t, "arrival", func() bool { return r.Stats().Requests == 1 })
	cancel()
	<-ended
	waitFor(t, "closed connection", func() bool { return r.Stats().OpenConns == 0 })
	is.Equal(r.Stats().Runs, uint64(0))
}

// Guards against a record of searches that drops ids too early or too late.
func TestRememberedSearches(t *testing.T) {
	is := is.New(t)
	r := start(t, nil)
	r.Reset(leaf.Reset{
		Versions: []ident.IndexVersion{2},
		Shards:   []ident.Shard{"a/1"},
		Remember: 2,
	})
	ids := []ident.RequestID{"r-1", "r-2", "r-3"}
	for _, id := range ids {
		s := searchRequest()
		s.Request = id
		status, _ := r.search(s)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(r.Ran(append(ids, "r-4")), ids[1:])
}

// Guards against a control listener that accepts unknown fields or ignores a
// request.
func TestControlPath(t *testing.T) {
	is := is.New(t)
	r := start(t, func(c *leaf.Config) { c.ColdPeriod = time.Hour })
	send := func(path, body string) int {
		res, err := r.client.Post("http://"+r.ControlAddress()+path, "application/json", bytes.NewBufferString(body))
		is.NoErr(err)
		defer res.Body.Close()
		return res.StatusCode
	}
	is.Equal(send(leaf.PathFaults, `{"Slow":1}`), http.StatusBadRequest)
	is.Equal(send(leaf.PathFaults, `{"ShedFraction":0.5}`), http.StatusOK)
	is.Equal(r.Faults(), leaf.Faults{ShedFraction: 0.5})
	is.Equal(send(leaf.PathVersions, `{"Add":5,"Drop":1}`), http.StatusOK)
	health := func() wire.LeafHealth {
		res, err := r.client.Get("http://" + r.Address() + wire.PathLeafHealth)
		is.NoErr(err)
		defer res.Body.Close()
		h, err := wire.DecodeLeafHealth(res.Body)
		is.NoErr(err)
		return h
	}
	is.Equal(health().Held[0].Versions, []ident.IndexVersion{2, 5})
	is.Equal(health().Health, engine.HealthCold)
	is.Equal(send(leaf.PathDrain, `{"On":true}`), http.StatusOK)
	is.Equal(health().Health, engine.HealthDraining)
	r.SetFaults(leaf.Faults{Misleading: true})
	is.Equal(health().Health, engine.HealthReady)
}
