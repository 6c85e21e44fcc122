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

// The figures that must be zero, by reducer.
var (
	FilingBroken = []string{"SecondSends", "UngrantedSends", "RunsAgain", "WrongReplies", "NotRunSent", "Open"}
	LedgerBroken = []string{"SecondGrants", "GrantsAfterDone"}
	ConfigBroken = []string{"OtherOutcomes", "VersionFalls", "WrongAccepts"}
	SpreadBroken = []string{"VersionFalls", "WrongDigests"}
	TableBroken  = []string{"SeatConflicts", "GrantsOffice"}
	HolderBroken = []string{"HeldPastLease"}
	QuorumBroken = []string{"ApplyGaps", "TermFalls", "SecondVotes"}
)

func watchFiling() watch[filing.Event, filing.Effect] {
	f := newFigures(append([]string{"Sends", "Done", "NotRun", "Unknown", "Reserves", "Completes"}, FilingBroken...)...)
	type key struct {
		arrival filing.ArrivalID
		fence   uint64
	}
	open, granted, sent := map[filing.ArrivalID]ident.RequestID{}, map[key]bool{}, map[key]ident.RequestID{}
	ran, fences := map[ident.RequestID]bool{}, map[ident.RequestID]map[uint64]bool{}
	ranBy := map[filing.ArrivalID]bool{}
	event := func(ev filing.Event) {
		switch ev := ev.(type) {
		case filing.Arrived:
			open[ev.Arrival] = ev.Request
		case filing.ReserveAnswered:
			granted[key{ev.Arrival, ev.Result.Fence}] = ev.Result.Kind == ledger.Granted
		case filing.SendAnswered:
			ran[sent[key{ev.Arrival, ev.Fence}]], ranBy[ev.Arrival] = true, true
		case filing.SendFailed:
			switch ev.Kind {
			case engine.Shed, engine.Draining, engine.Refused, engine.VersionGone, engine.WrongShard:
			default:
				ran[sent[key{ev.Arrival, ev.Fence}]], ranBy[ev.Arrival] = true, true
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
			f.addIf(fences[ef.Request][ef.Fence], "SecondSends")
			f.addIf(!granted[key{ef.Arrival, ef.Fence}], "UngrantedSends")
			f.addIf(ran[ef.Request], "RunsAgain")
			if fences[ef.Request] == nil {
				fences[ef.Request] = map[uint64]bool{}
			}
			fences[ef.Request][ef.Fence] = true
			sent[key{ef.Arrival, ef.Fence}] = ef.Request
		case filing.Reply:
			f.addIf(open[ef.Arrival] != ef.Request, "WrongReplies")
			delete(open, ef.Arrival)
			f.addIf(ef.Outcome == engine.NotRun && ranBy[ef.Arrival], "NotRunSent")
			switch ef.Outcome {
			case engine.Done, engine.NotRun, engine.Unknown:
				f.add(string(ef.Outcome))
			default:
				f.add("WrongReplies")
			}
		default:
		}
	}
	return watch[filing.Event, filing.Effect]{
		figures: f,
		see: func(_ ident.Instant, ev filing.Event, effects []filing.Effect) {
			event(ev)
			for _, ef := range effects {
				effect(ef)
			}
			f.set("Open", int64(len(open)))
		},
	}
}

func watchLedger() watch[ledger.Command, ledger.Result] {
	f := newFigures(append([]string{"Granted", "Recorded", "InFlight", "Refused", "Applied"}, LedgerBroken...)...)
	type holder struct {
		host    ident.HostID
		attempt uint64
	}
	fences, done := map[uint64]holder{}, map[ident.RequestID]bool{}
	return watch[ledger.Command, ledger.Result]{
		figures: f,
		see: func(_ ident.Instant, c ledger.Command, results []ledger.Result) {
			res := results[0]
			switch res.Kind {
			case ledger.Granted, ledger.Recorded, ledger.InFlight, ledger.Refused, ledger.Applied:
				f.add(string(res.Kind))
			default:
			}
			switch c := c.(type) {
			case ledger.Reserve:
				if res.Kind == ledger.Granted {
					h := holder{c.Host, c.Attempt}
					old, again := fences[res.Fence]
					f.addIf(again && old != h, "SecondGrants")
					f.addIf(done[c.Request], "GrantsAfterDone")
					fences[res.Fence] = h
				}
			case ledger.Complete:
				done[c.Request] = done[c.Request] || res.Kind == ledger.Applied
			default:
			}
		},
	}
}

func watchConfig(m *config.Machine) watch[config.Command, config.Outcome] {
	f := newFigures(append([]string{"Accepted", "Conflict", "NotRun", "Resent", "Version"}, ConfigBroken...)...)
	first := map[ident.CommandID]config.Outcome{}
	for _, h := range m.Recent {
		first[h.ID] = h.Outcome
	}
	var version ident.ConfigVersion
	if m.State != nil {
		version = m.State.Version
	}
	return watch[config.Command, config.Outcome]{
		figures: f,
		see: func(_ ident.Instant, c config.Command, out []config.Outcome) {
			o := out[0]
			if old, again := first[c.ID]; again {
				f.add("Resent")
				f.addIf(old.Kind != o.Kind || old.Version != o.Version, "OtherOutcomes")
				return
			}
			first[c.ID] = o
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

func watchSpread() watch[follow.Event, follow.Effect] {
	f := newFigures(append([]string{"Applies", "Copies", "Watches", "Pulls", "OpenWatches", "Version"}, SpreadBroken...)...)
	open := map[uint64]bool{}
	var version ident.ConfigVersion
	return watch[follow.Event, follow.Effect]{
		figures: f,
		see: func(_ ident.Instant, ev follow.Event, effects []follow.Effect) {
			if end, ok := ev.(follow.StreamEnded); ok {
				delete(open, end.Stream)
			}
			for _, ef := range effects {
				switch ef := ef.(type) {
				case follow.Watch:
					f.add("Watches")
					open[ef.Stream] = true
				case follow.CloseStream:
					delete(open, ef.Stream)
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
			f.set("OpenWatches", int64(len(open)))
		},
	}
}

func watchTable() watch[member.Event, member.Effect] {
	f := newFigures(append([]string{"Granted", "Denied", "Undecided", "Silent"}, TableBroken...)...)
	type lease struct {
		boot  uint64
		until ident.Instant
	}
	var leading bool
	seats := map[int]lease{}
	return watch[member.Event, member.Effect]{
		figures: f,
		see: func(now ident.Instant, ev member.Event, effects []member.Effect) {
			var beat member.Beat
			switch ev := ev.(type) {
			case member.LeaderStarted:
				leading = true
			case member.LeaderStopped:
				leading = false
			case member.Beat:
				beat = ev
				if l, ok := seats[ev.Seat]; ok && ev.Leaving && l.boot == ev.Boot {
					delete(seats, ev.Seat)
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
					l := seats[ef.Seat]
					f.addIf(l.boot != beat.Boot && l.until > now, "SeatConflicts")
					seats[ef.Seat] = lease{beat.Boot, now.Add(ef.Lease)}
				default:
				}
			}
		},
	}
}

func watchHolder() watch[member.HolderEvent, member.HolderEffect] {
	f := newFigures(append([]string{"Beats", "Held", "Expired", "None"}, HolderBroken...)...)
	sent := map[uint64]ident.Instant{}
	var until ident.Instant
	seat := engine.SeatNone
	return watch[member.HolderEvent, member.HolderEffect]{
		figures: f,
		see: func(now ident.Instant, ev member.HolderEvent, effects []member.HolderEffect) {
			if a, ok := ev.(member.Answered); ok && a.Answer.Granted {
				until = max(until, sent[a.Attempt].Add(a.Answer.Lease))
			}
			for _, ef := range effects {
				switch ef := ef.(type) {
				case member.SendBeat:
					f.add("Beats")
					sent[ef.Attempt] = now
				case member.SeatChanged:
					seat = ef.Seat
					f.add(string(ef.Seat))
				default:
				}
			}
			f.addIf(seat == engine.SeatHeld && now >= until, "HeldPastLease")
		},
	}
}

func watchQuorum(s quorum.Stored) watch[quorum.Event, quorum.Effect] {
	f := newFigures(append([]string{"Applied", "Committed", "NotRun", "Unknown", "Elections", "Members", "Appends"}, QuorumBroken...)...)
	hard, applied, election := s.Hard, s.Snapshot.Meta.Index, quorum.Term(0)
	save := func(h quorum.HardState) {
		f.addIf(h.Term < hard.Term, "TermFalls")
		f.addIf(h.Term == hard.Term && hard.Vote != "" && h.Vote != hard.Vote, "SecondVotes")
		hard = h
	}
	see := func(ef quorum.Effect) {
		switch ef := ef.(type) {
		case quorum.Send:
			v, ok := ef.Message.Body.(quorum.VoteRequest)
			if ok && !v.Pre && ef.Message.Term != election {
				election = ef.Message.Term
				f.add("Elections")
			}
		case quorum.Append:
			f.add("Appends")
			save(ef.Hard)
		case quorum.SaveSnapshot:
			save(ef.Hard)
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
	return watch[quorum.Event, quorum.Effect]{
		figures: f,
		see: func(_ ident.Instant, _ quorum.Event, effects []quorum.Effect) {
			for _, ef := range effects {
				see(ef)
			}
		},
	}
}
