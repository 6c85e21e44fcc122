// Package check verifies answers of a query tier. It works from the public
// protocol and the document function of package synth alone.
package check

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/jujubethread/jujubethread/internal/synth"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Kind says which guarantee an answer breaks.
type Kind string

// The kinds of violations.
const (
	MixedVersions  Kind = "MixedVersions"  // documents of more than one index version
	FalseCoverage  Kind = "FalseCoverage"  // coverage says other than the documents or the index
	Duplicate      Kind = "Duplicate"      // one document id more than once
	Foreign        Kind = "Foreign"        // documents that no shard holds for these terms
	WrongRevision  Kind = "WrongRevision"  // an older revision where a newer one was merged away
	WrongCut       Kind = "WrongCut"       // more documents than the limit, or not the best ones
	WrongRequest   Kind = "WrongRequest"   // request id not echoed
	WrongOutcome   Kind = "WrongOutcome"   // outcome and content disagree
	UnknownVersion Kind = "UnknownVersion" // a version that never existed
	RanTwice       Kind = "RanTwice"       // a filing that ran more than once
	FalseDone      Kind = "FalseDone"      // a filing answered Done that did not run
	FalseNotRun    Kind = "FalseNotRun"    // a request answered NotRun that ran
	LateWork       Kind = "LateWork"       // work for an upstream that has been leaving for more than 2 s
	OverLimit      Kind = "OverLimit"      // a connection above the limit of an upstream
)

// Violation is one broken guarantee.
type Violation struct {
	Kind    Kind            `json:"Kind"`
	Request ident.RequestID `json:"Request"`
	Detail  string          `json:"Detail"`
}

// Index names the shards of an index.
type Index struct {
	Name   ident.Index
	Shards []ident.Shard
}

// Truth is what a deployment must answer from.
type Truth struct {
	// Seed is the seed of the documents.
	Seed uint64
	// Indexes lists all shards, whichever upstream holds them.
	Indexes []Index
	// Versions lists all index versions that exist at some time of the run;
	// empty means any.
	Versions []ident.IndexVersion
}

// Asked is a search as the caller sent it.
type Asked struct {
	Request ident.RequestID
	Search  wire.SearchRequest
}

// nearVersions are tried around the version of an answer to find out where a
// wrong document comes from.
const nearVersions = 3

// Search returns all violations of an answer.
func (t *Truth) Search(asked Asked, got wire.SearchAnswer) []Violation {
	r := &review{
		truth: t,
		asked: asked,
		got:   got,
	}
	if got.RequestID != asked.Request {
		r.add(WrongRequest, "answer carries request id %q", got.RequestID)
	}
	if got.Outcome == engine.NotRun {
		r.notRun()
		return r.found
	}
	r.outcome()
	answered, ok := r.coverage()
	if !ok {
		return r.found
	}
	if len(answered) == 0 && len(got.Documents) == 0 {
		return r.found // version 0 is right when no shard answered
	}
	if len(t.Versions) > 0 && !slices.Contains(t.Versions, got.Version) {
		r.add(UnknownVersion, "version %d never existed", got.Version)
	}
	r.documents(answered)
	return r.found
}

// review collects the violations of one answer.
type review struct {
	truth *Truth
	asked Asked
	got   wire.SearchAnswer
	found []Violation
}

func (r *review) add(kind Kind, format string, args ...any) {
	r.found = append(r.found, Violation{
		Kind:    kind,
		Request: r.asked.Request,
		Detail:  fmt.Sprintf(format, args...),
	})
}

func (r *review) notRun() {
	if len(r.got.Documents) > 0 || r.got.Coverage.Answered > 0 {
		r.add(WrongOutcome, "NotRun with %d documents and %d shards answered", len(r.got.Documents), r.got.Coverage.Answered)
	}
}

func (r *review) outcome() {
	missing := len(r.got.Coverage.Missing)
	switch r.got.Outcome {
	case engine.Done:
		if missing > 0 {
			r.add(WrongOutcome, "Done with %d shards missing", missing)
		}
	case engine.Partial:
		if missing == 0 {
			r.add(WrongOutcome, "Partial with no shard missing")
		}
	default:
		r.add(WrongOutcome, "outcome %q is none of a search", r.got.Outcome)
	}
}

