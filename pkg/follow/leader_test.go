package follow_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/follow"
)

// Guards against a host that requests updates from itself: after a disk
// failure, other hosts may still name it as the leader.
func TestLeaderIsNeverThisHost(t *testing.T) {
	is := is.New(t)
	s := follow.LeaderFinder{
		Own:   "a:1",
		Seeds: []string{"a:1", "b:1"},
	}
	address, _ := s.Target("", nil)
	is.Equal(address, "") // the first seed is this host
	address, discovering := s.Target("", nil)
	is.Equal(address, "b:1")
	is.True(discovering)
	s.Answered("b:1", "a:1", true)
	contacted := map[string]bool{}
	for range 4 {
		address, _ = s.Target("", nil)
		contacted[address] = true
	}
	is.True(contacted["b:1"])
	is.True(!contacted["a:1"])
}

// Guards against a host that keeps contacting seeds although it knows the leader.
func TestLeaderIsFollowed(t *testing.T) {
	is := is.New(t)
	s := follow.LeaderFinder{
		Own:   "a:1",
		Seeds: []string{"b:1"},
	}
	s.Answered("b:1", "c:1", true)
	address, discovering := s.Target("", nil)
	is.Equal(address, "c:1")
	is.True(!discovering)
	address, _ = s.Target("d:1", nil) // the log takes precedence
	is.Equal(address, "d:1")
	s.Failed()
	address, discovering = s.Target("", nil)
	is.Equal(address, "b:1")
	is.True(discovering)
}

// Guards against a host that stays with a leader which has lost the lead and
// still answers, such as one cut off from the other members.
func TestFormerLeaderIsLeft(t *testing.T) {
	is := is.New(t)
	s := follow.LeaderFinder{
		Own:   "a:1",
		Seeds: []string{"b:1"},
	}
	s.Answered("b:1", "b:1", true)
	address, discovering := s.Target("", nil)
	is.Equal(address, "b:1")
	is.True(!discovering)
	s.Answered("b:1", "b:1", false)
	_, discovering = s.Target("", nil)
	is.True(discovering)
}

// Guards against a host that finds no leader because all seeds are gone, although
// it knows other control hosts.
func TestLeaderIsFoundWithoutSeeds(t *testing.T) {
	is := is.New(t)
	s := follow.LeaderFinder{
		Own:   "a:1",
		Seeds: []string{"gone:1"},
	}
	contacted := map[string]bool{}
	for range 4 {
		address, _ := s.Target("", []string{"a:1", "c:1"})
		contacted[address] = true
	}
	is.True(contacted["c:1"])
}
