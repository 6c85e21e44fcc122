// Package quorum implements a Raft-like replicated log with a leader and
// majority commit, as a deterministic state machine. Node.Step takes one event
// (time, message, disk result, proposal) and returns effects (send, append,
// apply, reply) for the caller to carry out. A Node has no clock, does no I/O
// and is used by one goroutine.
//
// A message that depends on durable state is deferred until the caller reports
// the disk write with Synced. Elections use pre-vote, a leader without contact
// to a majority steps down (check-quorum), and Node.Lease reports whether local
// reads are current. Members change one at a time; a new one is a learner
// without a vote until it has caught up.
package quorum

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Term is the number of an election period, in which there is at most one
// leader.
type Term uint64

// Index is the position of an entry in the log, counted from 1.
type Index uint64

// Position identifies an entry of the log: no two entries have the same index and term.
type Position struct {
	Index Index
	Term  Term
}

// ProposalID is the caller's handle for one proposal. It is local to the
// process and not replicated.
type ProposalID uint64

// Seq is the sequence number of a disk write, in the order of the requests.
type Seq uint64

// Role is the Raft role of a node in the current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Member is one host of the group.
type Member struct {
	ID      ident.HostID `json:"ID"`
	Address string       `json:"Address"`
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool `json:"Voter"`
	// Replaces names the member to remove once this one has become a voter.
	Replaces ident.HostID `json:"Replaces,omitempty"`
}

// EntryKind is the type of an entry's content.
type EntryKind uint8

// The kinds of entry.
const (
	// Blank is the no-op that a new leader writes to commit the entries of
	// earlier terms.
	Blank EntryKind = iota
	// Command carries data for the state machine.
	Command
	// Membership carries the full member list, which takes effect when the
	// entry is appended.
	Membership
)

// Entry is one entry of the log.
type Entry struct {
	Index   Index
	Term    Term
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// HardState is the term and the vote. It must be durable before a message that
// depends on it is sent.
type HardState struct {
	Term Term
	// Vote is the candidate voted for in Term, or empty.
	Vote ident.HostID
}

// Meta is the log position of a snapshot: the last entry that it covers, and the
// member list at that entry.
type Meta struct {
	Index   Index
	Term    Term
	Members []Member
}

// Snapshot is the state machine's data through Meta.Index.
type Snapshot struct {
	Meta Meta
	Data []byte
}

// Stored is the durable state that a restarting process reads from its disk.
// Entries follow Snapshot.Meta.Index without a gap.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Config holds the settings of a node. Zero durations and sizes mean the
// defaults.
type Config struct {
	ID ident.HostID
	// Seed seeds the random election timeouts. It should differ between the
	// members of a group, so that they do not start elections together.
	Seed uint64
	// ElectionTimeout is the minimum time without contact to a leader before
	// an election. The actual wait is random, one to two times this value.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// BatchBytes limits the entry data of one message.
	BatchBytes int
	// ChunkBytes limits the data of one snapshot message.
	ChunkBytes int
}

func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.BatchBytes == 0 {
		c.BatchBytes = defaultBatchBytes
	}
	if c.ChunkBytes == 0 {
		c.ChunkBytes = defaultChunkBytes
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return errors.New("node has no ID: give the member id of the data folder")
	case c.Heartbeat*3 > c.ElectionTimeout:
		return errors.Errorf("heartbeat %s is over a third of the election timeout %s: lower it", c.Heartbeat, c.ElectionTimeout)
	}
	return nil
}

// Bootstrap returns the snapshot that each initial member of a new group stores
// before its first start. Members and data must be the same on all of them.
func Bootstrap(members []Member, data []byte) Snapshot {
	members = slices.Clone(members)
	for i := range members {
		members[i].Voter = true
	}
	sortMembers(members)
	return Snapshot{
		Meta: Meta{
			Index:   1,
			Term:    1,
			Members: members,
		},
		Data: data,
	}
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func findMember(members []Member, id ident.HostID) (Member, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func countVoters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}
