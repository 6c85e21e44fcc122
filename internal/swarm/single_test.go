package swarm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/swarm"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// singleSetup is a run in which ten accounts send requests to one upstream, each at
// 0.05 of the capacity, the last one more by a factor after two seconds.
func singleSetup(hosts int, factor float64, total time.Duration) swarm.Setup {
	const singles = 96 // a second: six slots for 60 ms, for 0.96 of the time
	setup := swarm.Setup{
		Seed:     1,
		Hosts:    hosts,
		Shards:   4,
		Replicas: 3,
		Domains:  3,
		Slots:    2,
	}
	for i := range 10 {
		f := swarm.Flow{
			Kind:      swarm.Single,
			Account:   ident.Account(fmt.Sprint("account-", i)),
			Work:      60 * time.Millisecond,
			PerSecond: 0.05 * singles,
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

// Guards against an account that takes the capacity of the others by asking for many
// requests to one upstream, of which each host sees few. Before, 163 of 348 requests of
// the others were answered in time with 9 hosts and factor 20, 205 of 361 with 59.
func TestLargeAccountLeavesOthersRequestsToOneUpstream(t *testing.T) {
	t.Parallel()
	const total = 8 * time.Second
	for _, c := range []struct {
		hosts         int
		factor, least float64
	}{
		{9, 1, 0.99},
		{9, 10, 0.8},
		{9, 20, 0.7},
		{59, 1, 0.99},
		{59, 10, 0.8},
		{59, 20, 0.62},
	} {
		out := swarm.Run(singleSetup(c.hosts, c.factor, total), 7*time.Second+total)
		var others swarm.FlowResult
		for i := range 9 {
			others = sum(others, out.Flows[2*i])
		}
		t.Logf("%d hosts, factor %v: others %s; it %s", c.hosts, c.factor, describe(others), describe(out.Flows[18]))
		if float64(others.Timely) < c.least*float64(others.Asked) {
			t.Errorf("%d hosts, factor %v: %d of %d requests of the others were answered in time", c.hosts, c.factor, others.Timely, others.Asked)
		}
		if failed := others.Failed + out.Flows[18].Failed; failed > 0 {
			t.Errorf("%d hosts, factor %v: %d requests failed", c.hosts, c.factor, failed)
		}
	}
}
