package replay_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

const traces = "../../testdata/traces"

func traceLines(t *testing.T, name string) []string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(traces, name+".jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(raw)), "\n")
}

// expectDetected expects an edit of one line to be detected by the digests, and
// with recomputed digests by the replay. It returns the difference of the second
// replay, which is nil if the replay ended in an error.
func expectDetected(t *testing.T, name string, lines []string, at int, edited string) *replay.Difference {
	t.Helper()
	if edited == lines[at] {
		t.Fatalf("%s: line %d is not changed: %.200s", name, at+1, edited)
	}
	lines = slices.Clone(lines)
	lines[at] = edited
	rep, err := runLines(lines)
	if err != nil || rep.Difference == nil || rep.Difference.Kind != replay.Tampered || rep.Difference.Line != at+1 {
		t.Errorf("%s: edit of line %d is not detected: %v, %v", name, at+1, rep.Difference, err)
	}
	sealed, err := replay.Reseal(lines)
	if err != nil {
		t.Fatal(err)
	}
	rep, err = runLines(sealed)
	if err == nil && rep.Difference == nil {
		t.Errorf("%s: edit of line %d with valid digests is not detected", name, at+1)
	}
	return rep.Difference
}

// lastIndex returns the index of the last line that contains all parts.
func lastIndex(t *testing.T, lines []string, parts ...string) int {
	t.Helper()
	for i := len(lines) - 1; i > 0; i-- {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(lines[i], p) }) {
			return i
		}
	}
	t.Fatalf("no line contains %q", parts)
	return 0
}

// Guards against a replay that accepts an edited event, for each reducer.
func TestTamperedEventOfEachReducerIsCaught(t *testing.T) {
	for _, tc := range []struct{ trace, find, old, new string }{
		{"engine-roll-over", `"Outcome":"Done"`, `"Answer":{"Request":"r`, `"Answer":{"Request":"x`},
		{"filing-done", `"Type":"ReserveAnswered"`, `"Kind":"Granted"`, `"Kind":"Full"`},
		{"ledger-done", `"Kind":"InFlight"`, `"Request":"r2"`, `"Request":"r3"`},
		{"config-restart", `"Kind":"Accepted"`, `"Expect":{"Epoch":0`, `"Expect":{"Epoch":1`},
		{"spread-deltas", `"Deltas":[{`, `"Value":{"Seats":12}`, `"Value":{"Seats":13}`},
		{"table-replaced-hosts", `"Granted":true`, `"Type":"Beat","Event":{"Call":`, `"Type":"Beat","Event":{"Call":9`},
		{"holder-cut-off", `"Seat":"Held"`, `"Granted":true`, `"Granted":false`},
		{"quorum-leader-isolated", `"Type":"AppendRequest","Value":{"PrevIndex":4`, `"PrevIndex":4`, `"PrevIndex":7`},
	} {
		lines := traceLines(t, tc.trace)
		at := lastIndex(t, lines, tc.find, tc.old)
		expectDetected(t, tc.trace, lines, at, strings.Replace(lines[at], tc.old, tc.new, 1))
	}
}

// Guards against a replay that accepts an edited effect or expected outcome, in
// every trace.
func TestTamperedEffectAndOutcomeOfEachTraceIsCaught(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(traces, "*.jsonl"))
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".jsonl")
		lines := traceLines(t, name)
		at := lastIndex(t, lines, `"Effects":[{`)
		d := expectDetected(t, name, lines, at, dropEffect(t, lines[at]))
		is.True(d != nil && d.Kind == replay.Decided && d.Line == at+1)
		for at := range lines {
			if !strings.Contains(lines[at], `"Type":"Outcome","Event":{"Figure"`) {
				continue
			}
			edited := strings.Replace(lines[at], `"AtLeast":`, `"AtLeast":9000000000000`, 1)
			d := expectDetected(t, name, lines, at, edited)
			is.True(d != nil && d.Kind == replay.Unmet)
			is.Equal(d.Expected.Type, "Outcome")
			is.True(d.Actual != nil && len(d.Event) > 0)
		}
	}
}

