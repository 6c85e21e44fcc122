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

// Log is the outcome of all orders up to a position: the set, and the position of the last
// order for each domain. It is immutable, as a Set is. An order that changes the set must
// name the last order for its domain, so that a copy that is held up anywhere cannot undo
// an order that was accepted meanwhile. This needs no clock and no number by the sender.
type Log struct {
	Set Set
	// Last is sorted by domain.
	Last []LastOrder
	// Forgotten is the highest position that has been dropped from Last. It counts as
	// that of the last order for each domain that Last lacks.
	Forgotten Revision
}

// Empty reports whether no order has been accepted.
func (l Log) Empty() bool { return l.Set.Revision == 0 && !l.numbered() }

// numbered reports whether the log has positions of orders.
func (l Log) numbered() bool { return len(l.Last) > 0 || l.Forgotten > 0 }

// LastFor returns the position of the last accepted order for a domain, 0 if there is
// none.
func (l Log) LastFor(d ident.Domain) Revision {
	if i, ok := l.find(d); ok {
		return l.Last[i].At
	}
	return l.Forgotten
}

func (l Log) find(d ident.Domain) (int, bool) {
	return slices.BinarySearchFunc(l.Last, d, func(o LastOrder, d ident.Domain) int { return cmp.Compare(o.Domain, d) })
}

// Apply returns the log after an order at a position, which is higher than all before.
func (l Log) Apply(o Order, at Revision) (Log, Outcome) {
	if l.Set.Contains(o.Domain) == o.End && o.After != l.LastFor(o.Domain) {
		return l, Superseded
	}
	next, outcome := l.change(o, at)
	if outcome == Accepted {
		next.remember(o.Domain, at)
	}
	return next, outcome
}

// ApplyUnnumbered is Apply for an order of the release before, which names no position.
// It takes effect in any case. The position is remembered only if there are others:
// snapshots of that release have none, and members that start with one must agree with
// members that have applied the log.
func (l Log) ApplyUnnumbered(o Order, at Revision) (Log, Outcome) {
	next, outcome := l.change(o, at)
	if outcome == Accepted && l.numbered() {
		next.remember(o.Domain, at)
	}
	return next, outcome
}

func (l Log) change(o Order, at Revision) (Log, Outcome) {
	if o.End {
		l.Set = l.Set.End(o.Domain, at)
		return l, Accepted
	}
	next, err := l.Set.Start(o.Domain, at)
	if err != nil {
		return l, Full
	}
	l.Set = next
	return l, Accepted
}

// remember records the position of the last order for a domain. If there are too many, it
// drops the oldest one.
func (l *Log) remember(d ident.Domain, at Revision) {
	order := LastOrder{
		Domain: d,
		At:     at,
	}
	l.Last = slices.Clone(l.Last)
	i, ok := l.find(d)
	if ok {
		l.Last[i] = order
		return
	}
	l.Last = slices.Insert(l.Last, i, order)
	if len(l.Last) <= maxLast {
		return
	}
	oldest := 0
	for i := range l.Last {
		if l.Last[i].At < l.Last[oldest].At {
			oldest = i
		}
	}
	l.Forgotten = max(l.Forgotten, l.Last[oldest].At)
	l.Last = slices.Delete(l.Last, oldest, oldest+1)
}
