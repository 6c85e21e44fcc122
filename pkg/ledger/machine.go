package ledger

import (
	"container/list"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Filing is the record of one filing.
type Filing struct {
	Request  ident.RequestID `json:"Request"`
	BodyHash BodyHash        `json:"BodyHash"`
	Status   Status          `json:"Status"`
	// Fence, Host, Attempt and ReservedAt belong to the last reservation.
	Fence      uint64       `json:"Fence"`
	Host       ident.HostID `json:"Host"`
	Attempt    uint64       `json:"Attempt"`
	ReservedAt Stamp        `json:"ReservedAt"`
	// EndedAt is when the filing became Done or NotRun; zero before.
	EndedAt Stamp  `json:"EndedAt,omitempty"`
	Receipt string `json:"Receipt,omitempty"`
}

// Snapshot is the full state of a machine. Filings of the same status are in
// the order in which they reached it.
type Snapshot struct {
	Clock   Stamp    `json:"Clock"`
	Fence   uint64   `json:"Fence"`
	Filings []Filing `json:"Filings"`
}

// Machine is the state machine of one ledger group. It is not safe for
// concurrent use.
type Machine struct {
	limit int // number of filings
	// clock is the highest stamp of all commands that were run.
	clock Stamp
	// fence is the last fence granted. It only rises, so fences of a group are
	// never used twice.
	fence uint64
	byID  map[ident.RequestID]*entry
	// byStatus lists the filings of each status in the order in which they
	// reached it.
	byStatus map[Status]*list.List
}

type entry struct {
	Filing
	elem *list.Element // position in the list of its status
}

var statuses = [...]Status{Reserved, Unknown, Done, NotRun}

// NewMachine returns an empty machine that keeps at most limit filings; zero
// means MaxFilings.
func NewMachine(limit int) *Machine {
	if limit <= 0 {
		limit = MaxFilings
	}
	m := &Machine{
		limit:    limit,
		byID:     make(map[ident.RequestID]*entry),
		byStatus: make(map[Status]*list.List, len(statuses)),
	}
	for _, s := range statuses {
		m.byStatus[s] = list.New()
	}
	return m
}

// GroupOf returns the number, from 0 to groups-1, of the ledger group that is
// responsible for a request id.
func GroupOf(id ident.RequestID, groups int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(groups, 1)))
}

// Clock returns the highest stamp of all commands that were run.
func (m *Machine) Clock() Stamp { return m.clock }

// Run applies one command and returns its result.
func (m *Machine) Run(c Command) Result {
	switch c := c.(type) {
	case Reserve:
		m.advance(c.At)
		return m.reserve(c)
	case Complete:
		m.advance(c.At)
		return m.complete(c)
	case Release:
		m.advance(c.At)
		return m.release(c)
	case Expire:
		m.advance(c.At)
		return Result{Kind: Applied}
	case Resolve:
		m.advance(c.At)
		return m.resolve(c)
	default:
		return refused("the command is not known: update this host")
	}
}

// advance raises the clock to at, turns overdue reservations into Unknown and
// deletes finished filings whose retention has passed. A stamp below the clock
// changes nothing, so the time of the ledger never goes back after a change of
// leader.
func (m *Machine) advance(at Stamp) {
	m.clock = max(m.clock, at)
	for e := m.oldest(Reserved); e != nil && m.age(e.ReservedAt) >= unknownAfter; e = m.oldest(Reserved) {
		m.setStatus(e, Unknown)
	}
	for _, s := range []Status{Done, NotRun} {
		for e := m.oldest(s); e != nil && m.age(e.EndedAt) >= retention; e = m.oldest(s) {
			m.remove(e)
		}
	}
}

func (m *Machine) age(at Stamp) time.Duration { return time.Duration(m.clock - at) }

