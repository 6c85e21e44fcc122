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
	until  ident.Instant // end of the lease by the test's own sums
	wake   ident.Instant
	// deaf and mute cut one direction each.
	deaf, mute bool
	dead       bool
}

// message is a heartbeat or an answer on its way.
type message struct {
	at     ident.Instant
	p      *process
	sentAt ident.Instant
	beat   member.SendBeat
	answer *member.Answered
}

// world runs processes against control hosts of which at most one leads.
type world struct {
	t      interface{ Fatalf(string, ...any) }
	now    ident.Instant
	tables []*member.Table
	leader int // -1 if none
	hosts  []*process
	net    []message
	delay  func() time.Duration
	calls  uint64
	boots  uint64
}

func newWorld(t interface{ Fatalf(string, ...any) }, hosts int, delay func() time.Duration) *world {
	w := &world{
		t:      t,
		tables: []*member.Table{member.NewTable(), member.NewTable()},
		leader: -1,
		delay:  delay,
	}
	for i := range hosts {
		w.hosts = append(w.hosts, w.boot(i))
	}
	w.list()
	return w
}

func (w *world) boot(i int) *process {
	w.boots++
	p := &process{id: ident.HostID(fmt.Sprint("h", i)), seat: member.SeatChanged{Seat: engine.SeatNone}}
	p.holder = member.NewHolder(member.HolderConfig{
		Host:     p.id,
		Domain:   ident.Domain(fmt.Sprint("d", i%2)),
		Boot:     w.boots,
		Address:  fmt.Sprint("a", w.boots),
		Controls: []string{"0", "1"},
	})
	w.step(p, member.Started{})
	return p
}

func (w *world) list() {
	var listed []ident.HostID
	for _, p := range w.hosts {
		listed = append(listed, p.id)
	}
	for _, t := range w.tables {
		t.Step(w.now, member.Listed{Hosts: listed})
	}
}

func (w *world) lead(next int) {
	if w.leader >= 0 {
		w.tables[w.leader].Step(w.now, member.LeaderStopped{})
	}
	if w.leader = next; next >= 0 {
		w.tables[next].Step(w.now, member.LeaderStarted{Seats: seats, Fresh: w.now == 0})
	}
}

func (w *world) step(p *process, e member.HolderEvent) {
	for _, eff := range p.holder.Step(w.now, e) {
		switch eff := eff.(type) {
		case member.SendBeat:
			if !p.mute {
				w.net = append(w.net, message{at: w.now.Add(w.delay()), p: p, sentAt: w.now, beat: eff})
			}
		case member.SeatChanged:
			p.seat = eff
		case member.WakeHolder:
			p.wake = eff.At
		case member.PeersChanged:
		}
	}
}

// deliver handles everything that is due.
func (w *world) deliver() {
	due := w.net
	w.net = nil
	for _, m := range due {
		switch {
		case m.at > w.now:
			w.net = append(w.net, m)
		case m.answer != nil:
			if !m.p.dead && !m.p.deaf {
				w.step(m.p, *m.answer)
				if m.answer.Answer.Granted && m.p.seat.Seat == engine.SeatHeld {
					m.p.until = max(m.p.until, m.sentAt.Add(member.Lease))
				}
			}
		default:
			w.serve(m)
		}
	}
}

func (w *world) serve(m message) {
	w.calls++
	m.beat.Beat.Call = w.calls
	to := 0
	if m.beat.To == "1" {
		to = 1
	}
	for _, eff := range w.tables[to].Step(w.now, m.beat.Beat) {
		if a, ok := eff.(member.Answer); ok {
			m.answer = &member.Answered{Try: m.beat.Try, Answer: a}
			m.at = w.now.Add(w.delay())
			w.net = append(w.net, m)
		}
	}
}

func (w *world) pass(d time.Duration) {
	for until := w.now.Add(d); w.now < until; {
		w.now = w.now.Add(100 * time.Millisecond)
		w.deliver()
		for _, p := range w.hosts {
			if p.wake <= w.now {
				w.step(p, member.TimePassed{})
			}
		}
		if w.leader >= 0 {
			w.tables[w.leader].Step(w.now, member.Ticked{})
		}
		w.check()
	}
}

