// Package check verifies the answers of a query tier. It knows only the public
// protocol and the documents of package synth, none of the tier's internals.
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

// Kind names the guarantee that an answer violates.
type Kind string

// The kinds of violations.
const (
	MixedVersions  Kind = "MixedVersions"  // documents of more than one index version
	FalseCoverage  Kind = "FalseCoverage"  // stated coverage contradicts the documents or the index
	Duplicate      Kind = "Duplicate"      // a document id occurs more than once
	Foreign        Kind = "Foreign"        // document that no shard has for these terms
	WrongRevision  Kind = "WrongRevision"  // older revision, although an answered shard has a newer one
	WrongCut       Kind = "WrongCut"       // more documents than the limit, or not those with the highest scores
	WrongRequest   Kind = "WrongRequest"   // answer with the request id of another request
	WrongOutcome   Kind = "WrongOutcome"   // outcome contradicts the content
	UnknownVersion Kind = "UnknownVersion" // index version that never existed
	RanTwice       Kind = "RanTwice"       // filing ran more than once
	FalseDone      Kind = "FalseDone"      // filing answered Done did not run
	FalseNotRun    Kind = "FalseNotRun"    // request answered NotRun ran
	LateWork       Kind = "LateWork"       // request to an upstream that has been draining for more than 2 s
	OverLimit      Kind = "OverLimit"      // connection above the connection limit of an upstream
	OverRate       Kind = "OverRate"       // search beyond the limit that an upstream names for all hosts
	CrashedAgain   Kind = "CrashedAgain"   // upstream that a search crashed later than 4 s after the third
)

// Violation is one violated guarantee of one request.
type Violation struct {
	Kind    Kind            `json:"Kind"`
	Request ident.RequestID `json:"Request"`
	Detail  string          `json:"Detail"`
}

// Index lists the shards of an index.
type Index struct {
	Name   ident.Index
	Shards []ident.Shard
}

// Truth is the ground truth of a deployment, against which answers are verified.
type Truth struct {
	// Seed is the seed of the documents, equal to leaf.Config.Seed.
	Seed uint64
	// Indexes lists all indexes with all their shards, independent of placement.
	Indexes []Index
	// Versions lists all index versions that exist at any time of the run; empty
	// accepts any version.
	Versions []ident.IndexVersion
}

// Query is a search as the caller sent it.
type Query struct {
	Request ident.RequestID
	Search  wire.SearchRequest
}

// maxVersionDistance is how far from the index version of the answer classify
// searches for the origin of an unexpected document, beside Truth.Versions.
const maxVersionDistance = 3

// CheckSearch verifies the answer to a search and returns all violations.
func (t *Truth) CheckSearch(query Query, answer wire.SearchAnswer) []Violation {
	r := &searchReview{
		truth:  t,
		query:  query,
		answer: answer,
	}
	if answer.RequestID != query.Request {
		r.add(WrongRequest, "answer carries request id %q", answer.RequestID)
	}
	if answer.Outcome == engine.NotRun {
		r.checkNotRun()
		return r.violations
	}
	r.checkOutcome()
	answered, ok := r.checkCoverage()
	if !ok {
		return r.violations
	}
	if len(answered) == 0 && len(answer.Documents) == 0 {
		return r.violations // version 0 is valid if no shard answered
	}
	if len(t.Versions) > 0 && !slices.Contains(t.Versions, answer.Version) {
		r.add(UnknownVersion, "version %d never existed", answer.Version)
	}
	r.checkDocuments(answered)
	return r.violations
}

// searchReview collects the violations of one answer.
type searchReview struct {
	truth      *Truth
	query      Query
	answer     wire.SearchAnswer
	violations []Violation
}

func (r *searchReview) add(kind Kind, format string, args ...any) {
	r.violations = append(r.violations, Violation{
		Kind:    kind,
		Request: r.query.Request,
		Detail:  fmt.Sprintf(format, args...),
	})
}

func (r *searchReview) checkNotRun() {
	if len(r.answer.Documents) > 0 || r.answer.Coverage.Answered > 0 {
		r.add(WrongOutcome, "NotRun with %d documents and %d shards answered", len(r.answer.Documents), r.answer.Coverage.Answered)
	}
}

