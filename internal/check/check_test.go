package check_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/synth"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var shards = []ident.Shard{"a/1", "a/2", "a/3", "a/4", "a/5", "a/6"}

func truth() *check.Truth {
	return &check.Truth{
		Seed:     5,
		Indexes:  []check.Index{{Name: "a", Shards: shards}},
		Versions: []ident.IndexVersion{3, 4, 9},
	}
}

// correctAnswer returns a search and its correct answer if only the given shards
// answered.
func correctAnswer(terms string, limit int, answered []ident.Shard) (check.Query, wire.SearchAnswer) {
	a := wire.SearchAnswer{
		RequestID: "r-1",
		Outcome:   engine.Done,
		Version:   4,
		Coverage: engine.Coverage{
			Asked:    len(shards),
			Answered: len(answered),
		},
		Documents: synth.Merge(5, answered, 4, terms, limit),
	}
	for _, s := range shards {
		if !slices.Contains(answered, s) {
			a.Outcome = engine.Partial
			a.Coverage.Missing = append(a.Coverage.Missing, engine.Missing{Shard: s, Reason: engine.MissingLost})
		}
	}
	query := check.Query{
		Request: "r-1",
		Search: wire.SearchRequest{
			Index: "a",
			Terms: terms,
			Limit: limit,
		},
	}
	return query, a
}

// Guards against correct answers that are reported as violations.
func TestRightAnswersPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var answered []ident.Shard
		for _, s := range shards {
			if rapid.Bool().Draw(t, "answered") {
				answered = append(answered, s)
			}
		}
		query, got := correctAnswer(rapid.String().Draw(t, "terms"), rapid.IntRange(0, 9).Draw(t, "limit"), answered)
		slices.Reverse(got.Documents) // the order is not guaranteed
		if found := truth().CheckSearch(query, got); len(found) > 0 {
			t.Fatal(found)
		}
	})
}

// sharedTerms are terms for which two shards have the same document id.
const sharedTerms = "candidate 3"

// Guards against wrong answers of any kind that the verifier accepts.
func TestWrongAnswersAreFound(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    check.Kind
		limit   int
		corrupt func(*wire.SearchAnswer)
	}{
		{"one shard of another version", check.MixedVersions, 0, func(a *wire.SearchAnswer) {
			a.Documents = slices.Concat(
				synth.Merge(5, shards[:5], 4, sharedTerms, 0),
				synth.Documents(5, "a/6", 3, sharedTerms, 0))
		}},
		{"all of another version", check.MixedVersions, 0, func(a *wire.SearchAnswer) {
			a.Documents = synth.Merge(5, shards, 9, sharedTerms, 0)
		}},
		{"a claimed shard without documents", check.FalseCoverage, 0, func(a *wire.SearchAnswer) {
			a.Documents = synth.Merge(5, shards[1:], 4, sharedTerms, 0)
		}},
		{"an answered shard listed as missing", check.FalseCoverage, 0, func(a *wire.SearchAnswer) {
			a.Outcome = engine.Partial
			a.Coverage.Answered--
			a.Coverage.Missing = []engine.Missing{{Shard: "a/1", Reason: engine.MissingLost}}
		}},
		{"a shard that does not exist", check.FalseCoverage, 0, func(a *wire.SearchAnswer) {
			a.Outcome = engine.Partial
			a.Coverage.Missing = []engine.Missing{{Shard: "a/7", Reason: engine.MissingLost}}
		}},
		{"fewer shards than the index has", check.FalseCoverage, 0, func(a *wire.SearchAnswer) {
			a.Coverage.Asked--
			a.Coverage.Answered--
		}},
		{"an unknown reason", check.FalseCoverage, 0, func(a *wire.SearchAnswer) {
			*a = partialAnswer()
			a.Coverage.Missing[0].Reason = "Busy"
		}},
		{"a document twice", check.Duplicate, 0, func(a *wire.SearchAnswer) {
			a.Documents = append(a.Documents, a.Documents[0])
		}},
		{"an id at two revisions", check.Duplicate, 0, func(a *wire.SearchAnswer) {
			a.Documents = append(a.Documents, olderRevision(a.Documents))
		}},
		{"an older revision", check.WrongRevision, 0, func(a *wire.SearchAnswer) {
			old := olderRevision(a.Documents)
			i := slices.IndexFunc(a.Documents, func(d engine.Document) bool { return d.ID == old.ID })
			a.Documents[i] = old
		}},
		{"documents of another caller", check.Foreign, 0, func(a *wire.SearchAnswer) {
			a.Documents = synth.Merge(5, shards, 4, "candidate 18", 0)
		}},
		{"a changed body", check.Foreign, 0, func(a *wire.SearchAnswer) { a.Documents[0].Body += " " }},
		{"more than the limit", check.WrongCut, 3, func(a *wire.SearchAnswer) {
			a.Documents = synth.Merge(5, shards, 4, sharedTerms, 4)
		}},
		{"another request id", check.WrongRequest, 0, func(a *wire.SearchAnswer) { a.RequestID = "r-2" }},
		{"no request id", check.WrongRequest, 0, func(a *wire.SearchAnswer) { a.RequestID = "" }},
		{"Partial with full coverage", check.WrongOutcome, 0, func(a *wire.SearchAnswer) { a.Outcome = engine.Partial }},
		{"NotRun with documents", check.WrongOutcome, 0, func(a *wire.SearchAnswer) { a.Outcome = engine.NotRun }},
		{"a version that never existed", check.UnknownVersion, 0, func(a *wire.SearchAnswer) {
			a.Version = 5
			a.Documents = synth.Merge(5, shards, 5, sharedTerms, 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			query, got := correctAnswer(sharedTerms, c.limit, shards)
			c.corrupt(&got)
			found := truth().CheckSearch(query, got)
			if !slices.ContainsFunc(found, func(v check.Violation) bool { return v.Kind == c.want }) {
				t.Fatalf("found %v, want %s", found, c.want)
			}
		})
	}
}

