package swarm_test

import (
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/swarm"
)

// Guards against a gate that takes the time that hosts with a part of a processor need
// for a lack of upstreams, and refuses searches at light load.
func TestSlowHostsDoNotCloseTheGate(t *testing.T) {
	t.Parallel()
	const total = 8 * time.Second
	for _, c := range []struct {
		hosts, helpers, shards int
		delay                  time.Duration
	}{
		{9, 0, 30, 5 * time.Millisecond},
		{36, 3, 48, 5 * time.Millisecond},
		{108, 5, 90, 5 * time.Millisecond},
	} {
		for _, load := range []float64{0.06, 0.16, 0.3} {
			setup := loadSetup(1, load, total)
			setup.Hosts, setup.Helpers, setup.Shards = c.hosts, c.helpers, c.shards
			setup.HostDelay = c.delay
			out := swarm.Run(setup, time.Second+total)
			t.Logf("%v load %v: searches %s; urgent %s", c, load, describe(out.Flows[0]), describe(out.Flows[2]))
			if all := sum(out.Flows...); all.Refusals > 0 {
				t.Errorf("%v load %v: %d refusals of %d searches", c, load, all.Refusals, all.Asked)
			}
		}
	}
}
