package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/devel"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	filingWorkers    = 32
	filingAttempts   = 40
	filingRetryDelay = 20 * time.Millisecond
	filingTimeout    = 15 * time.Second

	// lostAnswerFraction of the filings are run by their upstream, which then
	// closes the connection without an answer.
	lostAnswerFraction = 0.02

	killInterval = 300 * time.Millisecond
)

// filingLoad sends filings and records the last outcome of each.
type filingLoad struct {
	d      *devel.Deployment
	client *http.Client

	mu       sync.Mutex
	outcomes map[ident.RequestID]engine.Outcome
}

func newFilingLoad(d *devel.Deployment) *filingLoad {
	return &filingLoad{
		d:        d,
		client:   &http.Client{Timeout: filingTimeout},
		outcomes: make(map[ident.RequestID]engine.Outcome),
	}
}

// run sends n filings while upstreams are killed in turn, one at a time.
func (f *filingLoad) run(ctx context.Context, n int) error {
	defer f.client.CloseIdleConnections()
	killCtx, stopKills := context.WithCancel(ctx)
	defer stopKills()
	var kills errgroup.Group
	kills.Go(func() error { return f.killInTurn(killCtx) })
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(filingWorkers)
	for i := range n {
		group.Go(func() error { return f.submit(ctx, i) })
	}
	err := group.Wait()
	stopKills()
	_ = kills.Wait()
	return err
}

// killInTurn kills each upstream for killInterval until ctx is done. All
// upstreams lose some answers meanwhile.
func (f *filingLoad) killInTurn(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		killed := f.d.Leaves[i%len(f.d.Leaves)]
		for _, l := range f.d.Leaves {
			l.SetFaults(leaf.Faults{
				LostAnswer: lostAnswerFraction,
				Killed:     l == killed,
			})
		}
		select {
		case <-time.After(killInterval):
		case <-ctx.Done():
		}
	}
	for _, l := range f.d.Leaves {
		l.SetFaults(leaf.Faults{})
	}
	return nil
}

// submit sends a filing through one entry host after the other until it has run
// or its outcome is unknown. A filing that is done is sent once more, like a
// caller would that did not receive the answer.
func (f *filingLoad) submit(ctx context.Context, n int) error {
	resent := false
	for attempt := range filingAttempts {
		entry := f.d.Entries[(n+attempt)%len(f.d.Entries)]
		out, err := f.post(ctx, entry.Address(), filingID(n))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			f.mu.Lock()
			f.outcomes[filingID(n)] = out
			f.mu.Unlock()
		}
		switch {
		case err == nil && out == engine.Unknown:
			return nil
		case err == nil && out == engine.Done && resent:
			return nil
		case err == nil && out == engine.Done:
			resent = true
		default:
			time.Sleep(filingRetryDelay)
		}
	}
	return nil
}

func (f *filingLoad) post(ctx context.Context, address string, request ident.RequestID) (engine.Outcome, error) {
	body, err := json.Marshal(wire.FilingRequest{
		Index: f.d.Shape.Leaves[0].Upstream.Index,
		Body:  "draft " + string(request),
	})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathFilings, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set(wire.HeaderRequestID, string(request))
	res, err := f.client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	var a wire.FilingAnswer
	return a.Outcome, json.NewDecoder(res.Body).Decode(&a)
}

// runs returns how often each filing ran, over all upstreams.
func (f *filingLoad) runs() map[ident.RequestID]int {
	total := make(map[ident.RequestID]int)
	for _, l := range f.d.Leaves {
		for _, filed := range l.Filings() {
			total[filed.Request] += filed.Runs
		}
	}
	return total
}

func (f *filingLoad) maxRuns() int {
	most := 0
	for _, n := range f.runs() {
		most = max(most, n)
	}
	return most
}

// withoutOutcome counts the filings that never got an outcome.
func (f *filingLoad) withoutOutcome() int { return filingCount - len(f.outcomes) }

// contradicted counts the filings whose outcome differs from the number of times
// that the upstreams ran them.
func (f *filingLoad) contradicted() int {
	n := 0
	ran := f.runs()
	for request, out := range f.outcomes {
		if (out == engine.Done && ran[request] != 1) || (out == engine.NotRun && ran[request] != 0) {
			n++
		}
	}
	return n
}

func (f *filingLoad) count(out engine.Outcome) int {
	n := 0
	for _, o := range f.outcomes {
		if o == out {
			n++
		}
	}
	return n
}
