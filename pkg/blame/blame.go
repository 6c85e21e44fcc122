// Package blame remembers which requests crashed upstreams, so that no host sends
// them on once that is certain. A request is known by a hash of what it asks.
// Hosts exchange their evidence; the merge of two records does not depend on
// their order. A Table has no clock and does no I/O; it is not safe for
// concurrent use.
package blame

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// MaxCrashes is the number of crashes after which a request is refused.
	MaxCrashes = 3

	// parallelCrashes is how many crashes of calls that were sent side by side
	// count at most. Another request that ran beside this one may have caused
	// them, so that only the crash of a call sent alone completes MaxCrashes.
	parallelCrashes = 2

	// suspectTime is how long a suspicion holds.
	suspectTime = time.Minute

	// firstRefuseTime is how long a request is refused after MaxCrashes, and
	// refuseTime after each further crash. In between, one call is tried alone.
	// While all upstreams of a service fail, what is asked there looks like it
	// crashed them; such a refusal should not last much longer than the failure.
	firstRefuseTime = time.Minute
	refuseTime      = 10 * time.Minute

	// trustTime is how long a request that was answered is not suspected. What runs
	// beside a request that crashes upstreams loses calls with it, time and again if
	// many callers ask the same; it is answered several times a second then. A
	// request that begins to crash upstreams is refused within 4 s all the same.
	trustTime = 2 * time.Second

	// maxTrusted bounds the answered requests that are remembered.
	maxTrusted = 4096

	// maxIDs bounds the crashes of a record. It exceeds MaxCrashes, as some may not
	// count.
	maxIDs = 8

	// maxRecords bounds the requests that are remembered.
	maxRecords = 1024

	// minFactTime is how long a fact is passed on at least, also one that clears a
	// request.
	minFactTime = time.Second
)

// Topic is the topic of the facts that hosts tell each other about crashes.
const Topic gossip.Topic = 2

// Print identifies a request by what it asks. Two requests with the same Print
// cannot be made on purpose.
type Print [16]byte

// PrintOf returns the Print of a request: the first half of a SHA-256 over its
// parts, each with its length.
func PrintOf(body []byte, parts ...string) Print {
	h := sha256.New()
	var n [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	for _, p := range parts {
		write([]byte(p))
	}
	write(body)
	return Print(h.Sum(nil)[:16])
}

// Verdict is what the evidence against a request allows.
type Verdict uint8

// The verdicts.
const (
	// Clean requests are sent as usual.
	Clean Verdict = iota
	// Suspect requests are sent to one upstream at a time until one answers.
	Suspect
	// Refused requests are not sent.
	Refused
)

// Record is the evidence against one request. A request that was answered is
// cleared: its record then has the next Epoch and no crashes.
type Record struct {
	Epoch uint32
	// Crashes are ids of crashes in ascending order, at most maxIDs.
	Crashes []uint64
	// At is when the last crash, or the answer, became known to any host.
	At ident.Instant
	// Shared is set if other hosts have the record.
	Shared bool
}

// Table holds the records of one host.
type Table struct {
	records map[Print]*Record
	// trusted is when a request was last answered; recent lists them by age, as a
	// ring.
	trusted map[Print]ident.Instant
	recent  []Print
	oldest  int
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		records: make(map[Print]*Record),
		trusted: make(map[Print]ident.Instant),
	}
}

// Trusts reports whether a request was answered recently.
func (t *Table) Trusts(now ident.Instant, p Print) bool {
	at, ok := t.trusted[p]
	return ok && now.Sub(at) < trustTime
}

func (t *Table) trust(now ident.Instant, p Print) {
	if _, ok := t.trusted[p]; !ok {
		if len(t.recent) < maxTrusted {
			t.recent = append(t.recent, p)
		} else {
			delete(t.trusted, t.recent[t.oldest])
			t.recent[t.oldest] = p
			t.oldest = (t.oldest + 1) % maxTrusted
		}
	}
	t.trusted[p] = now
}

// CrashID returns the id of a crash under one of the calls that were sent side by
// side for the request with the given id. All hosts that call upstreams for the
// request use the same parallelCrashes ids.
func CrashID(id ident.RequestID, number int) uint64 {
	d := xxhash.NewWithSeed(uint64(number % parallelCrashes))
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// AloneCrashID returns the id of a crash under a call that was sent alone to an
// upstream. Two requests that were sent alone to the same upstream, by different
// hosts, get the same id if as many crashes are held against both.
func (t *Table) AloneCrashID(p Print, upstream uint64) uint64 {
	d := xxhash.NewWithSeed(upstream)
	_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(t.held(p))))
	return d.Sum64()
}

// Verdict returns the verdict on a request.
func (t *Table) Verdict(now ident.Instant, p Print) Verdict {
	r, crashes := t.records[p], t.Crashes(p)
	switch {
	case crashes == 0 || t.Trusts(now, p):
		return Clean
	case crashes < MaxCrashes && now.Sub(r.At) > suspectTime || now.Sub(r.At) > 2*refuseTime:
		return Clean
	case crashes < MaxCrashes || now.Sub(r.At) > r.refuseTime():
		return Suspect
	}
	return Refused
}

// Crashes returns the number of crashes that count against a request, at most
// MaxCrashes. A crash that is held against two requests may be due to the other
// one, so that the first such crash does not count. Further ones do, as several
// requests may crash the same upstreams.
func (t *Table) Crashes(p Print) int {
	r := t.records[p]
	if r == nil || len(r.Crashes) < MaxCrashes {
		return t.held(p)
	}
	n := len(r.Crashes)
	if slices.ContainsFunc(r.Crashes, func(c uint64) bool { return t.heldAgainstAnother(p, c) }) {
		n--
	}
	return min(n, MaxCrashes)
}

