package swarm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/swarm"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// accountSetup is a run in which ten accounts search at 0.05 of the capacity each, and
// the last one more by a factor after two seconds.
func accountSetup(seed uint64, factor float64, total time.Duration) swarm.Setup {
	setup := loadSetup(seed, 0.1, time.Second)
	setup.Flows = nil
	for i := range 10 {
		f := swarm.Flow{
			Kind:      swarm.Search,
			Account:   ident.Account(fmt.Sprint("account-", i)),
			Work:      7500 * time.Microsecond,
			PerSecond: 0.05 * capacity,
			From:      2 * time.Second,
			Until:     2*time.Second + total,
		}
		calm := f
		calm.From, calm.Until = 0, 2*time.Second
		if i == 9 {
			f.PerSecond *= factor
		}
		setup.Flows = append(setup.Flows, f, calm)
	}
	return setup
}

// Guards against an account that takes the capacity of the others by asking for ten or
// twenty times its share. Without the gate, 2,270 and 574 of 2,786 searches of the others
// were answered in time with 9 hosts, 1,594 and 398 of 2,756 with 36.
func TestLargeAccountLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	const total = 4 * time.Second
	for _, c := range []struct{ hosts, helpers, shards int }{{9, 0, 30}, {36, 3, 48}} {
		for _, factor := range []float64{1, 10, 20} {
			var others swarm.FlowResult
			for seed := range uint64(2) {
				setup := accountSetup(seed, factor, total)
				setup.Hosts, setup.Helpers, setup.Shards = c.hosts, c.helpers, c.shards
				out := swarm.Run(setup, 2*time.Second+total)
				for i := range 9 {
					others = sum(others, out.Flows[2*i])
				}
				t.Logf("%v factor %v seed %d: it %s", c, factor, seed, describe(out.Flows[18]))
			}
			t.Logf("%v factor %v: others %s", c, factor, describe(others))
			if least := 0.87; float64(others.Timely) < least*float64(others.Asked) {
				t.Errorf("%v factor %v: %d of %d searches of the others were answered in time", c, factor, others.Timely, others.Asked)
			}
		}
	}
}
