package swarm_test

import (
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/swarm"
)

// Guards against a gate that refuses searches on calm days, or because upstreams are
// slow, have crashed, or are down at a shard: none of that is lack of capacity.
func TestBadUpstreamsDoNotCloseTheGate(t *testing.T) {
	t.Parallel()
	const total = 4 * time.Second
	for _, c := range []struct {
		name   string
		change func(*swarm.Setup)
	}{
		{"all well", func(*swarm.Setup) {}},
		{"a tenth is slow", func(s *swarm.Setup) { s.Slow = []swarm.Slowness{{Shards: 9, Factor: 12, Until: time.Hour}} }},
		{"an eighth is slow", func(s *swarm.Setup) {
			s.Slow = []swarm.Slowness{{Shards: 6, Factor: 6, Until: time.Hour}, {Shards: 6, Factor: 6, Until: time.Hour}}
		}},
		{"one domain is down", func(s *swarm.Setup) { s.Down = []int{30} }},
		{"a shard is down", func(s *swarm.Setup) { s.Down = []int{1, 1, 1} }},
	} {
		setup := loadSetup(1, 0.15, total)
		c.change(&setup)
		out := swarm.Run(setup, time.Second+total)
		all := sum(out.Flows...)
		t.Logf("%s: %s", c.name, describe(all))
		if all.Refusals > 0 || 100*all.Timely < 99*all.Asked {
			t.Errorf("%s: of %d searches %d were answered in time and %d were refused", c.name, all.Asked, all.Timely, all.Refusals)
		}
	}
}
