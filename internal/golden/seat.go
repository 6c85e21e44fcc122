package golden

import (
	"fmt"
	"time"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

// seatSim runs the seat table of the control leader and the seat holders of the
// entry hosts.
type seatSim struct {
	clock
	table       replay.Step[member.Event, member.Effect]
	holders     []replay.Step[member.HolderEvent, member.HolderEffect]
	unreachable []bool
	onAnswer    map[uint64]func(member.Answer)
	lastCall    uint64
}

func (s *seatSim) stepTable(ev member.Event) {
	for _, ef := range s.table(s.now, ev) {
		switch ef := ef.(type) {
		case member.Answer:
			s.onAnswer[ef.Call](ef)
		case member.Wake:
			s.scheduleWake("table", ef.At, func() { s.stepTable(member.Ticked{}) })
		case member.LivenessChanged:
		}
	}
}

func (s *seatSim) stepHolder(host int, ev member.HolderEvent) {
	for _, ef := range s.holders[host](s.now, ev) {
		switch ef := ef.(type) {
		case member.SendBeat:
			s.sendHeartbeat(host, ef)
		case member.WakeHolder:
			s.scheduleWake(fmt.Sprint(host), ef.At, func() { s.stepHolder(host, member.TimePassed{}) })
		case member.SeatChanged, member.PeersChanged:
		}
	}
}

func (s *seatSim) sendHeartbeat(host int, ef member.SendBeat) {
	if s.unreachable[host] {
		s.after(member.AnswerTimeout, func() { s.stepHolder(host, member.Failed{Attempt: ef.Attempt}) })
		return
	}
	s.lastCall++
	b := ef.Beat
	b.Call = s.lastCall
	s.onAnswer[b.Call] = func(a member.Answer) {
		s.after(ms, func() {
			s.stepHolder(host, member.Answered{
				Attempt: ef.Attempt,
				Answer:  a,
			})
		})
	}
	s.after(ms, func() { s.stepTable(b) })
}

func newSeatSim(hosts int) (*seatSim, []member.HolderConfig) {
	s := &seatSim{
		table:       member.NewTable().Step,
		unreachable: make([]bool, hosts),
		onAnswer:    map[uint64]func(member.Answer){},
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

// seatTracePair returns two traces of one scenario: of the table, and of the
// first host's holder.
func seatTracePair(name, guards string, hosts int, run func(*seatSim), tableExpected, holderExpected []replay.Outcome) []Trace {
	return []Trace{
		{
			Name:   "table-" + name,
			Guards: guards + "; the leader's side",
			write: func(path string) error {
				s, _ := newSeatSim(hosts)
				rec, err := newRecording(path, replay.ReducerTable, struct{}{}, s.table)
				if err != nil {
					return err
				}
				s.table = rec.Step
				run(s)
				return rec.finish(replay.TableViolations, tableExpected...)
			},
		},
		{
			Name:   "holder-" + name,
			Guards: guards + "; the first host's side",
			write: func(path string) error {
				s, setups := newSeatSim(hosts)
				rec, err := newRecording(path, replay.ReducerHolder, setups[0], s.holders[0])
				if err != nil {
					return err
				}
				s.holders[0] = rec.Step
				run(s)
				return rec.finish(replay.HolderViolations, holderExpected...)
			},
		},
	}
}

// startLeader starts a control leader with the given number of seats. fresh
// means that no earlier leader has granted seats.
func (s *seatSim) startLeader(seats int, fresh bool) {
	s.stepTable(member.LeaderStarted{
		Seats: seats,
		Fresh: fresh,
	})
}

func (s *seatSim) start(seats int) {
	s.startLeader(seats, true)
	for i := range s.holders {
		s.stepHolder(i, member.ConfigApplied{Seats: seats})
		s.stepHolder(i, member.Started{})
	}
}

func seatTraces() []Trace {
	var all []Trace
	add := func(name, guards string, hosts int, run func(*seatSim), tableExpected, holderExpected []replay.Outcome) {
		all = append(all, seatTracePair(name, guards, hosts, run, tableExpected, holderExpected)...)
	}
	add("replaced-hosts", "a seat that two hosts hold at once while hosts are replaced", 4,
		func(s *seatSim) {
			s.start(3)
			s.advance(3 * time.Second)
			s.stepHolder(0, member.Left{})
			s.advance(5 * time.Second)
			s.unreachable[1] = true
			s.advance(15 * time.Second)
			s.unreachable[1] = false
			s.advance(5 * time.Second)
		},
		outcomes(atLeast("Granted", 40), atLeast("Denied", 1), atLeast("Silent", 1)),
		outcomes(exactly("Held", 1), exactly("None", 1), exactly("Expired", 0)))
	add("cut-off", "a host that keeps its seat after the lease, or does not get it back", 3,
		func(s *seatSim) {
			s.start(3)
			s.advance(3 * time.Second)
			s.unreachable[0] = true
			s.advance(14 * time.Second)
			s.unreachable[0] = false
			s.advance(4 * time.Second)
		},
		outcomes(atLeast("Granted", 30), exactly("Silent", 1)),
		outcomes(exactly("Held", 2), exactly("Expired", 1)))
	add("new-leader", "a new leader that grants a seat which a host still holds", 4,
		func(s *seatSim) {
			s.start(3)
			s.advance(3 * time.Second)
			s.unreachable[0] = true
			s.stepTable(member.LeaderStopped{})
			s.advance(2 * time.Second)
			s.startLeader(3, false)
			s.advance(4 * time.Second)
			s.unreachable[0] = false
			s.advance(12 * time.Second)
		},
		outcomes(atLeast("Granted", 30), atLeast("Undecided", 1)),
		outcomes(exactly("Held", 1), exactly("Expired", 0)))
	add("fewer-seats", "a host that keeps a seat which the configuration no longer has", 3,
		func(s *seatSim) {
			s.start(3)
			s.advance(3 * time.Second)
			v := ident.ConfigVersion{Number: 1}
			s.stepTable(member.SeatsSet{
				Seats:   2,
				Version: v,
			})
			for i := range s.holders {
				s.stepHolder(i, member.ConfigApplied{
					Version: v,
					Seats:   2,
				})
			}
			s.advance(8 * time.Second)
		},
		outcomes(atLeast("Granted", 20), atLeast("Denied", 1)),
		outcomes(exactly("Held", 1)))
	return all
}
