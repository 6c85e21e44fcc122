package replay

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// The figures that count violations of a reducer's guarantees and must be zero.
// RunsAgain counts filings sent again after they may have run, GrantsOffice
// seats granted by a host that is not the leader.
var (
	FilingViolations = []string{"SecondSends", "UngrantedSends", "RunsAgain", "WrongReplies", "NotRunSent", "Open"}
	LedgerViolations = []string{"SecondGrants", "GrantsAfterDone"}
	ConfigViolations = []string{"OtherOutcomes", "VersionFalls", "WrongAccepts"}
	FollowViolations = []string{"VersionFalls", "WrongDigests"}
	TableViolations  = []string{"SeatConflicts", "GrantsOffice"}
	HolderViolations = []string{"HeldPastLease"}
	QuorumViolations = []string{"ApplyGaps", "TermFalls", "SecondVotes"}
)

func monitorFiling() monitor[filing.Event, filing.Effect] {
	f := newFigures(append([]string{"Sends", "Done", "NotRun", "Unknown", "Reserves", "Completes"}, FilingViolations...)...)
	type attempt struct {
		arrival filing.ArrivalID
		fence   uint64
	}
	pending, granted, sentRequests := map[filing.ArrivalID]ident.RequestID{}, map[attempt]bool{}, map[attempt]ident.RequestID{}
	ranRequests, sentFences := map[ident.RequestID]bool{}, map[ident.RequestID]map[uint64]bool{}
	ranArrivals := map[filing.ArrivalID]bool{}
	event := func(ev filing.Event) {
		switch ev := ev.(type) {
		case filing.Arrived:
			pending[ev.Arrival] = ev.Request
		case filing.ReserveAnswered:
			granted[attempt{ev.Arrival, ev.Result.Fence}] = ev.Result.Kind == ledger.Granted
		case filing.SendAnswered:
			ranRequests[sentRequests[attempt{ev.Arrival, ev.Fence}]], ranArrivals[ev.Arrival] = true, true
		case filing.SendFailed:
			switch ev.Kind {
			case engine.Shed, engine.Draining, engine.Refused, engine.VersionGone, engine.WrongShard:
			default:
				ranRequests[sentRequests[attempt{ev.Arrival, ev.Fence}]], ranArrivals[ev.Arrival] = true, true
			}
		default:
		}
	}
	effect := func(ef filing.Effect) {
		switch ef := ef.(type) {
		case filing.Reserve:
			f.add("Reserves")
		case filing.Complete:
			f.add("Completes")
		case filing.Send:
			f.add("Sends")
			f.addIf(sentFences[ef.Request][ef.Fence], "SecondSends")
			f.addIf(!granted[attempt{ef.Arrival, ef.Fence}], "UngrantedSends")
			f.addIf(ranRequests[ef.Request], "RunsAgain")
			if sentFences[ef.Request] == nil {
				sentFences[ef.Request] = map[uint64]bool{}
			}
			sentFences[ef.Request][ef.Fence] = true
			sentRequests[attempt{ef.Arrival, ef.Fence}] = ef.Request
		case filing.Reply:
			f.addIf(pending[ef.Arrival] != ef.Request, "WrongReplies")
			delete(pending, ef.Arrival)
			f.addIf(ef.Outcome == engine.NotRun && ranArrivals[ef.Arrival], "NotRunSent")
			switch ef.Outcome {
			case engine.Done, engine.NotRun, engine.Unknown:
				f.add(string(ef.Outcome))
			default:
				f.add("WrongReplies")
			}
		default:
		}
	}
	return monitor[filing.Event, filing.Effect]{
		figures: f,
		observe: func(_ ident.Instant, ev filing.Event, effects []filing.Effect) {
			event(ev)
			for _, ef := range effects {
				effect(ef)
			}
			f.set("Open", int64(len(pending)))
		},
	}
}

