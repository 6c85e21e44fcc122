package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

const seats = 3

// process is one entry host process of the simulation.
type process struct {
	id     ident.HostID
	holder *member.Holder
	seat   member.SeatChanged
	// leaseEnd is computed by the test, independently of the holder.
	leaseEnd                ident.Instant
	wake                    ident.Instant
	inboundCut, outboundCut bool
	stopped                 bool
}

// message is a heartbeat or an answer in flight.
type message struct {
	at     ident.Instant
	p      *process
	sentAt ident.Instant
	beat   member.SendBeat
	answer *member.Answered
}

// simulation runs entry host processes against two control hosts, of which at
// most one leads.
type simulation struct {
	t        interface{ Fatalf(string, ...any) }
	now      ident.Instant
	tables   []*member.Table
	leader   int // -1 if none
	hosts    []*process
	inFlight []message
	delay    func() time.Duration
	calls    uint64
	boots    uint64
}

func newSimulation(t interface{ Fatalf(string, ...any) }, hosts int, delay func() time.Duration) *simulation {
	sim := &simulation{
		t:      t,
		tables: []*member.Table{member.NewTable(), member.NewTable()},
		leader: -1,
		delay:  delay,
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, sim.startProcess(i))
	}
	sim.updateList()
	return sim
}

func (sim *simulation) startProcess(i int) *process {
	sim.boots++
	p := &process{id: ident.HostID(fmt.Sprint("h", i)), seat: member.SeatChanged{Seat: engine.SeatNone}}
	p.holder = member.NewHolder(member.HolderConfig{
		Host:     p.id,
		Domain:   ident.Domain(fmt.Sprint("d", i%2)),
		Boot:     sim.boots,
		Address:  fmt.Sprint("a", sim.boots),
		Controls: []string{"0", "1"},
	})
	sim.stepHolder(p, member.Started{})
	return p
}

func (sim *simulation) updateList() {
	var listed []ident.HostID
	for _, p := range sim.hosts {
		listed = append(listed, p.id)
	}
	for _, t := range sim.tables {
		t.Step(sim.now, member.Listed{Hosts: listed})
	}
}

func (sim *simulation) setLeader(next int) {
	if sim.leader >= 0 {
		sim.tables[sim.leader].Step(sim.now, member.LeaderStopped{})
	}
	if sim.leader = next; next >= 0 {
		sim.tables[next].Step(sim.now, member.LeaderStarted{Seats: seats, Fresh: sim.now == 0})
	}
}

func (sim *simulation) stepHolder(p *process, e member.HolderEvent) {
	for _, eff := range p.holder.Step(sim.now, e) {
		switch eff := eff.(type) {
		case member.SendBeat:
			if !p.outboundCut {
				sim.inFlight = append(sim.inFlight, message{at: sim.now.Add(sim.delay()), p: p, sentAt: sim.now, beat: eff})
			}
		case member.SeatChanged:
			p.seat = eff
		case member.WakeHolder:
			p.wake = eff.At
		case member.PeersChanged:
		}
	}
}

// deliver handles the messages whose delay has passed.
func (sim *simulation) deliver() {
	pending := sim.inFlight
	sim.inFlight = nil
	for _, m := range pending {
		switch {
		case m.at > sim.now:
			sim.inFlight = append(sim.inFlight, m)
		case m.answer != nil:
			if !m.p.stopped && !m.p.inboundCut {
				sim.stepHolder(m.p, *m.answer)
				if m.answer.Answer.Granted && m.p.seat.Seat == engine.SeatHeld {
					m.p.leaseEnd = max(m.p.leaseEnd, m.sentAt.Add(member.Lease))
				}
			}
		default:
			sim.handleBeat(m)
		}
	}
}

func (sim *simulation) handleBeat(m message) {
	sim.calls++
	m.beat.Beat.Call = sim.calls
	to := 0
	if m.beat.To == "1" {
		to = 1
	}
	for _, eff := range sim.tables[to].Step(sim.now, m.beat.Beat) {
		if a, ok := eff.(member.Answer); ok {
			m.answer = &member.Answered{Attempt: m.beat.Attempt, Answer: a}
			m.at = sim.now.Add(sim.delay())
			sim.inFlight = append(sim.inFlight, m)
		}
	}
}

func (sim *simulation) run(d time.Duration) {
	for until := sim.now.Add(d); sim.now < until; {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.deliver()
		for _, p := range sim.hosts {
			if p.wake <= sim.now {
				sim.stepHolder(p, member.TimePassed{})
			}
		}
		if sim.leader >= 0 {
			sim.tables[sim.leader].Step(sim.now, member.Ticked{})
		}
		sim.checkSeats()
	}
}

func (sim *simulation) checkSeats() {
	holder := make(map[int]ident.HostID)
	inUse := 0
	for _, p := range sim.hosts {
		if p.seat.Seat != engine.SeatNone {
			inUse++
		}
		if p.seat.Seat != engine.SeatHeld {
			continue
		}
		if sim.now > p.leaseEnd {
			sim.t.Fatalf("%s holds seat %d after its lease ended at %d, now %d", p.id, p.seat.Number, p.leaseEnd, sim.now)
		}
		if other, ok := holder[p.seat.Number]; ok {
			sim.t.Fatalf("%s and %s hold seat %d", other, p.id, p.seat.Number)
		}
		holder[p.seat.Number] = p.id
	}
	if inUse > seats {
		state := ""
		for _, p := range sim.hosts {
			state += fmt.Sprintf("\n%s %+v inboundCut=%v outboundCut=%v", p.id, p.seat, p.inboundCut, p.outboundCut)
		}
		sim.t.Fatalf("at %d %d processes use %d seats:%s\n%+v", sim.now, inUse, seats, state, sim.tables[max(sim.leader, 0)].Hosts())
	}
}

