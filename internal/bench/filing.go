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
	filers        = 32
	filingTries   = 40
	filingPause   = 20 * time.Millisecond
	filingTimeout = 15 * time.Second

	// lostAnswers is the share of filings whose upstream runs them and then
	// breaks the connection.
	lostAnswers = 0.02

	flapEvery = 300 * time.Millisecond
)

// filer files drafts and keeps the last outcome of each.
type filer struct {
	d      *devel.Deployment
	client *http.Client

	mu       sync.Mutex
	outcomes map[ident.RequestID]engine.Outcome
}

func newFiler(d *devel.Deployment) *filer {
	return &filer{
		d:        d,
		client:   &http.Client{Timeout: filingTimeout},
		outcomes: make(map[ident.RequestID]engine.Outcome),
	}
}

// run files n drafts while one upstream after the other is killed for a while.
func (f *filer) run(ctx context.Context, n int) error {
	defer f.client.CloseIdleConnections()
	life, end := context.WithCancel(ctx)
	defer end()
	var flaps errgroup.Group
	flaps.Go(func() error { return f.flap(life) })
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(filers)
	for i := range n {
		group.Go(func() error { return f.file(ctx, i) })
	}
	err := group.Wait()
	end()
	_ = flaps.Wait()
	return err
}

func (f *filer) flap(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		victim := f.d.Leaves[i%len(f.d.Leaves)]
		for _, l := range f.d.Leaves {
			l.SetFaults(leaf.Faults{
				LostAnswer: lostAnswers,
				Killed:     l == victim,
			})
		}
		select {
		case <-time.After(flapEvery):
		case <-ctx.Done():
		}
	}
	for _, l := range f.d.Leaves {
		l.SetFaults(leaf.Faults{})
	}
	return nil
}

// file sends one draft, and again through the next entry host while it has not
// run. A draft that is done is resent once, as a caller does that lost the answer.
func (f *filer) file(ctx context.Context, n int) error {
	resent := false
	for try := range filingTries {
		entry := f.d.Entries[(n+try)%len(f.d.Entries)]
		out, err := f.post(ctx, entry.Address(), id(n))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			f.mu.Lock()
			f.outcomes[id(n)] = out
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
			time.Sleep(filingPause)
		}
	}
	return nil
}

func (f *filer) post(ctx context.Context, address string, request ident.RequestID) (engine.Outcome, error) {
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
func (f *filer) runs() map[ident.RequestID]int {
	total := make(map[ident.RequestID]int)
	for _, l := range f.d.Leaves {
		for _, filed := range l.Filings() {
			total[filed.Request] += filed.Runs
		}
	}
	return total
}

func (f *filer) mostRuns() int {
	most := 0
	for _, n := range f.runs() {
		most = max(most, n)
	}
	return most
}

// open counts the filings without an outcome.
func (f *filer) open() int { return filingCount - len(f.outcomes) }

// contradicted counts the filings whose outcome is not what the upstreams saw.
func (f *filer) contradicted() int {
	n := 0
	ran := f.runs()
	for request, out := range f.outcomes {
		if (out == engine.Done && ran[request] != 1) || (out == engine.NotRun && ran[request] != 0) {
			n++
		}
	}
	return n
}

func (f *filer) count(out engine.Outcome) int {
	n := 0
	for _, o := range f.outcomes {
		if o == out {
			n++
		}
	}
	return n
}
