package board

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Kind is the role of a host.
type Kind uint8

// Entry hosts serve callers; Control hosts replicate and distribute the state.
const (
	Entry Kind = iota + 1
	Control
)

// Host is one process of the system.
type Host struct {
	ID     ident.HostID
	Kind   Kind
	Domain ident.Domain
	// Link is the address for other hosts, Operator the one for operators.
	Link     string
	Operator string `cbor:",omitempty"`
	// Draining is set on an entry host that is stopping.
	Draining bool `cbor:",omitempty"`
}

// Document is one version of the configuration as the operator sent it.
type Document struct {
	Version rules.Version
	// Packed is the compressed document.
	Packed []byte
}

// List is one reading of the platform's list of upstreams.
type List struct {
	// Digest is equal for readings with equal contents; see ListDigest.
	Digest    uint64
	Upstreams []relay.Upstream
}

// Request is one poll. It states what the polling host already has.
type Request struct {
	From Host
	// Version is the version of its document, Digest the digest of its list, 0 to
	// request a full copy. ListAge is the age of that list in milliseconds.
	Version rules.Version
	Digest  uint64
	ListAge int64 `cbor:",omitempty"`
	// Roster is the digest of its roster, 0 to request a full copy.
	Roster uint64
	// Evacuation is the revision of its set of evacuated domains, 0 to request the
	// set whatever its revision. Hosts of releases without evacuations refuse messages
	// that have this field or those of the reply; both are absent until the first one.
	Evacuation evac.Revision `cbor:",omitempty"`
	// DirectDigest is the digest of the hosts that poll the polling host itself,
	// and DirectHosts lists them unless the last reply confirmed that digest.
	DirectDigest uint64 `cbor:"Here,omitempty"`
	DirectHosts  []Host `cbor:"HereHosts,omitempty"`
	// Follows is set by hosts that normally receive documents through the
	// replicated log. A reply includes a document only if they still lack it after
	// followGrace.
	Follows bool `cbor:",omitempty"`
	// AtOnce requests a reply without waiting for an update.
	AtOnce bool `cbor:",omitempty"`
}

// Reply holds what is newer than the polling host's state.
type Reply struct {
	Document *Document `cbor:",omitempty"`
	// Evacuated is the set of evacuated domains if it is newer than that of the
	// polling host, and EvacuationRevision its revision in any case.
	Evacuated          *evac.Set     `cbor:",omitempty"`
	EvacuationRevision evac.Revision `cbor:",omitempty"`
	// Version is the version of the control host's document. Age is the time in
	// milliseconds since that and EvacuationRevision were known to be the newest,
	// -1 if they never were, and Waited how long the poll waited for this answer.
	Version rules.Version
	Age     int64
	Waited  int64 `cbor:",omitempty"`
	// List is the full list. Otherwise ListDelta is the difference from the
	// polling host's list, and ListDigest the digest of the resulting one.
	List       *List          `cbor:",omitempty"`
	ListDelta  *UpstreamDelta `cbor:",omitempty"`
	ListDigest uint64         `cbor:",omitempty"`
	// ListAge is the age of the control host's list in milliseconds, -1 if it has
	// none.
	ListAge int64
	// Hosts is the full roster, or HostDelta the difference from the polling
	// host's. Roster is the digest of the resulting one, 0 if the control host
	// offers none.
	Hosts     []Host     `cbor:",omitempty"`
	HostDelta *HostDelta `cbor:",omitempty"`
	Roster    uint64     `cbor:",omitempty"`
	// DirectDigest confirms the last Request.DirectDigest that came with its
	// DirectHosts.
	DirectDigest uint64 `cbor:"Here,omitempty"`
	// Leader is the link address of the leader, empty if unknown.
	Leader string
}

func sortHosts(list []Host) {
	slices.SortFunc(list, func(x, y Host) int { return strings.Compare(string(x.ID), string(y.ID)) })
}

func rosterDigest(hosts []Host) uint64 {
	f := fnv.New64a()
	for _, h := range hosts {
		_, _ = f.Write([]byte(string(h.ID) + "|" + h.Link + "|" + string(h.Domain)))
		if h.Draining {
			_, _ = f.Write([]byte("|draining"))
		}
		_, _ = f.Write([]byte("\n"))
	}
	return f.Sum64()
}

// ListDigest returns the digest of a list of upstreams. It ignores Cold, the
// remaining warm-up time, since that changes with each reading.
func ListDigest(ups []relay.Upstream) uint64 {
	f := fnv.New64a()
	for _, u := range ups {
		_, _ = f.Write([]byte(string(u.ID) + "|" + string(u.Service) + "|" + u.Address + "|" + string(u.Domain)))
		state := byte(0)
		if u.Draining {
			state = 1
		}
		_, _ = f.Write([]byte{state, byte(u.Born), byte(u.Born >> 8), byte(u.Born >> 16), byte(u.Born >> 24)})
	}
	return f.Sum64()
}

// ConfirmedAt returns when the document and the evacuated domains of the control host
// were known to be the newest, on the clock of the polling host, which sent its poll at sentAt. It is
// false if that was never known.
func (r *Reply) ConfirmedAt(sentAt ident.Instant) (ident.Instant, bool) {
	if r.Age < 0 {
		return 0, false
	}
	return sentAt.Add(time.Duration(r.Waited-r.Age) * time.Millisecond), true
}

// Evacuations returns what the answer says of the evacuated domains, to a poll that was
// sent at sentAt.
func (r *Reply) Evacuations(sentAt ident.Instant) evac.Answer {
	a := evac.Answer{
		Revision: r.EvacuationRevision,
		Set:      r.Evacuated,
	}
	a.ConfirmedAt, a.Confirmed = r.ConfirmedAt(sentAt)
	return a
}

// ListReadAt returns when the list of the control host was read, in the same way.
func (r *Reply) ListReadAt(sentAt ident.Instant) (ident.Instant, bool) {
	if r.ListAge < 0 {
		return 0, false
	}
	return sentAt.Add(time.Duration(r.Waited-r.ListAge) * time.Millisecond), true
}