func (m *Machine) reserve(c Reserve) Result {
	if c.Request == "" || len(c.Request) > MaxRequest {
		return refused("the request id is empty or too long: use 1 to 128 bytes")
	}
	e, known := m.byID[c.Request]
	if known && e.BodyHash != c.BodyHash {
		return Result{
			Kind:   BodyDiffers,
			Remedy: "the request id was used with another body: choose a new id for a new filing",
		}
	}
	repeated := known && e.Host == c.Host && e.Attempt == c.Attempt
	switch {
	case known && e.Status == Reserved && repeated:
		return granted(e)
	case known && e.Status == Reserved:
		return Result{
			Kind:   InFlight,
			Remedy: "the filing is being sent: ask again with the same id",
		}
	case known && (e.Status != NotRun || repeated):
		// A duplicate Reserve that arrives after the Release of its attempt gets
		// no second grant, since the sender no longer waits for one. The fence
		// in the result lets a host that never sent the filing release its
		// reservation after it became Unknown.
		r := recorded(e)
		if repeated {
			r.Fence = e.Fence
		}
		return r
	}
	if !known {
		if !m.makeRoom() {
			return Result{
				Kind:   Full,
				Remedy: "the ledger group is full of filings that must be kept: try again later or resolve Unknown filings",
			}
		}
		e = &entry{Filing: Filing{
			Request:  c.Request,
			BodyHash: c.BodyHash,
		}}
		m.byID[c.Request] = e
	}
	m.fence++
	e.Fence, e.Host, e.Attempt, e.ReservedAt = m.fence, c.Host, c.Attempt, m.clock
	e.EndedAt, e.Receipt = 0, ""
	m.setStatus(e, Reserved)
	return granted(e)
}

// makeRoom reports whether a filing can be added. If the group is full, it
// deletes the oldest NotRun filing. That is safe: the filing did not run, and if
// it is reserved again it gets a higher fence.
func (m *Machine) makeRoom() bool {
	if len(m.byID) < m.limit {
		return true
	}
	e := m.oldest(NotRun)
	if e == nil {
		return false
	}
	m.remove(e)
	return true
}

func (m *Machine) complete(c Complete) Result {
	e, ok := m.byID[c.Request]
	switch {
	case !ok || e.Fence != c.Fence:
		return refused("the reservation is not known: resolve the filing by hand")
	case e.Status == Done:
		return Result{Kind: Applied}
	}
	// Done also replaces NotRun, for instance after an operator resolved the
	// filing wrongly: the host knows that the filing ran, and Done prevents a
	// second run.
	e.Receipt = truncate(c.Receipt)
	m.finish(e, Done)
	return Result{Kind: Applied}
}

func (m *Machine) release(c Release) Result {
	e, ok := m.byID[c.Request]
	switch {
	case !ok:
		return Result{Kind: Applied}
	case e.Fence != c.Fence || e.Status == Done:
		return refused("the reservation is over: nothing is left to release")
	case e.Status != NotRun:
		m.finish(e, NotRun)
	}
	return Result{Kind: Applied}
}

func (m *Machine) resolve(c Resolve) Result {
	e, ok := m.byID[c.Request]
	switch {
	case c.Status != Done && c.Status != NotRun:
		return refused("an Unknown filing is resolved to Done or NotRun: name one of them")
	case !ok:
		return refused("the request id is not known: list the Unknown filings")
	case c.Fence != 0 && c.Fence != e.Fence:
		return refused("the filing was reserved again since: list the Unknown filings")
	case e.Status == c.Status:
		return Result{Kind: Applied}
	case e.Status == Reserved:
		return refused("the filing may still be sent: wait until it is listed as Unknown")
	case e.Status != Unknown:
		return Result{
			Kind:    Recorded,
			Status:  e.Status,
			Receipt: e.Receipt,
			Remedy:  "the filing has an outcome: it is not changed",
		}
	}
	e.Receipt = truncate(c.Receipt)
	m.finish(e, c.Status)
	return Result{Kind: Applied}
}

// Find returns the filing with the given id, if there is one.
func (m *Machine) Find(id ident.RequestID) (Filing, bool) {
	e, ok := m.byID[id]
	if !ok {
		return Filing{}, false
	}
	return e.Filing, true
}

