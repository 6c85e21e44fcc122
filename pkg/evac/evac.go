// Package evac decides which failure domains are evacuated: which get no calls to
// their upstreams because an operator says so. A Set is an immutable value whose
// revision is the position of its last change in the replicated log, so that the newer
// of two sets is known without a clock. A State decides which orders take effect. A Copy is what a host that gets sets from others
// holds. Both are made for a few orders a minute and up to MaxDomains domains.
package evac

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// MaxDomains bounds a set, which hosts keep in memory and send whole. Domains
	// that are not known here count, as their upstreams may be listed later.
	MaxDomains = 256

	// MaxName bounds the name of a domain in bytes, as in the list of upstreams.
	MaxName = 256
)

// ErrFull reports a set that has MaxDomains domains.
var ErrFull = errors.Errorf("%d domains are evacuated, which is the most: withdraw one first", MaxDomains)

// Revision is the position in the replicated log at which a set last changed, on which
// all members agree. A number that each member counts for itself would differ once one
// of them applies the log again. 0 is the empty set of a system in which no evacuation
// has been ordered yet.
type Revision uint64

// Set is the evacuated domains at one revision. It is immutable: changes return
// another set, and sets may share their lists.
type Set struct {
	Revision Revision
	// Domains is sorted.
	Domains []ident.Domain `cbor:",omitempty"`
}

// Start returns the set with an evacuated domain more, by an order at the given position.
// It is the same set if the domain is evacuated already. The error is ErrFull.
func (s Set) Start(d ident.Domain, at Revision) (Set, error) {
	i, found := slices.BinarySearch(s.Domains, d)
	switch {
	case found:
		return s, nil
	case len(s.Domains) >= MaxDomains:
		return s, ErrFull
	}
	return Set{
		Revision: at,
		Domains:  slices.Insert(slices.Clone(s.Domains), i, d),
	}, nil
}

// End returns the set without a domain, by an order at the given position. It is the same
// set if the domain is not evacuated.
func (s Set) End(d ident.Domain, at Revision) Set {
	i, found := slices.BinarySearch(s.Domains, d)
	if !found {
		return s
	}
	return Set{
		Revision: at,
		Domains:  slices.Delete(slices.Clone(s.Domains), i, i+1),
	}
}

// Contains reports whether a domain is evacuated.
func (s Set) Contains(d ident.Domain) bool {
	_, found := slices.BinarySearch(s.Domains, d)
	return found
}

// CheckName returns an error that names the remedy unless d can be the name of a
// domain: 1 to MaxName visible ASCII characters without a slash, which separates the
// parts of a path.
func CheckName(d ident.Domain) error {
	odd := func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }
	switch {
	case d == "":
		return errors.New("no domain is named: add its name to the path")
	case len(d) > MaxName:
		return errors.Errorf("the name of the domain has %d bytes: use at most %d", len(d), MaxName)
	case strings.ContainsFunc(string(d), odd):
		return errors.New("the name of the domain has a space, a slash or a character that is not visible ASCII: use one that the list of upstreams has")
	}
	return nil
}