func partialAnswer() wire.SearchAnswer {
	_, a := correctAnswer(sharedTerms, 0, shards[1:])
	return a
}

// olderRevision returns a document revision that merging removes.
func olderRevision(merged []engine.Document) engine.Document {
	for _, s := range shards {
		for _, d := range synth.Documents(5, s, 4, sharedTerms, 0) {
			if !slices.Contains(merged, d) {
				return d
			}
		}
	}
	panic("sharedTerms match no document id of two shards")
}

// Guards against filings that run twice or are answered wrongly without a
// violation, and against lost answers that are reported as violations.
func TestFilings(t *testing.T) {
	is := is.New(t)
	sent := []check.Filing{
		{Request: "twice", Outcomes: []engine.Outcome{engine.Done}},
		{Request: "never", Outcomes: []engine.Outcome{engine.Unknown, engine.Done}},
		{Request: "secretly", Outcomes: []engine.Outcome{engine.NotRun}},
		{Request: "good", Outcomes: []engine.Outcome{engine.Done, engine.Done}},
		{Request: "lost"},
		{Request: "unsure", Outcomes: []engine.Outcome{engine.NotRun, engine.Unknown}},
	}
	ran := []leaf.FilingRuns{
		{Request: "twice", Runs: 1},
		{Request: "good", Runs: 1},
		{Request: "secretly", Runs: 1},
		{Request: "twice", Runs: 1},
		{Request: "lost", Runs: 1},
		{Request: "unsure", Runs: 1},
	}
	is.Equal(check.Tally(check.Filings(sent, ran)), []check.Count{
		{Kind: check.FalseDone, Count: 1},
		{Kind: check.FalseNotRun, Count: 1},
		{Kind: check.RanTwice, Count: 1},
	})
}

// BenchmarkSearch measures the verification of one correct answer from 20 shards.
func BenchmarkSearch(b *testing.B) {
	t := &check.Truth{Seed: 5, Indexes: []check.Index{{Name: "a"}}}
	for i := range 20 {
		t.Indexes[0].Shards = append(t.Indexes[0].Shards, ident.Shard(fmt.Sprintf("a/%d", i)))
	}
	query := check.Query{Request: "r-1", Search: wire.SearchRequest{Index: "a", Terms: sharedTerms}}
	got := wire.SearchAnswer{
		RequestID: "r-1",
		Outcome:   engine.Done,
		Version:   4,
		Coverage:  engine.Coverage{Asked: 20, Answered: 20},
		Documents: synth.Merge(5, t.Indexes[0].Shards, 4, sharedTerms, 0),
	}
	b.ReportAllocs()
	for b.Loop() {
		if found := t.CheckSearch(query, got); len(found) > 0 {
			b.Fatal(found)
		}
	}
}
