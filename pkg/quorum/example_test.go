package quorum_test

import (
	"fmt"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Three members in one process elect a leader and commit a command. The loop
// simulates the network and the disk: messages arrive at once, and writes are
// reported as synced as soon as they are requested.
func Example() {
	members := []quorum.Member{
		{ID: "a", Address: "10.0.0.1:7000"},
		{ID: "b", Address: "10.0.0.2:7000"},
		{ID: "c", Address: "10.0.0.3:7000"},
	}
	nodes := map[ident.HostID]*quorum.Node{}
	for i, m := range members {
		node, err := quorum.New(quorum.Config{
			ID:   m.ID,
			Seed: uint64(i),
		}, quorum.Stored{Snapshot: quorum.Bootstrap(members, nil)}, 0)
		if err != nil {
			fmt.Println(err)
			return
		}
		nodes[m.ID] = node
	}
	var now ident.Instant
	applied := map[string]int{}
	var run func(id ident.HostID, ev quorum.Event)
	run = func(id ident.HostID, ev quorum.Event) {
		for _, effect := range nodes[id].Step(ev) {
			switch e := effect.(type) {
			case quorum.Send:
				run(e.Message.To, quorum.Receive{Now: now, Message: e.Message})
			case quorum.Append:
				run(id, quorum.Synced{Now: now, Seq: e.Seq})
			case quorum.Apply:
				if e.Entry.Kind == quorum.Command {
					applied[string(e.Entry.Data)]++
				}
			case quorum.SaveSnapshot, quorum.Restore, quorum.Reply:
				// Not needed while all members start together and stay up.
			}
		}
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for _, m := range members {
			run(m.ID, quorum.Tick{Now: now})
		}
	}
	for _, m := range members {
		if nodes[m.ID].Lease(now) {
			run(m.ID, quorum.Propose{
				Now: now,
				Proposals: []quorum.Proposal{{
					ID:   1,
					Data: []byte("open the gate"),
				}},
			})
		}
	}
	fmt.Println("applied by", applied["open the gate"], "members")
	// Output: applied by 3 members
}
