package naive

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// ask is the request for one shard and what came of it.
type ask struct {
	place  place
	body   wire.LeafSearch
	answer engine.Answer
	// failed is empty when answer holds.
	failed engine.FailKind
}

// askShard asks replicas in turn until one answers or the tries are used up.
func (c *Client) askShard(ctx context.Context, a *ask) {
	first := int(c.turn.Add(1) % uint64(len(a.place.replicas)))
	for try := range max(1, c.cfg.Tries) {
		u := a.place.replicas[(first+try)%len(a.place.replicas)]
		a.body.Attempt = ident.AttemptID(c.attempt.Add(1))
		a.body.RemainingMicros = remaining(ctx)
		a.answer, a.failed = c.askOnce(ctx, u, a.body)
		if a.failed == "" || ctx.Err() != nil {
			return
		}
	}
}

func (c *Client) askOnce(ctx context.Context, u config.Upstream, body wire.LeafSearch) (engine.Answer, engine.FailKind) {
	res, err := c.post(ctx, u, wire.PathLeafSearch, body)
	if err != nil {
		return engine.Answer{}, failure(ctx, err)
	}
	defer closeBody(res)
	if res.StatusCode != http.StatusOK {
		e, err := wire.DecodeLeafError(res.Body)
		if err != nil {
			return engine.Answer{}, engine.Malformed
		}
		return engine.Answer{}, e.Kind
	}
	a, err := wire.DecodeAnswer(res.Body)
	switch {
	case err != nil && ctx.Err() != nil:
		return engine.Answer{}, engine.TimedOut
	case err != nil:
		return engine.Answer{}, engine.Malformed
	case a.Request != body.Request || a.Attempt != body.Attempt || a.Shard != body.Shard:
		return engine.Answer{}, engine.Malformed
	case a.Version != body.Version && !c.cfg.SkipVersionCheck:
		return engine.Answer{}, engine.Malformed
	}
	return a, ""
}

func failure(ctx context.Context, err error) engine.FailKind {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return engine.TimedOut
	case errors.As(err, &op) && op.Op == "dial":
		return engine.Refused
	}
	return engine.Broken
}

func (c *Client) merge(id ident.RequestID, s wire.SearchRequest, version ident.IndexVersion, asks []ask) wire.SearchAnswer {
	answer := wire.SearchAnswer{
		RequestID: id,
		Outcome:   engine.Done,
		Version:   version,
	}
	answer.Coverage.Asked = len(asks)
	var docs []engine.Document
	for _, a := range asks {
		if a.failed != "" && !c.cfg.SkipCoverage {
			answer.Coverage.Missing = append(answer.Coverage.Missing, engine.Missing{
				Shard:  a.place.shard,
				Reason: reason(a.failed),
			})
			continue
		}
		answer.Coverage.Answered++
		docs = append(docs, a.answer.Documents...)
	}
	if len(answer.Coverage.Missing) > 0 {
		answer.Outcome = engine.Partial
		answer.Remedy = "send it again for the shards in Missing"
	}
	answer.Documents = best(docs, s.Limit)
	return answer
}

// best keeps the highest revision of each id and orders by score.
func best(docs []engine.Document, limit int) []engine.Document {
	slices.SortFunc(docs, func(a, b engine.Document) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Revision, a.Revision))
	})
	docs = slices.CompactFunc(docs, func(a, b engine.Document) bool { return a.ID == b.ID })
	slices.SortFunc(docs, func(a, b engine.Document) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	if limit > 0 && len(docs) > limit {
		docs = docs[:limit]
	}
	return docs
}

func reason(kind engine.FailKind) engine.MissingReason {
	switch kind {
	case engine.TimedOut:
		return engine.MissingTimedOut
	case engine.Shed:
		return engine.MissingShed
	case engine.VersionGone:
		return engine.MissingVersionGone
	}
	return engine.MissingLost
}
