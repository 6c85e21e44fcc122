// Package gossip spreads facts among hosts: a host that learns a fact passes it
// on to a few others chosen at random, and each host also exchanges what it
// knows with one other from time to time, so that hosts that were down or cut off
// learn it too. What a fact means, and whether it is news, is up to the caller.
// The reducer has no clock and does no I/O; it is not safe for concurrent use.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// fanout is the number of hosts that a new fact is sent to, rounds times. A
	// fact so reaches 300 hosts in about five hops; those that lost all datagrams
	// get it by exchanges.
	fanout = 3
	rounds = 2

	// paceBytes is the rate in bytes a second at which a host sends new facts that
	// are not urgent, and paceBurst what it sends at once after a pause. With the
	// exchanges that is half of the 3 KB a second that control may take, however
	// many calls are lost.
	paceBytes = 800
	paceBurst = 4000

	// headerBytes and factBytes are the usual size of a datagram without facts, and
	// of a fact.
	headerBytes = 40
	factBytes   = 70

	// maxHot bounds the facts that wait to be sent; exchanges carry the others.
	maxHot = 64

	// roundInterval is the time between the rounds.
	roundInterval = 120 * time.Millisecond

	// exchangeInterval is the time between two exchanges with a random host.
	exchangeInterval = 4 * time.Second

	// pullFanout is the number of hosts that a host asks at a time.
	pullFanout = 3

	// pullTime is how long a host asks others for their facts after its start or
	// after a partition, so that lost datagrams and hosts that are down do not
	// matter.
	pullTime = 3 * time.Second

	// maxFacts bounds the facts that a host keeps.
	maxFacts = 1024

	// MaxMessageFacts bounds the facts of a message, so that it fits in a
	// datagram.
	MaxMessageFacts = 8
)

// Topic is the kind of a fact.
type Topic uint8

// ID identifies what a fact is about.
type ID struct {
	Topic Topic
	Key   [16]byte
}

// Fact is one fact. Body is not interpreted.
type Fact struct {
	ID
	// At is when the fact became known to any host, on this host's clock, and
	// Until when it ends.
	At    ident.Instant
	Until ident.Instant
	Body  []byte
	// Urgent facts are sent at once and before others. They must be rare.
	Urgent bool
}

// Message is sent to one host. Pull asks for the facts of that host in return.
type Message struct {
	To    ident.HostID
	Facts []Fact
	Pull  bool
}

// Spreader is the gossip of one host.
type Spreader struct {
	rand  *rand.Rand
	hosts []ident.HostID
	// keepers are hosts that only store facts, for those that have lost theirs.
	keepers []ident.HostID
	facts   map[ID]*Fact
	// order holds the ids by time of insertion; exchanges send them in turn.
	order []ID
	turn  int
	// hot are facts that are still to be sent, with the rounds that remain.
	hot     []hotFact
	roundAt ident.Instant
	// budget is how many bytes of facts may be sent now, as of filledAt. It is
	// negative after urgent facts.
	budget     float64
	filledAt   ident.Instant
	exchangeAt ident.Instant
	pullUntil  ident.Instant
}

type hotFact struct {
	id     ID
	rounds int
}

// New returns a Spreader that knows no host and no fact.
func New(seed uint64) *Spreader {
	return &Spreader{
		rand:   rand.New(rand.NewPCG(seed, 3)),
		facts:  make(map[ID]*Fact),
		budget: paceBurst,
	}
}

// SetHosts sets the other hosts, those included that only Keep facts. A host that
// gets its first ones, or that was alone, asks some of them for their facts.
func (s *Spreader) SetHosts(now ident.Instant, hosts, keepers []ident.HostID) {
	if len(s.hosts) == 0 && len(hosts)+len(keepers) > 0 {
		s.Rejoin(now)
	}
	s.hosts, s.keepers = slices.Concat(hosts, keepers), keepers
}

// Keep stores a fact that is later than the stored one, without sending it on.
func (s *Spreader) Keep(now ident.Instant, f Fact) {
	if old := s.facts[f.ID]; now >= f.Until || old != nil && f.At <= old.At {
		return
	}
	s.store(f)
}

// Rejoin makes the host ask others for their facts, as after a partition.
func (s *Spreader) Rejoin(now ident.Instant) {
	s.pullUntil, s.exchangeAt = now.Add(pullTime), now
}