func (r *searchReview) checkOutcome() {
	missing := len(r.answer.Coverage.Missing)
	switch r.answer.Outcome {
	case engine.Done:
		if missing > 0 {
			r.add(WrongOutcome, "Done with %d shards missing", missing)
		}
	case engine.Partial:
		if missing == 0 {
			r.add(WrongOutcome, "Partial with no shard missing")
		}
	default:
		r.add(WrongOutcome, "outcome %q is none of a search", r.answer.Outcome)
	}
}

// checkCoverage verifies the coverage and returns the shards that it claims as
// answered. It returns false if the index does not exist.
func (r *searchReview) checkCoverage() ([]ident.Shard, bool) {
	c := r.answer.Coverage
	all, ok := r.truth.shards(r.query.Search.Index)
	if !ok {
		r.add(WrongOutcome, "index %q does not exist, but the answer is %s", r.query.Search.Index, r.answer.Outcome)
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
		r.checkReason(m)
	}
	return answered, true
}

func (r *searchReview) checkReason(m engine.Missing) {
	switch m.Reason {
	case engine.MissingTimedOut, engine.MissingShed, engine.MissingLost, engine.MissingCutOff, engine.MissingVersionGone:
	default:
		r.add(FalseCoverage, "shard %q is missing for the unknown reason %q", m.Shard, m.Reason)
	}
}

func (r *searchReview) checkDocuments(answered []ident.Shard) {
	s := r.query.Search
	want := synth.Merge(r.truth.Seed, answered, r.answer.Version, s.Terms, s.Limit)
	got := slices.Clone(r.answer.Documents)
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
			r.classify(d, answered)
		}
	}
	// Documents of another version or request replace the expected ones. A
	// missing document is therefore reported only without such a violation.
	displaced := slices.ContainsFunc(r.violations, func(v Violation) bool {
		return v.Kind == MixedVersions || v.Kind == Foreign || v.Kind == WrongCut
	})
	for _, d := range want {
		if !displaced && !seen[d.ID] {
			r.add(FalseCoverage, "document %q of the answered shards is missing", d.ID)
		}
	}
}

// classify adds the violation for an unexpected document, according to the
// index version and shard that it comes from.
func (r *searchReview) classify(d engine.Document, answered []ident.Shard) {
	s := r.query.Search
	all, _ := r.truth.shards(s.Index)
	for _, v := range r.candidateVersions() {
		for _, shard := range all {
			if !slices.Contains(synth.Documents(r.truth.Seed, shard, v, s.Terms, 0), d) {
				continue
			}
			switch {
			case v != r.answer.Version:
				r.add(MixedVersions, "document %q is of version %d of %s, the answer claims version %d", d.ID, v, shard, r.answer.Version)
			case !slices.Contains(answered, shard):
				r.add(FalseCoverage, "document %q comes from %s, which the answer does not cover", d.ID, shard)
			default:
				r.classifyExcess(d, answered)
			}
			return
		}
	}
	r.add(Foreign, "document %q belongs to no shard for these terms", d.ID)
}

// classifyExcess adds the violation for an unexpected document of an answered
// shard at the stated version: it is beyond the limit or an older revision.
func (r *searchReview) classifyExcess(d engine.Document, answered []ident.Shard) {
	s := r.query.Search
	merged := synth.Merge(r.truth.Seed, answered, r.answer.Version, s.Terms, 0)
	if slices.Contains(merged, d) {
		r.add(WrongCut, "document %q is not among the best %d", d.ID, s.Limit)
		return
	}
	r.add(WrongRevision, "document %q has revision %d, another answered shard holds a newer one", d.ID, d.Revision)
}

// candidateVersions lists the versions that classify searches: that of the
// answer, its neighbours, then the other versions in Truth.
func (r *searchReview) candidateVersions() []ident.IndexVersion {
	list := []ident.IndexVersion{r.answer.Version}
	for i := ident.IndexVersion(1); i <= maxVersionDistance; i++ {
		list = append(list, r.answer.Version+i)
		if r.answer.Version > i {
			list = append(list, r.answer.Version-i)
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
