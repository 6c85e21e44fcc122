package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/pkg/roster"
)

func group(ids ...ident.HostID) []quorum.Member {
	var list []quorum.Member
	for _, id := range ids {
		list = append(list, quorum.Member{
			ID:      id,
			Address: string(id) + ":1",
			Voter:   true,
		})
	}
	return list
}

func hosts(ids ...ident.HostID) []roster.Host {
	var list []roster.Host
	for _, id := range ids {
		list = append(list, roster.Host{
			ID:      id,
			Address: string(id) + ":1",
			Domain:  ident.Domain("d-" + id),
		})
	}
	return list
}

func view(at time.Duration) roster.View {
	return roster.View{
		Now:     ident.Instant(at),
		Self:    "a",
		Members: group("a", "b", "c"),
		Reached: map[ident.HostID]bool{"b": true, "c": true},
		Alive:   hosts("a", "b", "c"),
		Voters:  3,
	}
}

func ExamplePlanner_Next() {
	p := roster.NewPlanner()
	p.Next(view(0))
	v := view(10 * time.Second)
	v.Members = group("a", "b")
	v.Alive = hosts("a", "b", "d")
	c, _ := p.Next(v)
	fmt.Println(c.Join, c.Address)
	// Output: d d:1
}

// Guards against a change to a complete group, and against a change by a new
// leader to which the other hosts have not reported yet.
func TestNothingToDo(t *testing.T) {
	is := is.New(t)
	p := roster.NewPlanner()
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		_, due := p.Next(view(at))
		is.True(!due)
	}
	v := view(0)
	v.Members = group("a", "b")
	v.Alive = hosts("a", "b", "d")
	_, due := roster.NewPlanner().Next(v)
	is.True(!due)
}

// Guards against a failed member that is never replaced, and against one that is
// replaced although it was unreachable for a short time only.
func TestLostMemberIsReplaced(t *testing.T) {
	is := is.New(t)
	p := roster.NewPlanner()
	p.Next(view(0))
	v := view(5 * time.Second)
	v.Reached = map[ident.HostID]bool{"b": true}
	v.Alive = hosts("a", "b", "d")
	_, due := p.Next(v)
	is.True(!due)
	v.Now = ident.Instant(5*time.Second + roster.UnreachableTimeout)
	c, due := p.Next(v)
	is.True(due)
	is.Equal(c.Join, ident.HostID("d"))
	is.Equal(c.Old, ident.HostID("c"))
}

// Guards against a group that waits UnreachableTimeout for a member that cannot
// return, since its host restarted with an empty disk.
func TestWipedMemberIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	p := roster.NewPlanner()
	p.Next(view(0))
	v := view(5 * time.Second)
	v.Reached = map[ident.HostID]bool{"b": true}
	v.Alive = append(hosts("a", "b"), roster.Host{
		ID:      "new",
		Address: "c:1",
	})
	c, due := p.Next(v)
	is.True(due)
	is.Equal(c.Join, ident.HostID("new"))
	is.Equal(c.Old, ident.HostID("c"))
}

// Guards against a learner that fails before it can vote and blocks every later
// change.
func TestLostLearnerIsRemoved(t *testing.T) {
	is := is.New(t)
	p := roster.NewPlanner()
	p.Next(view(0))
	v := view(5 * time.Second)
	v.Members = append(v.Members, quorum.Member{
		ID:       "new",
		Address:  "new:1",
		Replaces: "c",
	})
	_, due := p.Next(v)
	is.True(!due)
	v.Now = ident.Instant(5*time.Second + roster.UnreachableTimeout)
	c, due := p.Next(v)
	is.True(due)
	is.Equal(c.Remove, ident.HostID("new"))
}
