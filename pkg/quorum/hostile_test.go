package quorum_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

func anyBody(rt *rapid.T) quorum.Body {
	index := rapid.OneOf(rapid.Uint64Range(0, 6), rapid.Uint64())
	i := func() quorum.Index { return quorum.Index(index.Draw(rt, "index")) }
	term := func() quorum.Term { return quorum.Term(rapid.Uint64Range(0, 4).Draw(rt, "term")) }
	size := func() int { return rapid.IntRange(-3, 5).Draw(rt, "size") }
	flag := func() bool { return rapid.Bool().Draw(rt, "flag") }
	switch rapid.IntRange(0, 7).Draw(rt, "body") {
	case 0:
		return quorum.VoteRequest{Pre: flag(), LastIndex: i(), LastTerm: term(), Transfer: flag()}
	case 1:
		return quorum.VoteReply{Pre: flag(), Granted: flag(), For: term()}
	case 2, 3:
		a := quorum.AppendRequest{PrevIndex: i(), PrevTerm: term(), Commit: i()}
		for n := range rapid.IntRange(0, 3).Draw(rt, "entries") {
			e := quorum.Entry{Index: a.PrevIndex + 1 + quorum.Index(n), Term: term()}
			if rapid.IntRange(0, 9).Draw(rt, "odd") == 0 {
				e.Index = i()
			}
			a.Entries = append(a.Entries, e)
		}
		return a
	case 4:
		return quorum.AppendReply{OK: flag(), Match: i(), Prev: i(), Hint: i()}
	case 5:
		return quorum.SnapshotRequest{Meta: quorum.Meta{Index: i(), Term: term()}, Offset: size(), Total: size(), Chunk: make([]byte, rapid.IntRange(0, 4).Draw(rt, "chunk"))}
	case 6:
		return quorum.SnapshotReply{Index: i(), Next: size()}
	}
	return quorum.TimeoutNow{}
}

// Guards against a panic on messages that only a faulty member would send, such
// as indexes outside the log or entries out of order.
func TestAnyMessageIsHandled(t *testing.T) {
	members := []quorum.Member{{ID: "a", Address: "sim"}, {ID: "b", Address: "sim"}, {ID: "c", Address: "sim"}}
	rapid.Check(t, func(rt *rapid.T) {
		n, err := quorum.New(quorum.Config{ID: "a"}, quorum.Stored{Snapshot: quorum.Bootstrap(members, nil)}, 0)
		if err != nil {
			rt.Fatal(err)
		}
		var now ident.Instant
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "wait")) * time.Millisecond)
			n.Step(quorum.Tick{Now: now})
			n.Step(quorum.Receive{
				Now: now,
				Message: quorum.Message{
					From: rapid.SampledFrom([]ident.HostID{"b", "c", "x"}).Draw(rt, "from"),
					To:   "a",
					Term: quorum.Term(rapid.Uint64Range(0, 6).Draw(rt, "message term")),
					Body: anyBody(rt),
				},
			})
			n.Step(quorum.Synced{Now: now, Seq: quorum.Seq(rapid.IntRange(0, 9).Draw(rt, "seq"))})
			n.Step(quorum.Propose{Now: now, Proposals: []quorum.Proposal{{ID: 1}}})
			n.Status(now)
			n.Meta()
		}
	})
}