func dropEffect(t *testing.T, line string) string {
	t.Helper()
	var l map[string]json.RawMessage
	var effects []json.RawMessage
	is := is.New(t)
	is.NoErr(json.Unmarshal([]byte(line), &l))
	is.NoErr(json.Unmarshal(l["Effects"], &effects))
	raw, err := json.Marshal(effects[1:])
	is.NoErr(err)
	l["Effects"] = raw
	out, err := json.Marshal(l)
	is.NoErr(err)
	return string(out)
}

// expectCounted expects a fault of a reducer to raise a figure that is zero for
// the unchanged trace. Comparing effects is not enough: a record made with the
// fault has the same wrong effects as its replay.
func expectCounted[F any](t *testing.T, trace, figure string, figures func(string, func(F) []F) (map[string]int64, error), fault func(F) []F) {
	t.Helper()
	text := strings.Join(traceLines(t, trace), "\n")
	unchanged, err := figures(text, func(ef F) []F { return []F{ef} })
	if err != nil || unchanged[figure] != 0 {
		t.Errorf("%s: %s is %d: %v", trace, figure, unchanged[figure], err)
	}
	got, err := figures(text, fault)
	if err != nil || got[figure] == 0 {
		t.Errorf("%s: fault does not raise figure %s: %v, %v", trace, figure, got, err)
	}
}

func changeReply(f func(*engine.Reply)) func(engine.Effect) []engine.Effect {
	return func(ef engine.Effect) []engine.Effect {
		if r, ok := ef.(engine.Reply); ok {
			f(&r)
			ef = r
		}
		return []engine.Effect{ef}
	}
}

func changeSend(f func(*engine.Send)) func(engine.Effect) []engine.Effect {
	return func(ef engine.Effect) []engine.Effect {
		if s, ok := ef.(engine.Send); ok {
			f(&s)
			ef = s
		}
		return []engine.Effect{ef}
	}
}

// Guards against figures that stay zero although the engine violates a
// guarantee.
func TestFaultsOfTheEngineShowInTheFigures(t *testing.T) {
	e := replay.EngineFigures
	toFirst := changeSend(func(s *engine.Send) { s.Upstream = "u000-0" })
	expectCounted(t, "engine-roll-over", "MixedAnswers", e, changeReply(func(r *engine.Reply) { r.Version++ }))
	expectCounted(t, "engine-lost-service", "FalseCoverages", e, changeReply(func(r *engine.Reply) {
		r.Coverage.Answered, r.Coverage.Missing = r.Coverage.Asked, nil
	}))
	expectCounted(t, "engine-roll-over", "NotRunSent", e, changeReply(func(r *engine.Reply) { r.Outcome = engine.NotRun }))
	expectCounted(t, "engine-wrong-answers", "WrongReplies", e, changeReply(func(r *engine.Reply) { r.Request += "x" }))
	expectCounted(t, "engine-shutdown", "RunsWhileDraining", e, changeReply(func(r *engine.Reply) { r.Outcome = engine.Done }))
	expectCounted(t, "engine-drain-slow", "SendsDraining", e, toFirst)
	expectCounted(t, "engine-retire-slow", "SendsRetired", e, toFirst)
	expectCounted(t, "engine-cut-off", "SendsCutOff", e, changeSend(func(s *engine.Send) { s.Upstream = "u000-1" }))
	expectCounted(t, "engine-stragglers", "SendsUnasked", e, changeSend(func(s *engine.Send) { s.Request = "x" }))
	expectCounted(t, "engine-stragglers", "Open", e, func(ef engine.Effect) []engine.Effect {
		if _, ok := ef.(engine.Reply); ok {
			return nil
		}
		return []engine.Effect{ef}
	})
}

