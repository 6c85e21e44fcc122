package member

import (
	"cmp"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const noSeat = -1

// process is one process of an entry host. A restarted host is tracked as a
// second process, since connections of the first may still be open.
type process struct {
	beat       Beat // the last heartbeat
	lastBeatAt ident.Instant
	seat       int
	// tentative marks a seat that is reserved for a process whose lease has
	// ended until this leader may grant seats. A process with a running lease
	// of the same seat takes precedence.
	tentative bool
	live      bool
}

// leaseEnd returns the earliest time at which the leader may consider the lease
// ended. The holder, which counts from when it sent the heartbeat, ends it
// earlier by at least leaseMargin.
func (p *process) leaseEnd() ident.Instant { return p.lastBeatAt.Add(Lease + leaseMargin) }

// Table tracks the entry hosts and their seats on the control leader. While the
// control host is not the leader, it keeps only the platform's list of hosts.
type Table struct {
	leading bool
	// grantsFrom is when seats may first be granted to hosts that claim none.
	// Until then leases of an earlier leader may be running.
	grantsFrom ident.Instant
	// fresh is set if no earlier leader can have granted a seat.
	fresh     bool
	seats     []*process
	seatCount int
	increase  seatIncrease
	processes []*process // sorted by domain, host and boot
	byHost    map[ident.HostID][]*process
	listed    map[ident.HostID]bool
	listKnown bool
	effects   []Effect
}

// seatIncrease is an increase of the seat count of which some hosts may not have
// learned yet. They still use the larger shares that result from fewer seats,
// so only the seats below oldCount may be granted until every host that has a
// seat has applied version.
type seatIncrease struct {
	oldCount int
	version  ident.ConfigVersion
}

// NewTable returns the table of a control host that is not the leader.
func NewTable() *Table { return &Table{} }

// Leading reports whether the control host is the leader.
func (t *Table) Leading() bool { return t.leading }

// Step applies one event at the time now and returns the effects to carry out.
func (t *Table) Step(now ident.Instant, event Event) []Effect {
	t.effects = nil
	switch e := event.(type) {
	case LeaderStarted:
		t.onLeaderStarted(now, e)
	case LeaderStopped:
		*t = Table{
			listed:    t.listed,
			listKnown: t.listKnown,
		}
	case Beat:
		t.onBeat(now, e)
	case Listed:
		t.listKnown = true
		t.listed = make(map[ident.HostID]bool, len(e.Hosts))
		for _, h := range e.Hosts {
			t.listed[h] = true
		}
	case SeatsSet:
		t.setSeats(e)
	case Ticked:
		t.onTick(now)
	}
	return t.effects
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) onLeaderStarted(now ident.Instant, e LeaderStarted) {
	*t = Table{
		leading:    true,
		fresh:      e.Fresh,
		grantsFrom: now.Add(Lease + leaseMargin),
		seats:      make([]*process, e.Seats),
		seatCount:  e.Seats,
		// An earlier leader may have increased the seats just before.
		increase: seatIncrease{
			oldCount: 0,
			version:  e.Version,
		},
		byHost:    make(map[ident.HostID][]*process),
		listed:    t.listed,
		listKnown: t.listKnown,
	}
	if e.Fresh {
		t.grantsFrom, t.increase = now, seatIncrease{}
	}
	t.emit(Wake{At: now.Add(SweepInterval)})
}

func (t *Table) setSeats(e SeatsSet) {
	if !t.leading || e.Seats == t.seatCount {
		return
	}
	if e.Seats > t.seatCount {
		t.increase = seatIncrease{
			oldCount: min(t.seatCount, t.grantableSeats()),
			version:  e.Version,
		}
	}
	t.seatCount = e.Seats
	for len(t.seats) < t.seatCount {
		t.seats = append(t.seats, nil)
	}
}

// grantableSeats returns how many seats may be granted now: all of them once
// every process with a seat has the configuration that increased their number.
// A process without any configuration has no share yet and does not count.
func (t *Table) grantableSeats() int {
	for _, p := range t.processes {
		if p.seat != noSeat && p.beat.Version != (ident.ConfigVersion{}) && p.beat.Version.Less(t.increase.version) {
			return min(t.increase.oldCount, t.seatCount)
		}
	}
	return t.seatCount
}

func (t *Table) onBeat(now ident.Instant, e Beat) {
	if !t.leading {
		t.emit(Answer{Call: e.Call})
		return
	}
	p := t.findProcess(e)
	switch {
	case e.Leaving:
		if p != nil {
			t.removeProcess(p)
		}
		t.emit(Answer{
			Call:     e.Call,
			Accepted: true,
		})
		return
	case p == nil && len(t.processes) >= maxHosts:
		t.emit(Answer{
			Call:      e.Call,
			Accepted:  true,
			Undecided: true,
		})
		return
	case p == nil:
		p = t.addProcess(e)
	}
	e.Domain = p.beat.Domain // must not change, since t.processes is sorted by it
	p.beat, p.lastBeatAt = e, now
	if !p.live {
		p.live = true
		t.emit(LivenessChanged{
			Host:   p.beat.Host,
			Domain: p.beat.Domain,
			Live:   true,
		})
	}
	undecided := t.decideSeat(now, p)
	t.answer(p, undecided)
}

// decideSeat assigns p a seat if one may be granted, and reports whether it is
// still undecided if p may have one.
func (t *Table) decideSeat(now ident.Instant, p *process) (undecided bool) {
	inGrace := now < t.grantsFrom
	validClaim := p.beat.Seat >= 0 && p.beat.Seat < t.seatCount
	switch {
	case p.beat.Holds && validClaim && (p.seat == noSeat || p.tentative) && t.acceptClaim(p.beat.Seat):
		t.clearSeat(p)
		t.assignSeat(p, p.beat.Seat)
	case p.beat.Expired && validClaim && inGrace && p.seat == noSeat && t.seats[p.beat.Seat] == nil:
		t.assignSeat(p, p.beat.Seat)
		p.tentative = true
	}
	if p.seat != noSeat {
		p.tentative = p.tentative && inGrace
		return p.tentative
	}
	if inGrace {
		return true
	}
	t.expireProcesses(now)
	number, free := t.freeSeats()
	if free > t.reservedSeats(p) {
		t.assignSeat(p, number)
		return false
	}
	// A host whose lease has ended may keep connections in its own domain while
	// a seat is reserved for it or for another such host.
	return p.beat.Expired && free > 0
}

// acceptClaim reports whether a seat may go to a process with a running lease of
// it. A process that has the seat only tentatively loses it.
func (t *Table) acceptClaim(number int) bool {
	q := t.seats[number]
	if q != nil && q.tentative {
		t.clearSeat(q)
		return true
	}
	return q == nil
}

// freeSeats returns the lowest free seat that may be granted, or noSeat, and the
// number of such seats.
func (t *Table) freeSeats() (number, free int) {
	number = noSeat
	for i := range t.grantableSeats() {
		if t.seats[i] == nil {
			free++
			if number == noSeat {
				number = i
			}
		}
	}
	return number, free
}

// reservedSeats returns how many free seats must not be granted to p: one for
// each other host that may have connections without a seat in this table. These
// are hosts on the platform's list without a heartbeat since grantsFrom, and
// processes whose lease has ended. An earlier heartbeat does not count, since
// it may have been sent before an earlier leader granted the host a seat.
func (t *Table) reservedSeats(p *process) int {
	n := 0
	for h := range t.listed {
		known := slices.ContainsFunc(t.byHost[h], func(q *process) bool {
			return q.seat != noSeat || q.lastBeatAt >= t.grantsFrom
		})
		if !t.fresh && !known {
			n++
		}
	}
	for _, q := range t.processes {
		if q != p && q.beat.Expired && q.seat == noSeat && q.lastBeatAt >= t.grantsFrom {
			n++
		}
	}
	return n
}

func (t *Table) assignSeat(p *process, number int) {
	p.seat = number
	t.seats[number] = p
}

func (t *Table) clearSeat(p *process) {
	if p.seat != noSeat {
		t.seats[p.seat] = nil
	}
	p.seat, p.tentative = noSeat, false
}

func (t *Table) answer(p *process, undecided bool) {
	a := Answer{
		Call:      p.beat.Call,
		Accepted:  true,
		Undecided: undecided,
	}
	// A seat beyond the seat count is not renewed and is freed after its lease.
	if p.seat != noSeat && p.seat < t.seatCount && !p.tentative {
		a.Granted, a.Seat, a.Lease = true, p.seat, Lease
	}
	peers := t.peersOf(p)
	a.PeersDigest = digestPeers(peers)
	if a.PeersDigest != p.beat.PeersDigest {
		a.Peers = peers
	}
	t.emit(a)
}

func (t *Table) onTick(now ident.Instant) {
	if !t.leading {
		return
	}
	for _, p := range t.processes {
		if p.live && now.Sub(p.lastBeatAt) >= livenessTimeout {
			p.live = false
			t.emit(LivenessChanged{
				Host:   p.beat.Host,
				Domain: p.beat.Domain,
			})
		}
	}
	t.expireProcesses(now)
	t.emit(Wake{At: now.Add(SweepInterval)})
}

// expireProcesses removes the processes that have sent no heartbeat for the
// duration of a lease, unless they retain a seat.
func (t *Table) expireProcesses(now ident.Instant) {
	for i := len(t.processes) - 1; i >= 0; i-- {
		p := t.processes[i]
		if now < p.leaseEnd() {
			continue
		}
		if p.seat == noSeat || !t.retainsSeat(now, p) {
			t.removeProcess(p)
		}
	}
}

// retainsSeat reports whether a process whose lease has ended retains its seat,
// since its connections to upstreams of its own domain may still be open.
func (t *Table) retainsSeat(now ident.Instant, p *process) bool {
	for _, q := range t.byHost[p.beat.Host] {
		if q != p && q.live {
			return false // the host was restarted
		}
	}
	if t.listKnown {
		return t.listed[p.beat.Host]
	}
	return now < p.leaseEnd().Add(unlistedRetention)
}

func (t *Table) findProcess(e Beat) *process {
	for _, p := range t.byHost[e.Host] {
		if p.beat.Boot == e.Boot {
			return p
		}
	}
	return nil
}

func (t *Table) addProcess(e Beat) *process {
	p := &process{
		beat: e,
		seat: noSeat,
	}
	i, _ := slices.BinarySearchFunc(t.processes, p, compareProcess)
	t.processes = slices.Insert(t.processes, i, p)
	t.byHost[e.Host] = append(t.byHost[e.Host], p)
	return p
}

func (t *Table) removeProcess(p *process) {
	t.clearSeat(p)
	t.processes = slices.DeleteFunc(t.processes, func(q *process) bool { return q == p })
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
