package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// Message is sent from one member to another. Loss, duplication and reordering
// do not break safety.
type Message struct {
	From ident.HostID
	To   ident.HostID
	// Term is the sender's term.
	Term Term
	Body Body
}

// Body is the content of a message.
//
//sumtype:decl
type Body interface{ isBody() }

// VoteRequest requests a vote in Message.Term or, if Pre is set (pre-vote), asks
// whether a vote in the term after it would be granted.
type VoteRequest struct {
	Pre       bool
	LastIndex Index
	LastTerm  Term
	// Transfer is set when the leader requested this election. Voters then
	// grant the vote even if they received a heartbeat within the election
	// timeout.
	Transfer bool
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
	Granted bool
	// For is Message.Term of the request that is answered.
	For Term
}

// AppendRequest replicates entries after PrevIndex; without entries it is a
// heartbeat.
type AppendRequest struct {
	PrevIndex Index
	PrevTerm  Term
	Entries   []Entry
	Commit    Index
	// Sent is the leader's time, echoed in the reply.
	Sent ident.Instant
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	OK bool
	// Match is the last index that is durable and equal to the leader's log.
	Match Index
	// Prev and Hint are set when OK is false: the rejected PrevIndex, and the
	// last index at which the logs may match.
	Prev Index
	Hint Index
	Sent ident.Instant
}

// SnapshotRequest carries one chunk of a snapshot.
type SnapshotRequest struct {
	Meta   Meta
	Offset int
	Total  int
	Chunk  []byte
	Sent   ident.Instant
}

// SnapshotReply requests the next chunk.
type SnapshotReply struct {
	Index Index
	// Next is the offset of the chunk that the follower needs.
	Next int
	Sent ident.Instant
}

// TimeoutNow requests that the receiver start an election at once, without
// pre-vote.
type TimeoutNow struct{}

// wellFormed reports whether a correct member could have sent the body. This
// keeps a faulty member from making the node index outside its log.
func wellFormed(b Body) bool {
	switch b := b.(type) {
	case AppendRequest:
		for i, e := range b.Entries {
			if e.Index != b.PrevIndex+1+Index(i) || e.Term == 0 {
				return false
			}
		}
	case SnapshotRequest:
		return b.Meta.Index > 0 && b.Meta.Term > 0 && b.Offset >= 0 && b.Offset+len(b.Chunk) <= b.Total
	case SnapshotReply:
		return b.Next >= 0
	case VoteRequest, VoteReply, AppendReply, TimeoutNow:
	}
	return b != nil
}

func (VoteRequest) isBody()     {}
func (VoteReply) isBody()       {}
func (AppendRequest) isBody()   {}
func (AppendReply) isBody()     {}
func (SnapshotRequest) isBody() {}
func (SnapshotReply) isBody()   {}
func (TimeoutNow) isBody()      {}
