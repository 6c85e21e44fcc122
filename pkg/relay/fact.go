package relay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// The topics of facts that hosts tell each other.
const (
	topicLimit     = gossip.Topic(1)
	topicCrash     = blame.Topic
	topicDeparture = gossip.Topic(3)
)

// limitFactTime is how long other hosts keep a limit that they were told of.
const limitFactTime = 10 * time.Minute

// Broadcast requests that a fact be spread to the other hosts.
type Broadcast struct{ Fact gossip.Fact }

func (Broadcast) isEffect() {}

// FactsReceived carries facts of another host.
type FactsReceived struct {
	Now   ident.Instant
	Facts []gossip.Fact
}

func (FactsReceived) isEvent() {}

// receiveFacts processes facts of other hosts. What is new is passed on.
func (e *Engine) receiveFacts(facts []gossip.Fact) {
	for _, f := range facts {
		pass, isNew := f, false
		switch f.Topic {
		case topicLimit:
			isNew, pass.Urgent = e.learnLimit(f), true
		case topicCrash:
			pass, isNew = e.learnCrash(f)
		case topicDeparture:
			isNew = e.learnDeparture(f)
		}
		if isNew {
			e.emit(Broadcast{Fact: pass})
		}
	}
}

func limitFact(now ident.Instant, c quota.Change, domain ident.Domain) gossip.Fact {
	f := gossip.Fact{
		ID:    gossip.ID{Topic: topicLimit},
		At:    now,
		Until: now.Add(limitFactTime),
		Body:  binary.BigEndian.AppendUint64(nil, math.Float64bits(c.Limit)),

		Urgent: true,
	}
	binary.BigEndian.PutUint64(f.Key[:], uint64(c.Key))
	f.Body = append(f.Body, domain...)
	return f
}

func (e *Engine) learnLimit(f gossip.Fact) (isNew bool) {
	if len(f.Body) < 8 {
		return false
	}
	limit := math.Float64frombits(binary.BigEndian.Uint64(f.Body))
	if !(limit >= 0) || math.IsInf(limit, 0) {
		return false
	}
	c, changed := e.quota.Learn(e.now, f.At, quota.Key(binary.BigEndian.Uint64(f.Key[:])), ident.Domain(f.Body[8:]), limit)
	if u := e.byKey[c.Key]; changed && u != nil {
		e.emitLimit(c, u)
	}
	return changed
}