// Guards against figures that stay zero although filings run twice.
func TestFaultsOfFilingsShowInTheFigures(t *testing.T) {
	send := func(f func(filing.Send) []filing.Effect) func(filing.Effect) []filing.Effect {
		return func(ef filing.Effect) []filing.Effect {
			if s, ok := ef.(filing.Send); ok {
				return f(s)
			}
			return []filing.Effect{ef}
		}
	}
	f := replay.FilingFigures
	expectCounted(t, "filing-done", "SecondSends", f, send(func(s filing.Send) []filing.Effect { return []filing.Effect{s, s} }))
	expectCounted(t, "filing-done", "UngrantedSends", f, send(func(s filing.Send) []filing.Effect {
		s.Fence += 5
		return []filing.Effect{s}
	}))
	expectCounted(t, "filing-answer-lost", "NotRunSent", f, func(ef filing.Effect) []filing.Effect {
		if r, ok := ef.(filing.Reply); ok {
			r.Outcome = engine.NotRun
			ef = r
		}
		return []filing.Effect{ef}
	})
	granted := func(r ledger.Result) []ledger.Result {
		if r.Kind == ledger.Recorded || r.Kind == ledger.InFlight {
			r.Kind, r.Fence = ledger.Granted, 1
		}
		return []ledger.Result{r}
	}
	expectCounted(t, "ledger-done", "GrantsAfterDone", replay.LedgerFigures, granted)
	expectCounted(t, "ledger-answer-lost", "SecondGrants", replay.LedgerFigures, granted)
}

// Guards against figures that stay zero although configurations, seats or the
// replicated log violate a guarantee.
func TestFaultsOfControlShowInTheFigures(t *testing.T) {
	expectCounted(t, "config-racing-operators", "WrongAccepts", replay.ConfigFigures, func(o config.Outcome) []config.Outcome {
		o.Kind = config.Accepted
		return []config.Outcome{o}
	})
	calls := uint64(0)
	expectCounted(t, "config-restart", "OtherOutcomes", replay.ConfigFigures, func(o config.Outcome) []config.Outcome {
		calls++
		o.Version.Number += calls
		return []config.Outcome{o}
	})
	expectCounted(t, "spread-late-config", "VersionFalls", replay.FollowFigures, func(ef follow.Effect) []follow.Effect {
		if a, ok := ef.(follow.Apply); ok {
			return []follow.Effect{a, follow.Apply{State: config.NewState()}}
		}
		return []follow.Effect{ef}
	})
	expectCounted(t, "table-replaced-hosts", "SeatConflicts", replay.TableFigures, func(ef member.Effect) []member.Effect {
		if a, ok := ef.(member.Answer); ok {
			a.Seat = 0
			ef = a
		}
		return []member.Effect{ef}
	})
	expectCounted(t, "holder-cut-off", "HeldPastLease", replay.HolderFigures, func(ef member.HolderEffect) []member.HolderEffect {
		if _, ok := ef.(member.SeatChanged); ok {
			return []member.HolderEffect{member.SeatChanged{Seat: engine.SeatHeld}}
		}
		return []member.HolderEffect{ef}
	})
	expectCounted(t, "quorum-restart", "ApplyGaps", replay.QuorumFigures, func(ef quorum.Effect) []quorum.Effect {
		if a, ok := ef.(quorum.Apply); ok && a.Entry.Index%50 == 0 {
			return nil
		}
		return []quorum.Effect{ef}
	})
	votes := 0
	expectCounted(t, "quorum-leader-isolated", "SecondVotes", replay.QuorumFigures, func(ef quorum.Effect) []quorum.Effect {
		if a, ok := ef.(quorum.Append); ok {
			votes++
			a.Hard.Vote = []ident.HostID{"m1", "m2"}[votes%2]
			ef = a
		}
		return []quorum.Effect{ef}
	})
}

// Guards against a trace that was cut off and replays as if it were whole.
func TestCutTraceIsRefused(t *testing.T) {
	is := is.New(t)
	traces, err := filepath.Glob("../../testdata/traces/*.jsonl")
	is.NoErr(err)
	is.True(len(traces) > 0)
	for _, trace := range traces {
		raw, err := os.ReadFile(trace)
		is.NoErr(err)
		lines := bytes.SplitAfter(bytes.TrimSuffix(raw, []byte("\n")), []byte("\n"))
		for _, kept := range []int{len(lines) - 1, len(lines) / 2, 1} {
			_, err := replay.Run(bytes.NewReader(bytes.Join(lines[:kept], nil)))
			var cut *replay.CutError
			if !errors.As(err, &cut) || cut.Lines != kept {
				t.Errorf("%s with %d of %d lines: %v", trace, kept, len(lines), err)
			}
		}
		_, err = replay.Run(bytes.NewReader(raw))
		is.NoErr(err)
	}
}
