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

// shardCall is the request for one shard and its result.
type shardCall struct {
	target shardReplicas
	body   wire.LeafSearch
	answer engine.Answer
	// failure is empty if answer is valid.
	failure engine.FailKind
}

// callShard calls replicas in turn until one answers, the attempts are used up or
// ctx is done.
func (c *Client) callShard(ctx context.Context, call *shardCall) {
	first := int(c.nextReplica.Add(1) % uint64(len(call.target.replicas)))
	for attempt := range max(1, c.cfg.Attempts) {
		u := call.target.replicas[(first+attempt)%len(call.target.replicas)]
		call.body.Attempt = ident.AttemptID(c.lastAttempt.Add(1))
		call.body.RemainingMicros = remaining(ctx)
		call.answer, call.failure = c.callReplica(ctx, u, call.body)
		if call.failure == "" || ctx.Err() != nil {
			return
		}
	}
}

func (c *Client) callReplica(ctx context.Context, u config.Upstream, body wire.LeafSearch) (engine.Answer, engine.FailKind) {
	res, err := c.post(ctx, u, wire.PathLeafSearch, body)
	if err != nil {
		return engine.Answer{}, failKind(ctx, err)
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

func failKind(ctx context.Context, err error) engine.FailKind {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return engine.TimedOut
	case errors.As(err, &op) && op.Op == "dial":
		return engine.Refused
	}
	return engine.Broken
}

func (c *Client) merge(id ident.RequestID, s wire.SearchRequest, version ident.IndexVersion, calls []shardCall) wire.SearchAnswer {
	answer := wire.SearchAnswer{
		RequestID: id,
		Outcome:   engine.Done,
		Version:   version,
	}
	answer.Coverage.Asked = len(calls)
	var docs []engine.Document
	for _, call := range calls {
		if call.failure != "" && !c.cfg.SkipCoverage {
			answer.Coverage.Missing = append(answer.Coverage.Missing, engine.Missing{
				Shard:  call.target.shard,
				Reason: missingReason(call.failure),
			})
			continue
		}
		answer.Coverage.Answered++
		docs = append(docs, call.answer.Documents...)
	}
	if len(answer.Coverage.Missing) > 0 {
		answer.Outcome = engine.Partial
		answer.Remedy = "send it again for the shards in Missing"
	}
	answer.Documents = topDocuments(docs, s.Limit)
	return answer
}

// topDocuments keeps the highest revision of each document, orders them by
// score, and truncates the list to limit; a limit of 0 keeps all.
func topDocuments(docs []engine.Document, limit int) []engine.Document {
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

func missingReason(kind engine.FailKind) engine.MissingReason {
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
