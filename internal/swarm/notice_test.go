package swarm_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/swarm"
)

// noticeSetup is a run with upstreams that leave and upstreams that ask for pauses.
// A quarter of the shards may be missing from an answer.
func noticeSetup(hosts int, seed uint64) swarm.Setup {
	return swarm.Setup{
		Seed:          seed,
		Hosts:         hosts,
		Shards:        8,
		PerSecond:     60,
		LeavingShards: 6,
		PausingShards: 2,
		Loss:          0.05,
		Faults:        8,
	}
}

// Guards against hosts that call upstreams which have told them that they leave or
// want a pause, while hosts are cut off and restart and the list shows nothing of
// it, against hosts that are not told, and against callers that get no answer
// although enough shards can be called.
func TestHostsSpareUpstreamsThatLeaveOrPause(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{5, 20, 100, 300} {
		for seed := range uint64(8) {
			out := swarm.Run(noticeSetup(hosts, seed), 25*time.Second)
			t.Logf("hosts %d seed %d: answered %d of %d, refused %d, failed %d, untold %d", hosts, seed, out.Answered, out.Asked, out.Refused, out.Failed, out.Untold)
			for _, v := range out.Violations {
				t.Errorf("hosts %d seed %d: %s", hosts, seed, v)
			}
			if most := out.Asked / 100; out.Asked-out.Answered > most {
				t.Errorf("hosts %d seed %d: %d of %d requests were not answered", hosts, seed, out.Asked-out.Answered, out.Asked)
			}
			if most := out.Asked / 100; out.Untold > most {
				t.Errorf("hosts %d seed %d: leaving upstreams got %d calls of hosts that nobody told", hosts, seed, out.Untold)
			}
		}
	}
}

// Guards against queries that mostly fail after some shards ran, since more shards
// than may be missing want no calls, instead of being refused as not run.
func TestManyPausedShardsAreRefusedNotFailed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		setup := noticeSetup(20, seed)
		setup.LeavingShards, setup.PausingShards, setup.Faults = 0, 5, 0
		out := swarm.Run(setup, 25*time.Second)
		t.Logf("seed %d: answered %d of %d, refused %d, failed %d", seed, out.Answered, out.Asked, out.Refused, out.Failed)
		for _, v := range out.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if out.Failed > out.Refused {
			t.Errorf("seed %d: %d requests failed and %d were refused", seed, out.Failed, out.Refused)
		}
	}
}

// Guards against checks that find nothing.
func TestDeafHostsCallUpstreamsThatLeaveOrPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	leaving, pausing := noticeSetup(20, 1), noticeSetup(20, 1)
	leaving.Deaf, pausing.Deaf = true, true
	leaving.PausingShards, pausing.LeavingShards = 0, 0
	is.True(len(swarm.Run(leaving, 25*time.Second).Violations) > 0)
	is.True(len(swarm.Run(pausing, 25*time.Second).Violations) > 0)
}
