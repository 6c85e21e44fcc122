package sample_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/sample"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func place(config.Upstream) string { return "127.0.0.1:0" }

// Guards against shapes that leave the size table, put both leaves of a
// service in one domain or load the domains unequally.
func TestShapesFollowTheTable(t *testing.T) {
	for _, c := range []struct {
		got     sample.Deployment
		domains int
		leaves  int
	}{
		{sample.Thesiswell(1, place), 4, 20*2 + 30*2 + 7 + 4},
		{sample.Hanbit(1, place), 3, 20*2 + 30*2 + 20 + 10},
		{sample.Thesiswell(0.1, place), 4, 2*2 + 3*2 + 2 + 2},
		{sample.Hanbit(0.01, place), 3, 2 + 2 + 2 + 2},
	} {
		is := is.New(t)
		is.Equal(len(c.got.Domains), c.domains)
		is.Equal(len(c.got.Leaves), c.leaves)
		where := make(map[ident.Service]map[ident.Domain]int)
		load := make(map[ident.Domain]int)
		ids := make(map[ident.Upstream]bool)
		for _, u := range c.got.Upstreams() {
			is.NoErr(u.Check())
			is.True(!ids[u.ID])
			ids[u.ID] = true
			load[u.Domain]++
			if where[u.Service] == nil {
				where[u.Service] = make(map[ident.Domain]int)
			}
			where[u.Service][u.Domain]++
		}
		for _, in := range where {
			is.True(len(in) >= 2) // survives the loss of a domain
			for _, n := range in {
				is.True(n <= len(c.got.Leaves)/len(in)+1)
			}
		}
		for _, n := range load {
			is.True(n*c.domains <= len(c.got.Leaves)+4*c.domains) // at most 4 above the average
		}
	}
}

func ExampleThesiswell() {
	d := sample.Thesiswell(1, func(config.Upstream) string { return "127.0.0.1:0" })
	fmt.Println(d.Name, len(d.Upstreams()), len(d.Shards("review-panel")))
	// Output: amman 111 20
}
