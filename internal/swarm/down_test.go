package swarm_test

import (
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/swarm"
)

// Guards against searches that run at most shards and then fail since no upstream of
// the others can be reached, which the hosts know, and against refusals while an answer
// may miss those shards. Before, all searches failed with 8 and 12 shards down. Now those
// fail that try, about once a second at each host, whether the upstreams are back.
func TestSearchesWithoutEnoughShardsAreRefused(t *testing.T) {
	t.Parallel()
	const total = 4 * time.Second
	for _, c := range []struct {
		hosts, helpers, shards, down int
	}{
		{9, 0, 30, 1},
		{9, 0, 30, 8},
		{36, 3, 48, 2},
		{36, 3, 48, 12},
	} {
		setup := loadSetup(1, 0.3, total)
		setup.Hosts, setup.Helpers, setup.Shards = c.hosts, c.helpers, c.shards
		setup.Down = []int{c.down, c.down, c.down}
		out := swarm.Run(setup, time.Second+total)
		all := sum(out.Flows...)
		t.Logf("%v: %s", c, describe(all))
		few := c.down*20 <= c.shards
		if few && (100*all.Timely < 99*all.Asked || 100*all.Refusals > all.Asked) {
			t.Errorf("%v: of %d searches %d were answered in time, %d were refused", c, all.Asked, all.Timely, all.Refusals)
		}
		if !few && 100*all.Failed > 15*all.Asked {
			t.Errorf("%v: %d of %d searches failed", c, all.Failed, all.Asked)
		}
	}
}