func (w *world) check() {
	holder := make(map[int]ident.HostID)
	used := 0
	for _, p := range w.hosts {
		if p.seat.Seat != engine.SeatNone {
			used++
		}
		if p.seat.Seat != engine.SeatHeld {
			continue
		}
		if w.now > p.until {
			w.t.Fatalf("%s holds seat %d after its lease ended at %d, now %d", p.id, p.seat.Number, p.until, w.now)
		}
		if other, ok := holder[p.seat.Number]; ok {
			w.t.Fatalf("%s and %s hold seat %d", other, p.id, p.seat.Number)
		}
		holder[p.seat.Number] = p.id
	}
	if used > seats {
		state := ""
		for _, p := range w.hosts {
			state += fmt.Sprintf("\n%s %+v deaf=%v mute=%v", p.id, p.seat, p.deaf, p.mute)
		}
		w.t.Fatalf("at %d %d processes use %d seats:%s\n%+v", w.now, used, seats, state, w.tables[max(w.leader, 0)].Hosts())
	}
}

// Guards against two live holders of one seat and against more hosts with
// connections than seats, under leader changes, one-way partitions, flapping
// and restarted hosts and delayed heartbeats.
func TestSeatsAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 5, func() time.Duration {
			return rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "delay")
		})
		if rapid.Bool().Draw(t, "led") {
			w.lead(0)
		}
		index := func(t *rapid.T) int { return rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.pass(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 2 * time.Second, 13 * time.Second}).Draw(t, "step"))
			},
			"lead":    func(t *rapid.T) { w.lead(rapid.IntRange(-1, 1).Draw(t, "leader")) },
			"cut in":  func(t *rapid.T) { p := w.hosts[index(t)]; p.deaf = !p.deaf },
			"cut out": func(t *rapid.T) { p := w.hosts[index(t)]; p.mute = !p.mute },
			"restart": func(t *rapid.T) {
				i := index(t)
				w.hosts[i].dead = true
				w.hosts[i] = w.boot(i)
			},
			"leave": func(t *rapid.T) {
				i := index(t)
				w.step(w.hosts[i], member.Left{})
				w.hosts[i].dead = true
				w.hosts[i] = w.boot(i)
			},
		})
	})
}

func prompt() time.Duration { return 0 }

// Guards against seats that get lost: after a change of leader every host keeps
// the seat that it claims, and a replaced host's seat is given again once the
// platform's list no longer shows it.
func TestSeatsSurviveLeaderChange(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, prompt)
	w.lead(0)
	w.pass(3 * time.Second)
	held := func() (list []int) {
		for _, p := range w.hosts {
			if p.seat.Seat == engine.SeatHeld {
				list = append(list, p.seat.Number)
			}
		}
		return list
	}
	before := held()
	is.Equal(before, []int{0, 1, 2})
	w.lead(1)
	w.pass(30 * time.Second)
	is.Equal(held(), before) // one host waits, nobody lost a seat

	w.hosts[0].dead, w.hosts[0].mute, w.hosts[0].wake = true, true, 1<<62
	w.hosts[0].seat.Seat = engine.SeatNone
	w.pass(30 * time.Second)
	is.Equal(len(held()), seats-1) // still on the list
	w.hosts = w.hosts[1:]
	w.list()
	w.pass(3 * time.Second)
	is.Equal(len(held()), seats)
	for range 5 { // the seat of a killed process goes to its successor or falls free
		w.hosts[0].dead, w.hosts[0].wake = true, 1<<62
		w.hosts[0] = w.boot(1)
		w.pass(15 * time.Second)
	}
	is.Equal(len(held()), seats)
	is.Equal(w.tables[1].Domains(), []member.DomainState{
		{Domain: "d0", Live: 1, Seated: 1},
		{Domain: "d1", Live: 2, Seated: 2},
	})
}

// Guards against a raise of the seats that is granted while hosts still use
// the larger shares of the old configuration, and against a seat over the limit.
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
	h.Step(1, member.Answered{Try: 1, Answer: member.Answer{Taken: true, Granted: true, Seat: 1, Lease: member.Lease}})
	// A leader that has not decided yet leaves an expired host its own domain.
	h.Step(ident.Instant(member.Lease), member.TimePassed{})
	h.Step(ident.Instant(member.Lease), member.Answered{Try: 2, Answer: member.Answer{Taken: true, Undecided: true}})
	effects := h.Step(2, member.ConfigApplied{Seats: 1})
	is.Equal(effects[0], member.SeatChanged{Seat: engine.SeatNone})
}

// BenchmarkBeat measures one heartbeat at the leader of a deployment of the
// two-year target.
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
			now = now.Add(member.BeatEvery)
			table.Step(now, member.Ticked{})
		}
		table.Step(now, beats[i%hosts])
	}
}
