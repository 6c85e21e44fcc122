package golden

import (
	"fmt"
	"time"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

// seater runs the seat table of a control leader and the holders of hosts.
type seater struct {
	clock
	table   replay.Step[member.Event, member.Effect]
	holders []replay.Step[member.HolderEvent, member.HolderEffect]
	down    []bool
	calls   map[uint64]func(member.Answer)
	last    uint64
}

func (s *seater) tell(ev member.Event) {
	for _, ef := range s.table(s.now, ev) {
		switch ef := ef.(type) {
		case member.Answer:
			s.calls[ef.Call](ef)
		case member.Wake:
			s.wake("table", ef.At, func() { s.tell(member.Ticked{}) })
		case member.LivenessChanged:
		}
	}
}

func (s *seater) hold(host int, ev member.HolderEvent) {
	for _, ef := range s.holders[host](s.now, ev) {
		switch ef := ef.(type) {
		case member.SendBeat:
			s.beat(host, ef)
		case member.WakeHolder:
			s.wake(fmt.Sprint(host), ef.At, func() { s.hold(host, member.TimePassed{}) })
		case member.SeatChanged, member.PeersChanged:
		}
	}
}

func (s *seater) beat(host int, ef member.SendBeat) {
	if s.down[host] {
		s.after(member.AnswerTimeout, func() { s.hold(host, member.Failed{Attempt: ef.Attempt}) })
		return
	}
	s.last++
	b := ef.Beat
	b.Call = s.last
	s.calls[b.Call] = func(a member.Answer) {
		s.after(ms, func() {
			s.hold(host, member.Answered{
				Attempt: ef.Attempt,
				Answer:  a,
			})
		})
	}
	s.after(ms, func() { s.tell(b) })
}

func newSeater(hosts int) (*seater, []member.HolderConfig) {
	s := &seater{
		table: member.NewTable().Step,
		down:  make([]bool, hosts),
		calls: map[uint64]func(member.Answer){},
	}
	s.now = 1
	var setups []member.HolderConfig
	for i := range hosts {
		setups = append(setups, member.HolderConfig{
			Host:     ident.HostID(fmt.Sprint("h", i)),
			Domain:   ident.Domain(fmt.Sprint("d", i%2)),
			Boot:     uint64(i + 1),
			Address:  fmt.Sprintf("10.0.0.%d:1", i+1),
			Controls: []string{"c0", "c1"},
		})
		s.holders = append(s.holders, member.NewHolder(setups[i]).Step)
	}
	return s, setups
}

// seated returns the traces of one scenario: of the table, and of the first
// host's holder.
func seated(name, guards string, hosts int, run func(*seater), table, holder []replay.Outcome) []Trace {
	return []Trace{
		{
			Name:   "table-" + name,
			Guards: guards + "; the leader's side",
			write: func(path string) error {
				s, _ := newSeater(hosts)
				out, err := newTape(path, replay.ReducerTable, struct{}{}, s.table)
				if err != nil {
					return err
				}
				s.table = out.Step
				run(s)
				return out.end(replay.TableBroken, table...)
			},
		},
		{
			Name:   "holder-" + name,
			Guards: guards + "; the first host's side",
			write: func(path string) error {
				s, setups := newSeater(hosts)
				out, err := newTape(path, replay.ReducerHolder, setups[0], s.holders[0])
				if err != nil {
					return err
				}
				s.holders[0] = out.Step
				run(s)
				return out.end(replay.HolderBroken, holder...)
			},
		},
	}
}

// lead starts the leader and the hosts with the given number of seats.
func (s *seater) lead(seats int, fresh bool) {
	s.tell(member.LeaderStarted{
		Seats: seats,
		Fresh: fresh,
	})
}

func (s *seater) start(seats int) {
	s.lead(seats, true)
	for i := range s.holders {
		s.hold(i, member.ConfigApplied{Seats: seats})
		s.hold(i, member.Started{})
	}
}

func seats() []Trace {
	var all []Trace
	add := func(name, guards string, hosts int, run func(*seater), table, holder []replay.Outcome) {
		all = append(all, seated(name, guards, hosts, run, table, holder)...)
	}
	add("replaced-hosts", "a seat that two hosts hold at once while hosts are replaced", 4,
		func(s *seater) {
			s.start(3)
			s.pass(3 * time.Second)
			s.hold(0, member.Left{})
			s.pass(5 * time.Second)
			s.down[1] = true
			s.pass(15 * time.Second)
			s.down[1] = false
			s.pass(5 * time.Second)
		},
		outcomes(atLeast("Granted", 40), atLeast("Denied", 1), atLeast("Silent", 1)),
		outcomes(exactly("Held", 1), exactly("None", 1), exactly("Expired", 0)))
	add("cut-off", "a host that keeps its seat after the lease, or does not get it back", 3,
		func(s *seater) {
			s.start(3)
			s.pass(3 * time.Second)
			s.down[0] = true
			s.pass(14 * time.Second)
			s.down[0] = false
			s.pass(4 * time.Second)
		},
		outcomes(atLeast("Granted", 30), exactly("Silent", 1)),
		outcomes(exactly("Held", 2), exactly("Expired", 1)))
	add("new-leader", "a new leader that grants a seat which a host still holds", 4,
		func(s *seater) {
			s.start(3)
			s.pass(3 * time.Second)
			s.down[0] = true
			s.tell(member.LeaderStopped{})
			s.pass(2 * time.Second)
			s.lead(3, false)
			s.pass(4 * time.Second)
			s.down[0] = false
			s.pass(12 * time.Second)
		},
		outcomes(atLeast("Granted", 30), atLeast("Undecided", 1)),
		outcomes(exactly("Held", 1), exactly("Expired", 0)))
	add("fewer-seats", "a host that keeps a seat which the configuration no longer has", 3,
		func(s *seater) {
			s.start(3)
			s.pass(3 * time.Second)
			v := ident.ConfigVersion{Number: 1}
			s.tell(member.SeatsSet{
				Seats:   2,
				Version: v,
			})
			for i := range s.holders {
				s.hold(i, member.ConfigApplied{
					Version: v,
					Seats:   2,
				})
			}
			s.pass(8 * time.Second)
		},
		outcomes(atLeast("Granted", 20), atLeast("Denied", 1)),
		outcomes(exactly("Held", 1)))
	return all
}