func (t *Table) held(p Print) int {
	if r := t.records[p]; r != nil {
		return len(r.Crashes)
	}
	return 0
}

func (t *Table) heldAgainstAnother(p Print, crash uint64) bool {
	for other, r := range t.records {
		if other != p && slices.Contains(r.Crashes, crash) {
			return true
		}
	}
	return false
}

// Len returns the number of requests that are remembered.
func (t *Table) Len() int { return len(t.records) }

// Blame records crashes under a request, unless it is trusted.
func (t *Table) Blame(now ident.Instant, p Print, ids ...uint64) {
	if t.Trusts(now, p) {
		return
	}
	r := Record{
		Crashes: ids,
		At:      now,
	}
	if old := t.records[p]; old != nil {
		r.Epoch = old.Epoch
	}
	t.merge(now, p, r)
}

// Clear records that an upstream has answered a request, and returns its new
// record. It reports false if nothing was held against the request.
func (t *Table) Clear(now ident.Instant, p Print) (Record, bool) {
	t.trust(now, p)
	r := t.records[p]
	if r == nil || len(r.Crashes) == 0 {
		return Record{}, false
	}
	*r = Record{
		Epoch:  r.Epoch + 1,
		At:     now,
		Shared: r.Shared,
	}
	return *r, true
}

// Fact returns what other hosts should know of a request.
func (t *Table) Fact(now ident.Instant, p Print) (gossip.Fact, bool) {
	r := t.records[p]
	if r == nil {
		return gossip.Fact{}, false
	}
	r.Shared = true
	return gossip.Fact{
		ID: gossip.ID{
			Topic: Topic,
			Key:   p,
		},
		At:    r.At,
		Until: max(r.until(), now.Add(minFactTime)),
		Body:  r.encode(),

		Urgent: t.Crashes(p) >= MaxCrashes,
	}, true
}

// Learn adds what another host told. It reports whether that is new, and what to
// pass on. A request that is trusted here is cleared for the others as well.
func (t *Table) Learn(now ident.Instant, f gossip.Fact) (pass gossip.Fact, isNew bool) {
	p := Print(f.Key)
	r, ok := decodeRecord(f.Body, min(f.At, now))
	if !ok || !t.merge(now, p, r) {
		return gossip.Fact{}, false
	}
	if t.Trusts(now, p) && t.held(p) > 0 {
		*t.records[p] = Record{
			Epoch: t.records[p].Epoch + 1,
			At:    now,
		}
	}
	return t.Fact(now, p)
}

// merge adds evidence and reports whether it is new.
func (t *Table) merge(now ident.Instant, p Print, other Record) bool {
	r := t.records[p]
	if r == nil {
		if len(other.Crashes) == 0 {
			return false
		}
		if len(t.records) >= maxRecords {
			t.evict(now)
		}
		r = &Record{}
		t.records[p] = r
	}
	if other.Epoch < r.Epoch {
		return false
	}
	merged := Record{
		Epoch:   other.Epoch,
		Crashes: slices.Clone(other.Crashes),
		At:      other.At,
		Shared:  r.Shared,
	}
	if other.Epoch == r.Epoch {
		merged.Crashes = append(merged.Crashes, r.Crashes...)
		merged.At = max(other.At, r.At)
	}
	slices.Sort(merged.Crashes)
	merged.Crashes = slices.Compact(merged.Crashes)
	merged.Crashes = merged.Crashes[:min(len(merged.Crashes), maxIDs)]
	isNew := merged.Epoch > r.Epoch || !slices.Equal(merged.Crashes, r.Crashes)
	*r = merged
	return isNew
}

// evict removes records that hold no longer, or else the oldest of those with
// the fewest crashes.
func (t *Table) evict(now ident.Instant) {
	var first Print
	var least *Record
	for p, r := range t.records {
		if t.Verdict(now, p) == Clean {
			delete(t.records, p)
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(len(r.Crashes), len(least.Crashes)), cmp.Compare(r.At, least.At), slices.Compare(p[:], first[:])) < 0 {
			first, least = p, r
		}
	}
	if len(t.records) >= maxRecords {
		delete(t.records, first)
	}
}

func (r Record) refuseTime() time.Duration {
	if len(r.Crashes) <= MaxCrashes {
		return firstRefuseTime
	}
	return refuseTime
}

// until returns when a record ends.
func (r Record) until() ident.Instant {
	if len(r.Crashes) < MaxCrashes {
		return r.At.Add(suspectTime)
	}
	return r.At.Add(2 * refuseTime)
}

// encode returns the record for other hosts, without At.
func (r Record) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, r.Epoch)
	for _, c := range r.Crashes {
		b = binary.BigEndian.AppendUint64(b, c)
	}
	return b
}

// decodeRecord decodes what encode returned on another host.
func decodeRecord(b []byte, at ident.Instant) (r Record, ok bool) {
	if len(b) < 4 || (len(b)-4)%8 != 0 || len(b) > 4+8*maxIDs {
		return Record{}, false
	}
	r.Epoch, r.At = binary.BigEndian.Uint32(b), at
	for b = b[4:]; len(b) > 0; b = b[8:] {
		r.Crashes = append(r.Crashes, binary.BigEndian.Uint64(b))
	}
	return r, true
}
