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
	address, _ := s.Target("")
	is.Equal(address, "") // the first seed is this host
	address, discovering := s.Target("")
	is.Equal(address, "b:1")
	is.True(discovering)
	s.Answered("a:1")
	contacted := map[string]bool{}
	for range 4 {
		address, _ = s.Target("")
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
	s.Answered("c:1")
	address, discovering := s.Target("")
	is.Equal(address, "c:1")
	is.True(!discovering)
	address, _ = s.Target("d:1") // the log takes precedence
	is.Equal(address, "d:1")
	s.Failed()
	address, discovering = s.Target("")
	is.Equal(address, "b:1")
	is.True(discovering)
}