// Spread stores a fact in place of an earlier one with the same ID and sends it
// to other hosts from the next Due on, as soon as the pace allows.
func (s *Spreader) Spread(now ident.Instant, f Fact) {
	s.store(f)
	s.hot = slices.DeleteFunc(s.hot, func(h hotFact) bool { return h.id == f.ID })
	h := hotFact{
		id:     f.ID,
		rounds: rounds,
	}
	if f.Urgent {
		s.hot = slices.Insert(s.hot, 0, h)
	} else {
		s.hot = append(s.hot, h)
	}
	s.hot = s.hot[:min(len(s.hot), maxHot)]
	s.roundAt = now
}

func (s *Spreader) store(f Fact) {
	if s.facts[f.ID] == nil {
		if len(s.order) >= maxFacts {
			s.evict()
		}
		s.order = append(s.order, f.ID)
	}
	s.facts[f.ID] = &f
}

// evict removes the fact that ends first.
func (s *Spreader) evict() {
	first := slices.MinFunc(s.order, func(x, y ID) int { return cmp.Compare(s.facts[x].Until, s.facts[y].Until) })
	s.remove(first)
}

func (s *Spreader) remove(id ID) {
	delete(s.facts, id)
	s.order = slices.DeleteFunc(s.order, func(o ID) bool { return o == id })
	s.hot = slices.DeleteFunc(s.hot, func(h hotFact) bool { return h.id == id })
}

// Next returns when Due has something to send, and false without other hosts.
func (s *Spreader) Next() (ident.Instant, bool) {
	switch {
	case len(s.hosts) == 0:
		return 0, false
	case len(s.hot) > 0:
		return min(s.roundAt, s.exchangeAt), true
	}
	return s.exchangeAt, true
}

// Due returns the messages that are due.
func (s *Spreader) Due(now ident.Instant) (list []Message) {
	for _, id := range slices.Clone(s.order) {
		if now >= s.facts[id].Until {
			s.remove(id)
		}
	}
	if len(s.hosts) == 0 {
		return nil
	}
	if len(s.hot) > 0 && now >= s.roundAt {
		list = s.round(now)
	}
	if now < s.exchangeAt {
		return list
	}
	s.exchangeAt = now.Add(exchangeInterval)
	if now < s.pullUntil {
		s.exchangeAt = now.Add(roundInterval * 2)
		for i := range pullFanout {
			m := Message{
				To:    s.random(),
				Facts: s.Facts(),
				Pull:  true,
			}
			if i == 0 && len(s.keepers) > 0 {
				m.To = s.keepers[s.rand.IntN(len(s.keepers))]
			}
			list = append(list, m)
		}
		return list
	}
	return append(list, Message{
		To:    s.random(),
		Facts: s.Facts(),
		Pull:  true,
	})
}

// round sends the first hot facts, or postpones that until the pace allows it.
func (s *Spreader) round(now ident.Instant) (list []Message) {
	s.budget = min(paceBurst, s.budget+paceBytes*now.Sub(s.filledAt).Seconds())
	s.filledAt = now
	cost := float64(fanout * (headerBytes + factBytes*min(len(s.hot), MaxMessageFacts)))
	if s.budget < cost && !s.facts[s.hot[0].id].Urgent {
		s.roundAt = now.Add(max(time.Millisecond, time.Duration((cost-s.budget)/paceBytes*float64(time.Second))))
		return nil
	}
	s.budget -= cost
	var facts []Fact
	kept := s.hot[:0]
	for i, h := range s.hot {
		if i < MaxMessageFacts {
			facts = append(facts, *s.facts[h.id])
			h.rounds--
		}
		if h.rounds > 0 {
			kept = append(kept, h)
		}
	}
	s.hot = kept
	s.roundAt = now.Add(roundInterval)
	for range fanout {
		list = append(list, Message{
			To:    s.random(),
			Facts: facts,
		})
	}
	return list
}

func (s *Spreader) random() ident.HostID { return s.hosts[s.rand.IntN(len(s.hosts))] }

// Facts returns the facts of one exchange: all of them, or the next ones in turn
// if they do not fit in one message.
func (s *Spreader) Facts() []Fact {
	n := min(len(s.order), MaxMessageFacts)
	facts := make([]Fact, 0, n)
	for range n {
		s.turn = (s.turn + 1) % len(s.order)
		facts = append(facts, *s.facts[s.order[s.turn]])
	}
	return facts
}