// Guards against two holders of one seat and against more hosts with connections
// than seats, under leader changes, one-way partitions, flapping and restarted
// hosts, and delayed heartbeats.
func TestSeatsAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 5, func() time.Duration {
			return rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "delay")
		})
		if rapid.Bool().Draw(t, "led") {
			sim.setLeader(0)
		}
		index := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				sim.run(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 2 * time.Second, 13 * time.Second}).Draw(t, "step"))
			},
			"lead":    func(t *rapid.T) { sim.setLeader(rapid.IntRange(-1, 1).Draw(t, "leader")) },
			"cut in":  func(t *rapid.T) { p := sim.hosts[index(t)]; p.inboundCut = !p.inboundCut },
			"cut out": func(t *rapid.T) { p := sim.hosts[index(t)]; p.outboundCut = !p.outboundCut },
			"restart": func(t *rapid.T) {
				i := index(t)
				sim.hosts[i].stopped = true
				sim.hosts[i] = sim.startProcess(i)
			},
			"leave": func(t *rapid.T) {
				i := index(t)
				sim.stepHolder(sim.hosts[i], member.Left{})
				sim.hosts[i].stopped = true
				sim.hosts[i] = sim.startProcess(i)
			},
		})
	})
}

func noDelay() time.Duration { return 0 }

// Guards against seats that are never granted again. After a change of leader
// every host must keep the seat that it claims, and the seat of a removed host
// must be granted once the platform's list no longer shows the host.
func TestSeatsSurviveLeaderChange(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4, noDelay)
	sim.setLeader(0)
	sim.run(3 * time.Second)
	seatNumbers := func() (list []int) {
		for _, p := range sim.hosts {
			if p.seat.Seat == engine.SeatHeld {
				list = append(list, p.seat.Number)
			}
		}
		return list
	}
	before := seatNumbers()
	is.Equal(before, []int{0, 1, 2})
	sim.setLeader(1)
	sim.run(30 * time.Second)
	is.Equal(seatNumbers(), before) // the fourth host still has none

	sim.hosts[0].stopped, sim.hosts[0].outboundCut, sim.hosts[0].wake = true, true, 1<<62
	sim.hosts[0].seat.Seat = engine.SeatNone
	sim.run(30 * time.Second)
	is.Equal(len(seatNumbers()), seats-1) // still on the list
	sim.hosts = sim.hosts[1:]
	sim.updateList()
	sim.run(3 * time.Second)
	is.Equal(len(seatNumbers()), seats)
	for range 5 { // the seat of a killed process goes to its successor or becomes free
		sim.hosts[0].stopped, sim.hosts[0].wake = true, 1<<62
		sim.hosts[0] = sim.startProcess(1)
		sim.run(15 * time.Second)
	}
	is.Equal(len(seatNumbers()), seats)
	is.Equal(sim.tables[1].Domains(), []member.DomainState{
		{Domain: "d0", Live: 1, Seated: 1},
		{Domain: "d1", Live: 2, Seated: 2},
	})
}

// Guards against granting added seats while hosts still use the larger shares of
// the old configuration, and against a seat beyond the configured number.
func TestSeatsChange(t *testing.T) {
	is := is.New(t)
	table := member.NewTable()
	table.Step(0, member.LeaderStarted{Seats: 1, Fresh: true})
	old, raised := ident.ConfigVersion{Number: 1}, ident.ConfigVersion{Number: 2}
	beat := func(host ident.HostID, v ident.ConfigVersion) member.Answer {
		effects := table.Step(1, member.Beat{Host: host, Version: v})
		return effects[len(effects)-1].(member.Answer)
	}
	is.True(beat("a", old).Granted)
	is.True(!beat("b", old).Granted)
	table.Step(1, member.SeatsSet{Seats: 2, Version: raised})
	is.True(!beat("b", raised).Granted)
	is.True(beat("a", raised).Granted)
	is.Equal(beat("b", raised).Seat, 1)
	table.Step(1, member.SeatsSet{Seats: 1, Version: raised})
	is.True(!beat("b", raised).Granted)
	is.True(beat("a", raised).Granted)

	h := member.NewHolder(member.HolderConfig{Controls: []string{"c"}})
	h.Step(0, member.Started{})
	h.Step(1, member.Answered{Attempt: 1, Answer: member.Answer{Accepted: true, Granted: true, Seat: 1, Lease: member.Lease}})
	// While the leader is undecided, the seat stays in state Expired, in which
	// the host keeps connections in its own domain.
	h.Step(ident.Instant(member.Lease), member.TimePassed{})
	h.Step(ident.Instant(member.Lease), member.Answered{Attempt: 2, Answer: member.Answer{Accepted: true, Undecided: true}})
	effects := h.Step(2, member.ConfigApplied{Seats: 1})
	is.Equal(effects[0], member.SeatChanged{Seat: engine.SeatNone})
}

// BenchmarkBeat measures one heartbeat at the leader of a deployment with 4900
// entry hosts, the two-year growth target.
func BenchmarkBeat(b *testing.B) {
	const hosts = 4900
	table := member.NewTable()
	table.Step(0, member.LeaderStarted{Seats: hosts + 100, Fresh: true})
	beats := make([]member.Beat, hosts)
	now := ident.Instant(0)
	for i := range beats {
		beats[i] = member.Beat{
			Host:    ident.HostID(fmt.Sprintf("entry-%04d", i)),
			Domain:  ident.Domain(fmt.Sprint("d", i%9)),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
		}
		table.Step(now, beats[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%hosts == 0 {
			now = now.Add(member.HeartbeatInterval)
			table.Step(now, member.Ticked{})
		}
		table.Step(now, beats[i%hosts])
	}
}