func monitorLedger() monitor[ledger.Command, ledger.Result] {
	f := newFigures(append([]string{"Granted", "Recorded", "InFlight", "Refused", "Applied"}, LedgerViolations...)...)
	type owner struct {
		host    ident.HostID
		attempt uint64
	}
	owners, completed := map[uint64]owner{}, map[ident.RequestID]bool{}
	return monitor[ledger.Command, ledger.Result]{
		figures: f,
		observe: func(_ ident.Instant, c ledger.Command, results []ledger.Result) {
			res := results[0]
			switch res.Kind {
			case ledger.Granted, ledger.Recorded, ledger.InFlight, ledger.Refused, ledger.Applied:
				f.add(string(res.Kind))
			default:
			}
			switch c := c.(type) {
			case ledger.Reserve:
				if res.Kind == ledger.Granted {
					o := owner{c.Host, c.Attempt}
					old, exists := owners[res.Fence]
					f.addIf(exists && old != o, "SecondGrants")
					f.addIf(completed[c.Request], "GrantsAfterDone")
					owners[res.Fence] = o
				}
			case ledger.Complete:
				completed[c.Request] = completed[c.Request] || res.Kind == ledger.Applied
			default:
			}
		},
	}
}

func monitorConfig(m *config.Machine) monitor[config.Command, config.Outcome] {
	f := newFigures(append([]string{"Accepted", "Conflict", "NotRun", "Resent", "Version"}, ConfigViolations...)...)
	outcomes := map[ident.CommandID]config.Outcome{}
	for _, h := range m.Recent {
		outcomes[h.ID] = h.Outcome
	}
	var version ident.ConfigVersion
	if m.State != nil {
		version = m.State.Version
	}
	return monitor[config.Command, config.Outcome]{
		figures: f,
		observe: func(_ ident.Instant, c config.Command, out []config.Outcome) {
			o := out[0]
			if old, resent := outcomes[c.ID]; resent {
				f.add("Resent")
				f.addIf(old.Kind != o.Kind || old.Version != o.Version, "OtherOutcomes")
				return
			}
			outcomes[c.ID] = o
			switch o.Kind {
			case config.Accepted, config.Conflict, config.NotRun:
				f.add(string(o.Kind))
			default:
			}
			f.addIf(o.Version.Less(version), "VersionFalls")
			f.addIf(o.Kind == config.Accepted && (c.Expect != version || o.Version.Number != version.Number+1), "WrongAccepts")
			f.addIf(o.Kind != config.Accepted && o.Version != version, "WrongAccepts")
			version = o.Version
			f.set("Version", int64(version.Number))
		},
	}
}

func monitorFollow() monitor[follow.Event, follow.Effect] {
	f := newFigures(append([]string{"Applies", "Copies", "Watches", "Pulls", "OpenWatches", "Version"}, FollowViolations...)...)
	openStreams := map[uint64]bool{}
	var version ident.ConfigVersion
	return monitor[follow.Event, follow.Effect]{
		figures: f,
		observe: func(_ ident.Instant, ev follow.Event, effects []follow.Effect) {
			if end, ok := ev.(follow.StreamEnded); ok {
				delete(openStreams, end.Stream)
			}
			for _, ef := range effects {
				switch ef := ef.(type) {
				case follow.Watch:
					f.add("Watches")
					openStreams[ef.Stream] = true
				case follow.CloseStream:
					delete(openStreams, ef.Stream)
				case follow.Pull:
					f.add("Pulls")
				case follow.Apply:
					f.add("Applies")
					f.addIf(len(ef.Deltas) == 0, "Copies")
					f.addIf(ef.State.Version.Less(version), "VersionFalls")
					f.addIf(ef.State.Verify() != nil, "WrongDigests")
					version = ef.State.Version
					f.set("Version", int64(version.Number))
				default:
				}
			}
			f.set("OpenWatches", int64(len(openStreams)))
		},
	}
}

