package evac

import (
	"cmp"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// maxLast bounds the domains whose last order is remembered.
const maxLast = 2 * MaxDomains

// Order starts or ends the evacuation of a domain.
type Order struct {
	Domain ident.Domain
	End    bool `cbor:",omitempty"`
	// After is the position of the last order for the domain, as its sender was told.
	After Revision
}

// Outcome tells whether an order took effect.
type Outcome uint8

// The outcomes of an order. Only Accepted ones count as orders for their domain.
const (
	// Accepted means that the domain is as the order wants it.
	Accepted Outcome = iota + 1
	// Superseded means that another order for the domain was accepted after the sender
	// was told of the last one. The order may be an old copy whose sender has given up.
	Superseded
	// Full means that MaxDomains domains are evacuated.
	Full
)

// LastOrder is the position of the last accepted order for a domain.
type LastOrder struct {
	Domain ident.Domain
	At     Revision
}

// State is the outcome of all orders up to a position: the set, and the position of the last
// order for each domain. It is immutable, as a Set is. An order that changes the set must
// name the last order for its domain, so that a copy that is held up anywhere cannot undo
// an order that was accepted meanwhile. This needs no clock and no number by the sender.
type State struct {
	Set Set
	// Last is sorted by domain.
	Last []LastOrder
	// Forgotten is the highest position that has been dropped from Last. It counts as
	// that of the last order for each domain that Last lacks.
	Forgotten Revision
}

// Empty reports whether no order has been accepted.
func (s State) Empty() bool { return s.Set.Revision == 0 && !s.numbered() }

// numbered reports whether the state has positions of orders.
func (s State) numbered() bool { return len(s.Last) > 0 || s.Forgotten > 0 }

// LastFor returns the position of the last accepted order for a domain, 0 if there is
// none.
func (s State) LastFor(d ident.Domain) Revision {
	if i, ok := s.find(d); ok {
		return s.Last[i].At
	}
	return s.Forgotten
}

func (s State) find(d ident.Domain) (int, bool) {
	return slices.BinarySearchFunc(s.Last, d, func(o LastOrder, d ident.Domain) int { return cmp.Compare(o.Domain, d) })
}

// Apply returns the state after an order at a position, which is higher than all before.
func (s State) Apply(o Order, at Revision) (State, Outcome) {
	if s.Set.Contains(o.Domain) == o.End && o.After != s.LastFor(o.Domain) {
		return s, Superseded
	}
	next, outcome := s.change(o, at)
	if outcome == Accepted {
		next.remember(o.Domain, at)
	}
	return next, outcome
}

// ApplyUnnumbered is Apply for an order of the release before, which names no position.
// It takes effect in any case. The position is remembered only if there are others:
// snapshots of that release have none, and members that start with one must agree with
// members that have applied the log.
func (s State) ApplyUnnumbered(o Order, at Revision) (State, Outcome) {
	next, outcome := s.change(o, at)
	if outcome == Accepted && s.numbered() {
		next.remember(o.Domain, at)
	}
	return next, outcome
}

func (s State) change(o Order, at Revision) (State, Outcome) {
	if o.End {
		s.Set = s.Set.End(o.Domain, at)
		return s, Accepted
	}
	next, err := s.Set.Start(o.Domain, at)
	if err != nil {
		return s, Full
	}
	s.Set = next
	return s, Accepted
}

// remember records the position of the last order for a domain. If there are too many, it
// drops the oldest one.
func (s *State) remember(d ident.Domain, at Revision) {
	order := LastOrder{
		Domain: d,
		At:     at,
	}
	s.Last = slices.Clone(s.Last)
	i, ok := s.find(d)
	if ok {
		s.Last[i] = order
		return
	}
	s.Last = slices.Insert(s.Last, i, order)
	if len(s.Last) <= maxLast {
		return
	}
	oldest := 0
	for i := range s.Last {
		if s.Last[i].At < s.Last[oldest].At {
			oldest = i
		}
	}
	s.Forgotten = max(s.Forgotten, s.Last[oldest].At)
	s.Last = slices.Delete(s.Last, oldest, oldest+1)
}
