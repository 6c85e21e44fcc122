package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 10 * time.Second

// fanOut is a minimal reducer that sends one attempt to each upstream and replies
// when all have ended.
type fanOut struct {
	state    *config.State
	draining bool
	next     ident.AttemptID
	attempts map[ident.AttemptID]ident.QueryID
	open     map[ident.QueryID]*engine.Reply
}

func newFanOut() *fanOut {
	return &fanOut{
		state:    config.NewState(),
		attempts: make(map[ident.AttemptID]ident.QueryID),
		open:     make(map[ident.QueryID]*engine.Reply),
	}
}

func (f *fanOut) Step(_ ident.Instant, ev engine.Event) []engine.Effect {
	var out []engine.Effect
	switch ev := ev.(type) {
	case engine.ConfigApplied:
		f.state = ev.State
		for _, u := range f.state.Upstreams {
			out = append(out, engine.Warm{
				Upstream:    u.ID,
				Address:     u.Address,
				Connections: 2,
			})
		}
	case engine.QueryArrived:
		return f.queryArrived(ev)
	case engine.QueryCancelled:
		delete(f.open, ev.Query)
		for a, q := range f.attempts {
			if q == ev.Query {
				out = append(out, engine.Cancel{Attempt: a})
			}
		}
	case engine.AttemptAnswered:
		return f.attemptEnded(ev.Attempt, ev.Answer.Documents, "")
	case engine.AttemptFailed:
		return f.attemptEnded(ev.Attempt, nil, engine.MissingLost)
	case engine.DrainStarted:
		f.draining = true
	case engine.SeatChanged, engine.UpstreamReported, engine.ProbeFailed, engine.Ticked:
	}
	return out
}

func (f *fanOut) queryArrived(ev engine.QueryArrived) []engine.Effect {
	if f.draining {
		return []engine.Effect{engine.Reply{
			Query:   ev.Query,
			Outcome: engine.NotRun,
			Remedy:  "draining",
		}}
	}
	var out []engine.Effect
	f.open[ev.Query] = &engine.Reply{
		Query:    ev.Query,
		Request:  ev.Request,
		Outcome:  engine.Done,
		Coverage: engine.Coverage{Asked: len(f.state.Upstreams)},
	}
	for _, u := range f.state.Upstreams {
		f.next++
		f.attempts[f.next] = ev.Query
		out = append(out, engine.Send{
			Attempt:   f.next,
			Query:     ev.Query,
			Request:   ev.Request,
			Upstream:  u.ID,
			Address:   u.Address,
			Index:     u.Index,
			Shard:     u.Shards[0],
			Version:   7,
			Terms:     ev.Terms,
			Class:     ev.Class,
			Reason:    engine.First,
			Remaining: waitLimit,
		})
	}
	return out
}

func (f *fanOut) attemptEnded(a ident.AttemptID, docs []engine.Document, reason engine.MissingReason) []engine.Effect {
	q := f.attempts[a]
	delete(f.attempts, a)
	reply := f.open[q]
	if reply == nil {
		return nil
	}
	if reason == "" {
		reply.Coverage.Answered++
	} else {
		reply.Outcome = engine.Partial
		reply.Coverage.Missing = append(reply.Coverage.Missing, engine.Missing{Reason: reason})
	}
	reply.Documents = append(reply.Documents, docs...)
	if reply.Coverage.Answered+len(reply.Coverage.Missing) < reply.Coverage.Asked {
		return nil
	}
	delete(f.open, q)
	return []engine.Effect{*reply}
}

// fakeControl is a Control that keeps filings in memory.
type fakeControl struct {
	configs chan *config.State
	seats   chan engine.Seat

	mu      sync.Mutex
	down    bool
	fence   uint64
	filings map[ident.RequestID]*filing
}

type filing struct {
	hash   ledger.BodyHash
	result host.FilingResult
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		configs: make(chan *config.State, 1),
		seats:   make(chan engine.Seat, 1),
		filings: make(map[ident.RequestID]*filing),
	}
}

func (f *fakeControl) Configs() <-chan *config.State    { return f.configs }
func (f *fakeControl) Seats() <-chan engine.Seat        { return f.seats }
func (*fakeControl) Report(engine.Report)               {}
func (*fakeControl) Grants() <-chan engine.ShareGranted { return nil }
func (*fakeControl) Tell(gossip.Sent)                   {}
func (*fakeControl) Facts() <-chan []gossip.Sent        { return nil }