func monitorTable() monitor[member.Event, member.Effect] {
	f := newFigures(append([]string{"Granted", "Denied", "Undecided", "Silent"}, TableViolations...)...)
	type lease struct {
		boot uint64
		end  ident.Instant
	}
	var leading bool
	leases := map[int]lease{}
	return monitor[member.Event, member.Effect]{
		figures: f,
		observe: func(now ident.Instant, ev member.Event, effects []member.Effect) {
			var heartbeat member.Beat
			switch ev := ev.(type) {
			case member.LeaderStarted:
				leading = true
			case member.LeaderStopped:
				leading = false
			case member.Beat:
				heartbeat = ev
				if l, ok := leases[ev.Seat]; ok && ev.Leaving && l.boot == ev.Boot {
					delete(leases, ev.Seat)
				}
			default:
			}
			for _, ef := range effects {
				switch ef := ef.(type) {
				case member.LivenessChanged:
					f.addIf(!ef.Live, "Silent")
				case member.Answer:
					f.addIf(ef.Undecided, "Undecided")
					if !ef.Granted {
						f.add("Denied")
						continue
					}
					f.add("Granted")
					f.addIf(!leading, "GrantsOffice")
					l := leases[ef.Seat]
					f.addIf(l.boot != heartbeat.Boot && l.end > now, "SeatConflicts")
					leases[ef.Seat] = lease{heartbeat.Boot, now.Add(ef.Lease)}
				default:
				}
			}
		},
	}
}

func monitorHolder() monitor[member.HolderEvent, member.HolderEffect] {
	f := newFigures(append([]string{"Beats", "Held", "Expired", "None"}, HolderViolations...)...)
	sentAt := map[uint64]ident.Instant{}
	var leaseEnd ident.Instant
	seat := engine.SeatNone
	return monitor[member.HolderEvent, member.HolderEffect]{
		figures: f,
		observe: func(now ident.Instant, ev member.HolderEvent, effects []member.HolderEffect) {
			if a, ok := ev.(member.Answered); ok && a.Answer.Granted {
				leaseEnd = max(leaseEnd, sentAt[a.Attempt].Add(a.Answer.Lease))
			}
			for _, ef := range effects {
				switch ef := ef.(type) {
				case member.SendBeat:
					f.add("Beats")
					sentAt[ef.Attempt] = now
				case member.SeatChanged:
					seat = ef.Seat
					f.add(string(ef.Seat))
				default:
				}
			}
			f.addIf(seat == engine.SeatHeld && now >= leaseEnd, "HeldPastLease")
		},
	}
}

func monitorQuorum(s quorum.Stored) monitor[quorum.Event, quorum.Effect] {
	f := newFigures(append([]string{"Applied", "Committed", "NotRun", "Unknown", "Elections", "Members", "Appends"}, QuorumViolations...)...)
	hardState, applied, electionTerm := s.Hard, s.Snapshot.Meta.Index, quorum.Term(0)
	checkHardState := func(h quorum.HardState) {
		f.addIf(h.Term < hardState.Term, "TermFalls")
		f.addIf(h.Term == hardState.Term && hardState.Vote != "" && h.Vote != hardState.Vote, "SecondVotes")
		hardState = h
	}
	count := func(ef quorum.Effect) {
		switch ef := ef.(type) {
		case quorum.Send:
			v, ok := ef.Message.Body.(quorum.VoteRequest)
			if ok && !v.Pre && ef.Message.Term != electionTerm {
				electionTerm = ef.Message.Term
				f.add("Elections")
			}
		case quorum.Append:
			f.add("Appends")
			checkHardState(ef.Hard)
		case quorum.SaveSnapshot:
			checkHardState(ef.Hard)
		case quorum.Restore:
			applied = ef.Snapshot.Meta.Index
		case quorum.Apply:
			f.addIf(ef.Entry.Index != applied+1, "ApplyGaps")
			applied = ef.Entry.Index
			f.addIf(ef.Entry.Kind == quorum.Command, "Applied")
			f.addIf(ef.Entry.Kind == quorum.Command && ef.Proposal != 0, "Committed")
			if ef.Entry.Kind == quorum.Membership {
				f.set("Members", int64(len(ef.Entry.Members)))
			}
		case quorum.Reply:
			f.addIf(ef.Kind == quorum.NotRun, "NotRun")
			f.addIf(ef.Kind == quorum.Unknown, "Unknown")
		}
	}
	return monitor[quorum.Event, quorum.Effect]{
		figures: f,
		observe: func(_ ident.Instant, _ quorum.Event, effects []quorum.Effect) {
			for _, ef := range effects {
				count(ef)
			}
		},
	}
}
