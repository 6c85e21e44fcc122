package check

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Filing is what a caller knows about one filing that it sent. A caller that
// resends after a lost answer or Unknown can receive more than one outcome.
type Filing struct {
	Request  ident.RequestID
	Outcomes []engine.Outcome
	// Receipt is the receipt of the first Done answer.
	Receipt string
}

// Filings compares the outcomes that callers received with the filings that the
// upstreams ran, and returns the violations. No filing may be in flight.
func Filings(sent []Filing, ran []leaf.FilingRuns) []Violation {
	runs := slices.Clone(ran)
	slices.SortFunc(runs, func(a, b leaf.FilingRuns) int { return cmp.Compare(a.Request, b.Request) })
	var violations []Violation
	add := func(kind Kind, id ident.RequestID, format string, args ...any) {
		violations = append(violations, Violation{
			Kind:    kind,
			Request: id,
			Detail:  fmt.Sprintf(format, args...),
		})
	}
	for _, f := range sent {
		n := countRuns(runs, f.Request)
		done := slices.Contains(f.Outcomes, engine.Done)
		switch {
		case n > 1:
			add(RanTwice, f.Request, "ran %d times", n)
		case n == 0 && done:
			add(FalseDone, f.Request, "was answered Done but no upstream ran it")
		case n > 0 && !done && onlyNotRun(f.Outcomes):
			add(FalseNotRun, f.Request, "was answered NotRun but ran")
		}
	}
	return violations
}

// countRuns sums the runs of a request id over all upstreams. The list is sorted
// by request id.
func countRuns(sorted []leaf.FilingRuns, id ident.RequestID) int {
	i, _ := slices.BinarySearchFunc(sorted, id, func(f leaf.FilingRuns, id ident.RequestID) int { return cmp.Compare(f.Request, id) })
	n := 0
	for ; i < len(sorted) && sorted[i].Request == id; i++ {
		n += sorted[i].Runs
	}
	return n
}

// onlyNotRun reports whether there are outcomes and all are NotRun. A caller whose
// answers were all lost has no outcome, and its filing may have run once.
func onlyNotRun(outcomes []engine.Outcome) bool {
	for _, o := range outcomes {
		if o != engine.NotRun {
			return false
		}
	}
	return len(outcomes) > 0
}
