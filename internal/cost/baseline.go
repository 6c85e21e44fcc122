package cost

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const baselineTimeout = time.Second

// minimalFanOut is the simplest fan-out with net/http: it makes one call per
// shard and concatenates the answers, without index versions, hedged requests,
// limits or coverage.
type minimalFanOut struct {
	leaves []config.Upstream
	client *http.Client
}

// ServeHTTP answers a search with the documents of all shards.
func (f *minimalFanOut) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req wire.SearchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), baselineTimeout)
	defer cancel()
	answers := make([]engine.Answer, len(f.leaves))
	errs := make([]error, len(f.leaves))
	var group sync.WaitGroup
	for i := range f.leaves {
		group.Go(func() { errs[i] = f.search(ctx, i, &req, &answers[i]) })
	}
	group.Wait()
	out := wire.SearchAnswer{Outcome: engine.Done}
	for i := range answers {
		if errs[i] != nil {
			out.Outcome = engine.Partial
		}
		out.Documents = append(out.Documents, answers[i].Documents...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the caller disconnected
}

func (f *minimalFanOut) search(ctx context.Context, i int, req *wire.SearchRequest, answer *engine.Answer) error {
	body, err := json.Marshal(wire.LeafSearch{
		Request: requestID,
		Attempt: ident.AttemptID(i),
		Index:   req.Index,
		Shard:   f.leaves[i].Shards[0],
		Version: heldVersion,
		Terms:   req.Terms,
	})
	if err != nil {
		return err
	}
	leaf, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.leaves[i].Address+wire.PathLeafSearch, bytes.NewReader(body))
	if err != nil {
		return err
	}
	leaf.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(leaf)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, wire.MaxAnswerBytes)).Decode(answer); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, wire.MaxAnswerBytes))
	return err
}
