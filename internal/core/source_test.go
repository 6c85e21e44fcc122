package core_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/core"
)

// Guards against a host that lost its disk, is still named as the leader by
// another one, and then waits for news from itself.
func TestSourceIsNeverThisHost(t *testing.T) {
	is := is.New(t)
	s := core.Source{
		Own:   "a:1",
		Seeds: []string{"a:1", "b:1"},
	}
	address, _ := s.Target("")
	is.Equal(address, "") // the first seed is this host
	address, finding := s.Target("")
	is.Equal(address, "b:1")
	is.True(finding)
	s.Heard("a:1")
	asked := map[string]bool{}
	for range 4 {
		address, _ = s.Target("")
		asked[address] = true
	}
	is.True(asked["b:1"])
	is.True(!asked["a:1"])
}

// Guards against a host that keeps asking seeds although it knows the leader.
func TestSourceFollowsTheLeader(t *testing.T) {
	is := is.New(t)
	s := core.Source{
		Own:   "a:1",
		Seeds: []string{"b:1"},
	}
	s.Heard("c:1")
	address, finding := s.Target("")
	is.Equal(address, "c:1")
	is.True(!finding)
	address, _ = s.Target("d:1") // the log goes first
	is.Equal(address, "d:1")
	s.Heard("") // no answer
	address, finding = s.Target("")
	is.Equal(address, "b:1")
	is.True(finding)
}