// coverage returns the shards that the answer claims to cover.
func (r *review) coverage() ([]ident.Shard, bool) {
	c := r.got.Coverage
	all, ok := r.truth.shards(r.asked.Search.Index)
	if !ok {
		r.add(WrongOutcome, "index %q does not exist, but the answer is %s", r.asked.Search.Index, r.got.Outcome)
		return nil, false
	}
	if c.Asked != len(all) {
		r.add(FalseCoverage, "claims %d shards, the index has %d", c.Asked, len(all))
	}
	if c.Answered+len(c.Missing) != c.Asked {
		r.add(FalseCoverage, "%d answered and %d missing of %d", c.Answered, len(c.Missing), c.Asked)
	}
	answered := slices.Clone(all)
	for _, m := range c.Missing {
		i := slices.Index(answered, m.Shard)
		if i < 0 {
			r.add(FalseCoverage, "missing shard %q is named twice or does not exist", m.Shard)
			continue
		}
		answered = slices.Delete(answered, i, i+1)
		r.reason(m)
	}
	return answered, true
}

func (r *review) reason(m engine.Missing) {
	switch m.Reason {
	case engine.MissingTimedOut, engine.MissingShed, engine.MissingLost, engine.MissingCutOff, engine.MissingVersionGone:
	default:
		r.add(FalseCoverage, "shard %q is missing for the unknown reason %q", m.Shard, m.Reason)
	}
}

func (r *review) documents(answered []ident.Shard) {
	s := r.asked.Search
	want := synth.Merge(r.truth.Seed, answered, r.got.Version, s.Terms, s.Limit)
	got := slices.Clone(r.got.Documents)
	synth.Sort(got)
	if slices.Equal(got, want) {
		return
	}
	seen := make(map[string]bool, len(got))
	for _, d := range got {
		if seen[d.ID] {
			r.add(Duplicate, "document %q is in the answer more than once", d.ID)
		}
		seen[d.ID] = true
		if !slices.Contains(want, d) {
			r.explain(d, answered)
		}
	}
	// Documents of another version or request stand in the place of the right
	// ones, so a gap is reported by itself only if nothing else is wrong.
	displaced := slices.ContainsFunc(r.found, func(v Violation) bool {
		return v.Kind == MixedVersions || v.Kind == Foreign || v.Kind == WrongCut
	})
	for _, d := range want {
		if !displaced && !seen[d.ID] {
			r.add(FalseCoverage, "document %q of the answered shards is missing", d.ID)
		}
	}
}

// explain finds out where a document that does not belong comes from.
func (r *review) explain(d engine.Document, answered []ident.Shard) {
	s := r.asked.Search
	all, _ := r.truth.shards(s.Index)
	for _, v := range r.candidates() {
		for _, shard := range all {
			if !slices.Contains(synth.Documents(r.truth.Seed, shard, v, s.Terms, 0), d) {
				continue
			}
			switch {
			case v != r.got.Version:
				r.add(MixedVersions, "document %q is of version %d of %s, the answer claims version %d", d.ID, v, shard, r.got.Version)
			case !slices.Contains(answered, shard):
				r.add(FalseCoverage, "document %q comes from %s, which the answer does not cover", d.ID, shard)
			default:
				r.misplaced(d, answered)
			}
			return
		}
	}
	r.add(Foreign, "document %q belongs to no shard for these terms", d.ID)
}

// misplaced tells why a right document of a right shard does not belong.
func (r *review) misplaced(d engine.Document, answered []ident.Shard) {
	s := r.asked.Search
	whole := synth.Merge(r.truth.Seed, answered, r.got.Version, s.Terms, 0)
	if slices.Contains(whole, d) {
		r.add(WrongCut, "document %q is not among the best %d", d.ID, s.Limit)
		return
	}
	r.add(WrongRevision, "document %q has revision %d, another answered shard holds a newer one", d.ID, d.Revision)
}

// candidates lists versions, the one of the answer first.
func (r *review) candidates() []ident.IndexVersion {
	list := []ident.IndexVersion{r.got.Version}
	for i := ident.IndexVersion(1); i <= nearVersions; i++ {
		list = append(list, r.got.Version+i)
		if r.got.Version > i {
			list = append(list, r.got.Version-i)
		}
	}
	for _, v := range r.truth.Versions {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

func (t *Truth) shards(name ident.Index) ([]ident.Shard, bool) {
	for _, i := range t.Indexes {
		if i.Name == name {
			return i.Shards, true
		}
	}
	return nil, false
}

// Count is the number of violations of a kind.
type Count struct {
	Kind  Kind `json:"Kind"`
	Count int  `json:"Count"`
}

// Tally counts violations by kind, sorted by kind.
func Tally(list []Violation) []Count {
	var counts []Count
	for _, v := range list {
		i, found := slices.BinarySearchFunc(counts, v.Kind, func(c Count, k Kind) int { return cmp.Compare(c.Kind, k) })
		if !found {
			counts = slices.Insert(counts, i, Count{Kind: v.Kind})
		}
		counts[i].Count++
	}
	return counts
}