func (f *fakeControl) File(ctx context.Context, r host.Filing, send host.SendFiling) host.FilingResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	stored, ok := f.filings[r.Request]
	switch {
	case f.down:
		return host.FilingResult{Outcome: engine.NotRun}
	case !ok:
	case stored.hash != r.BodyHash:
		return host.FilingResult{
			Outcome:     engine.NotRun,
			BodyDiffers: true,
		}
	default:
		return stored.result
	}
	f.fence++
	receipt, kind := send(ctx, host.SendPermit{
		Fence:    f.fence,
		Until:    time.Now().Add(r.Budget),
		Deadline: time.Now().Add(r.Budget),
	})
	result := host.FilingResult{
		Outcome: engine.Done,
		Receipt: receipt,
	}
	switch kind {
	case "":
	case engine.Broken, engine.Crashed, engine.TimedOut, engine.Malformed:
		result.Outcome = engine.Unknown
	default:
		return host.FilingResult{Outcome: engine.NotRun}
	}
	f.filings[r.Request] = &filing{
		hash:   r.BodyHash,
		result: result,
	}
	return result
}

// rig is a running host with in-process upstreams and a fake control group.
type rig struct {
	is      *is.I
	url     string
	control *fakeControl
	client  *http.Client
	state   *config.State
	stop    context.CancelFunc
	done    chan error
	endOnce sync.Once
}

func newRig(t *testing.T, configure func(*host.Config), upstreams ...http.Handler) *rig {
	r := &rig{
		is:      is.New(t),
		control: newFakeControl(),
		client: &http.Client{
			Transport: &http.Transport{},
			Timeout:   waitLimit,
		},
		done: make(chan error, 1),
	}
	state := config.NewState()
	for i, up := range upstreams {
		state = withUpstream(r.is, state, string(rune('a'+i)), httptest.NewServer(up), t.Cleanup)
	}
	r.state = state
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	c := host.Config{
		ID:       "h1",
		Listener: l,
		Engine:   newFanOut(),
		Control:  r.control,
		Grace:    time.Millisecond,
	}
	if configure != nil {
		configure(&c)
	}
	h, err := host.New(c)
	r.is.NoErr(err)
	r.url = "http://" + h.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- h.Run(ctx) }()
	t.Cleanup(r.end)
	r.control.configs <- state
	r.eventually(func() bool { return r.get(wire.PathHealth) == http.StatusOK })
	return r
}

// withUpstream returns a state with one more upstream, which holds a shard of its own.
func withUpstream(is *is.I, state *config.State, name string, s *httptest.Server, cleanup func(func())) *config.State {
	cleanup(s.Close)
	next, err := state.Apply(config.AddUpstream{Upstream: config.Upstream{
		ID:        ident.Upstream(name),
		Address:   s.Listener.Addr().String(),
		Index:     "review-panel",
		Service:   ident.Service(name),
		Shards:    []ident.Shard{ident.Shard("review-panel/" + name)},
		Slots:     2,
		ConnLimit: 50,
	}})
	is.NoErr(err)
	return next
}

// end stops the host and waits until Run returns. Further calls do nothing.
func (r *rig) end() {
	r.endOnce.Do(func() {
		r.stop()
		r.client.CloseIdleConnections()
		r.is.NoErr(<-r.done)
	})
}

func (r *rig) get(path string) int {
	resp, err := r.client.Get(r.url + path)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// read returns the body of a GET.
func (r *rig) read(path string) []byte {
	resp, err := r.client.Get(r.url + path)
	r.is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.is.NoErr(err)
	return body
}

// eventually polls for a state that has no event to wait on.
func (r *rig) eventually(ok func() bool) {
	end := time.Now().Add(waitLimit)
	for !ok() {
		r.is.True(time.Now().Before(end)) // the state was not reached in time
		time.Sleep(time.Millisecond)
	}
}

func (r *rig) post(path, body string, header ...string) (int, http.Header, map[string]any) {
	req, err := http.NewRequest(http.MethodPost, r.url+path, bytes.NewBufferString(body))
	r.is.NoErr(err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := r.client.Do(req)
	r.is.NoErr(err)
	defer resp.Body.Close()
	var out map[string]any
	r.is.NoErr(json.NewDecoder(resp.Body).Decode(&out))
	return resp.StatusCode, resp.Header, out
}

// answerShard answers a search with one document that holds the shard's name.
func answerShard(w http.ResponseWriter, req *http.Request) {
	var s wire.LeafSearch
	_ = json.NewDecoder(req.Body).Decode(&s)
	_ = json.NewEncoder(w).Encode(engine.Answer{
		Request: s.Request,
		Attempt: s.Attempt,
		Shard:   s.Shard,
		Version: s.Version,
		Documents: []engine.Document{{
			ID:   string(s.Shard),
			Body: string(s.Shard),
		}},
	})
}