// UnknownFiling is a filing without a known outcome, which an operator has to
// resolve.
type UnknownFiling struct {
	Filing Filing `json:"Filing"`
	// Age is the time since the reservation, in nanoseconds.
	Age time.Duration `json:"Age"`
}

// Unresolved returns at most limit filings of status Unknown, the oldest first.
func (m *Machine) Unresolved(limit int) []UnknownFiling {
	var found []UnknownFiling
	for el := m.byStatus[Unknown].Front(); el != nil && len(found) < limit; el = el.Next() {
		e := el.Value.(*entry)
		found = append(found, UnknownFiling{
			Filing: e.Filing,
			Age:    m.age(e.ReservedAt),
		})
	}
	return found
}

// Count returns the number of filings of status s.
func (m *Machine) Count(s Status) int {
	if l, ok := m.byStatus[s]; ok {
		return l.Len()
	}
	return 0
}

// Snapshot returns a copy of the full state.
func (m *Machine) Snapshot() Snapshot {
	s := Snapshot{
		Clock:   m.clock,
		Fence:   m.fence,
		Filings: make([]Filing, 0, len(m.byID)),
	}
	for _, status := range statuses {
		for el := m.byStatus[status].Front(); el != nil; el = el.Next() {
			s.Filings = append(s.Filings, el.Value.(*entry).Filing)
		}
	}
	return s
}

// Restore returns a machine with the state of a snapshot and the given limit of
// filings; see NewMachine. It fails on a snapshot that is inconsistent or was
// written by a newer release.
func Restore(s Snapshot, limit int) (*Machine, error) {
	m := NewMachine(limit)
	m.clock, m.fence = s.Clock, s.Fence
	for _, f := range s.Filings {
		if _, ok := m.byStatus[f.Status]; !ok {
			return nil, errors.Errorf("filing %q has status %q: the snapshot is of a newer release, update this host", f.Request, f.Status)
		}
		if _, ok := m.byID[f.Request]; ok || f.Fence > s.Fence {
			return nil, errors.Errorf("filing %q is in the snapshot twice or has a fence above %d: replace this member", f.Request, s.Fence)
		}
		e := &entry{Filing: f}
		m.byID[f.Request] = e
		m.setStatus(e, f.Status)
	}
	return m, nil
}

// oldest returns the filing that has been in status s the longest, or nil.
func (m *Machine) oldest(s Status) *entry {
	el := m.byStatus[s].Front()
	if el == nil {
		return nil
	}
	return el.Value.(*entry)
}

// setStatus sets the status of e and moves it to the end of the list of s.
func (m *Machine) setStatus(e *entry, s Status) {
	if e.elem != nil {
		m.byStatus[e.Status].Remove(e.elem)
	}
	e.Status = s
	e.elem = m.byStatus[s].PushBack(e)
}

// finish records the outcome s of e, from which its retention counts.
func (m *Machine) finish(e *entry, s Status) {
	e.EndedAt = m.clock
	m.setStatus(e, s)
}

func (m *Machine) remove(e *entry) {
	m.byStatus[e.Status].Remove(e.elem)
	delete(m.byID, e.Request)
}

func granted(e *entry) Result {
	return Result{
		Kind:  Granted,
		Fence: e.Fence,
	}
}

func recorded(e *entry) Result {
	r := Result{
		Kind:    Recorded,
		Status:  e.Status,
		Receipt: e.Receipt,
	}
	switch e.Status {
	case Unknown:
		r.Remedy = "the outcome is unknown: an operator resolves it, do not file it again under another id"
	case NotRun:
		r.Remedy = "the filing did not run: send it again with the same id"
	}
	return r
}

func refused(remedy string) Result {
	return Result{
		Kind:   Refused,
		Remedy: remedy,
	}
}

// truncate shortens a receipt to maxReceipt bytes without splitting a character.
func truncate(receipt string) string {
	if len(receipt) <= maxReceipt {
		return receipt
	}
	return strings.ToValidUTF8(receipt[:maxReceipt], "")
}
