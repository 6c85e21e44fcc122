package member

import (
	"cmp"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// noSeat marks a process without a seat.
const noSeat = -1

// process is one process of an entry host. A restarted host is another
// process, since the old one may still have connections open.
type process struct {
	// beat is the last heartbeat.
	beat Beat
	seen ident.Instant
	seat int
	// tentative marks a seat that is kept for a process whose lease has ended
	// until this leader may grant seats. A running lease takes it away.
	tentative bool
	live      bool
}

// leaseEnd is the end of the lease as the leader sees it.
func (p *process) leaseEnd() ident.Instant { return p.seen.Add(Lease + margin) }

// Table knows the entry hosts and who holds which seat. It is empty while the
// control host is not the leader.
type Table struct {
	leading bool
	// openAt is when seats may be granted to hosts that claim none. Until then
	// leases of an earlier leader may run.
	openAt ident.Instant
	// fresh is set when no earlier leader can have granted a seat.
	fresh   bool
	seats   []*process
	limit   int
	raise   raise
	all     []*process // sorted by domain, host and boot
	byHost  map[ident.HostID][]*process
	listed  map[ident.HostID]bool
	hasList bool
	out     []Effect
}

// raise is an increase of the seats that some hosts may not have heard of.
// These still use the larger shares that go with fewer seats.
type raise struct {
	from    int
	version ident.ConfigVersion
}

// NewTable returns the table of a control host that is not the leader.
func NewTable() *Table { return &Table{} }

// Leading reports whether the control host is the leader.
func (t *Table) Leading() bool { return t.leading }

// Step takes one event at the time now and returns what has to be done.
func (t *Table) Step(now ident.Instant, event Event) []Effect {
	t.out = nil
	switch e := event.(type) {
	case LeaderStarted:
		t.start(now, e)
	case LeaderStopped:
		*t = Table{
			listed:  t.listed,
			hasList: t.hasList,
		}
	case Beat:
		t.beat(now, e)
	case Listed:
		t.hasList = true
		t.listed = make(map[ident.HostID]bool, len(e.Hosts))
		for _, h := range e.Hosts {
			t.listed[h] = true
		}
	case SeatsSet:
		t.setSeats(e)
	case Ticked:
		t.tick(now)
	}
	return t.out
}

func (t *Table) emit(e Effect) { t.out = append(t.out, e) }

func (t *Table) start(now ident.Instant, e LeaderStarted) {
	*t = Table{
		leading: true,
		fresh:   e.Fresh,
		openAt:  now.Add(Lease + margin),
		seats:   make([]*process, e.Seats),
		limit:   e.Seats,
		// An earlier leader may have raised the seats just before.
		raise: raise{
			from:    0,
			version: e.Version,
		},
		byHost:  make(map[ident.HostID][]*process),
		listed:  t.listed,
		hasList: t.hasList,
	}
	if e.Fresh {
		t.openAt, t.raise = now, raise{}
	}
	t.emit(Wake{At: now.Add(SweepEvery)})
}

func (t *Table) setSeats(e SeatsSet) {
	if !t.leading || e.Seats == t.limit {
		return
	}
	if e.Seats > t.limit {
		t.raise = raise{
			from:    min(t.limit, t.grantLimit()),
			version: e.Version,
		}
	}
	t.limit = e.Seats
	for len(t.seats) < t.limit {
		t.seats = append(t.seats, nil)
	}
}

// grantLimit returns how many seats may be granted now: all of them once every
// process with a seat has the configuration that raised their number. A
// process without any configuration has no share yet.
func (t *Table) grantLimit() int {
	for _, p := range t.all {
		if p.seat != noSeat && p.beat.Version != (ident.ConfigVersion{}) && p.beat.Version.Less(t.raise.version) {
			return min(t.raise.from, t.limit)
		}
	}
	return t.limit
}

func (t *Table) beat(now ident.Instant, e Beat) {
	if !t.leading {
		t.emit(Answer{Call: e.Call})
		return
	}
	p := t.find(e)
	switch {
	case e.Leaving:
		if p != nil {
			t.remove(p)
		}
		t.emit(Answer{
			Call:  e.Call,
			Taken: true,
		})
		return
	case p == nil && len(t.all) >= maxHosts:
		t.emit(Answer{
			Call:      e.Call,
			Taken:     true,
			Undecided: true,
		})
		return
	case p == nil:
		p = t.add(e)
	}
	e.Domain = p.beat.Domain // fixed for a process; the order of t.all depends on it
	p.beat, p.seen = e, now
	if !p.live {
		p.live = true
		t.emit(LivenessChanged{
			Host:   p.beat.Host,
			Domain: p.beat.Domain,
			Live:   true,
		})
	}
	undecided := t.assign(now, p)
	t.answer(p, undecided)
}

// assign gives p a seat if it may have one and reports whether that is undecided.
func (t *Table) assign(now ident.Instant, p *process) (undecided bool) {
	settling := now < t.openAt
	claims := p.beat.Seat >= 0 && p.beat.Seat < t.limit
	switch {
	case p.beat.Holds && claims && (p.seat == noSeat || p.tentative) && t.claimable(p.beat.Seat):
		t.unseat(p)
		t.seat(p, p.beat.Seat)
	case p.beat.Expired && claims && settling && p.seat == noSeat && t.seats[p.beat.Seat] == nil:
		t.seat(p, p.beat.Seat)
		p.tentative = true
	}
	if p.seat != noSeat {
		p.tentative = p.tentative && settling
		return p.tentative
	}
	if settling {
		return true
	}
	t.sweep(now)
	number, free := t.firstFree()
	if free > t.uncounted(p) {
		t.seat(p, number)
		return false
	}
	// A host whose lease has ended may go on in its own domain while a seat is
	// kept for it or for another one like it.
	return p.beat.Expired && free > 0
}

// claimable reports whether a running lease of a seat may be accepted.
func (t *Table) claimable(number int) bool {
	q := t.seats[number]
	if q != nil && q.tentative {
		t.unseat(q)
		return true
	}
	return q == nil
}

// firstFree returns the lowest seat that may be granted and how many there are.
func (t *Table) firstFree() (number, free int) {
	number = noSeat
	for i := range t.grantLimit() {
		if t.seats[i] == nil {
			free++
			if number == noSeat {
				number = i
			}
		}
	}
	return number, free
}

// uncounted counts the hosts other than p that may have connections without a
// seat in this table: those on the platform's list that this leader has not
// heard of since it may grant seats, and those whose lease has ended. What was
// heard before may have been sent before an earlier leader granted a seat.
func (t *Table) uncounted(p *process) int {
	n := 0
	for h := range t.listed {
		known := slices.ContainsFunc(t.byHost[h], func(q *process) bool {
			return q.seat != noSeat || q.seen >= t.openAt
		})
		if !t.fresh && !known {
			n++
		}
	}
	for _, q := range t.all {
		if q != p && q.beat.Expired && q.seat == noSeat && q.seen >= t.openAt {
			n++
		}
	}
	return n
}

func (t *Table) seat(p *process, number int) {
	p.seat = number
	t.seats[number] = p
}

func (t *Table) unseat(p *process) {
	if p.seat != noSeat {
		t.seats[p.seat] = nil
	}
	p.seat, p.tentative = noSeat, false
}

func (t *Table) answer(p *process, undecided bool) {
	a := Answer{
		Call:      p.beat.Call,
		Taken:     true,
		Undecided: undecided,
	}
	// A seat over the limit is not renewed and falls free with its lease.
	if p.seat != noSeat && p.seat < t.limit && !p.tentative {
		a.Granted, a.Seat, a.Lease = true, p.seat, Lease
	}
	peers := t.peersOf(p)
	a.PeersDigest = digest(peers)
	if a.PeersDigest != p.beat.PeersDigest {
		a.Peers = peers
	}
	t.emit(a)
}

func (t *Table) tick(now ident.Instant) {
	if !t.leading {
		return
	}
	for _, p := range t.all {
		if p.live && now.Sub(p.seen) >= silentAfter {
			p.live = false
			t.emit(LivenessChanged{
				Host:   p.beat.Host,
				Domain: p.beat.Domain,
			})
		}
	}
	t.sweep(now)
	t.emit(Wake{At: now.Add(SweepEvery)})
}

// sweep frees the seats of silent processes that may lose them and forgets
// processes without a seat.
func (t *Table) sweep(now ident.Instant) {
	for i := len(t.all) - 1; i >= 0; i-- {
		p := t.all[i]
		if now < p.leaseEnd() {
			continue
		}
		if p.seat == noSeat || !t.keeps(now, p) {
			t.remove(p)
		}
	}
}

// keeps reports whether a process whose lease has ended keeps its seat: its
// connections to upstreams of its own domain may still be open.
func (t *Table) keeps(now ident.Instant, p *process) bool {
	for _, q := range t.byHost[p.beat.Host] {
		if q != p && q.live {
			return false // the host was restarted
		}
	}
	if t.hasList {
		return t.listed[p.beat.Host]
	}
	return now < p.leaseEnd().Add(keepSilent)
}

func (t *Table) find(e Beat) *process {
	for _, p := range t.byHost[e.Host] {
		if p.beat.Boot == e.Boot {
			return p
		}
	}
	return nil
}

func (t *Table) add(e Beat) *process {
	p := &process{
		beat: e,
		seat: noSeat,
	}
	i, _ := slices.BinarySearchFunc(t.all, p, compareProcess)
	t.all = slices.Insert(t.all, i, p)
	t.byHost[e.Host] = append(t.byHost[e.Host], p)
	return p
}

func (t *Table) remove(p *process) {
	t.unseat(p)
	t.all = slices.DeleteFunc(t.all, func(q *process) bool { return q == p })
	rest := slices.DeleteFunc(t.byHost[p.beat.Host], func(q *process) bool { return q == p })
	if len(rest) == 0 {
		delete(t.byHost, p.beat.Host)
		return
	}
	t.byHost[p.beat.Host] = rest
}

func compareProcess(a, b *process) int {
	return cmp.Or(cmp.Compare(a.beat.Domain, b.beat.Domain), cmp.Compare(a.beat.Host, b.beat.Host), cmp.Compare(a.beat.Boot, b.beat.Boot))
}
