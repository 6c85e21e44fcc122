package sample_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/sample"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func listenAddress(config.Upstream) string { return "127.0.0.1:0" }

// Guards against deployments that differ from the size table, put all leaves of
// a service in one domain or distribute the leaves unevenly over the domains.
func TestDeploymentsMatchSizeTable(t *testing.T) {
	for _, c := range []struct {
		got     sample.Deployment
		domains int
		leaves  int
	}{
		{sample.Thesiswell(1, listenAddress), 4, 20*2 + 30*2 + 7 + 4},
		{sample.Hanbit(1, listenAddress), 3, 20*2 + 30*2 + 20 + 10},
		{sample.Thesiswell(0.1, listenAddress), 4, 2*2 + 3*2 + 2 + 2},
		{sample.Hanbit(0.01, listenAddress), 3, 2 + 2 + 2 + 2},
	} {
		is := is.New(t)
		is.Equal(len(c.got.Domains), c.domains)
		is.Equal(len(c.got.Leaves), c.leaves)
		leavesIn := make(map[ident.Service]map[ident.Domain]int)
		total := make(map[ident.Domain]int)
		ids := make(map[ident.Upstream]bool)
		for _, u := range c.got.Upstreams() {
			is.NoErr(u.Check())
			is.True(!ids[u.ID])
			ids[u.ID] = true
			total[u.Domain]++
			if leavesIn[u.Service] == nil {
				leavesIn[u.Service] = make(map[ident.Domain]int)
			}
			leavesIn[u.Service][u.Domain]++
		}
		for _, perDomain := range leavesIn {
			is.True(len(perDomain) >= 2) // the service survives the failure of a domain
			for _, n := range perDomain {
				is.True(n <= len(c.got.Leaves)/len(perDomain)+1)
			}
		}
		for _, n := range total {
			is.True(n*c.domains <= len(c.got.Leaves)+4*c.domains) // at most 4 above the average
		}
	}
}

func ExampleThesiswell() {
	d := sample.Thesiswell(1, func(config.Upstream) string { return "127.0.0.1:0" })
	fmt.Println(d.Name, len(d.Upstreams()), len(d.Shards("review-panel")))
	// Output: amman 111 20
}
