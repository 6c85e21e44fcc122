package leaf_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/wire"
)

// BenchmarkSearch measures one search over an open connection with a service
// time of zero: the overhead of the stand-in in a load run.
func BenchmarkSearch(b *testing.B) {
	r := start(b, func(c *leaf.Config) { c.Upstream.Slots = 64; c.QueueBound = 1_000; c.Upstream.ConnLimit = 1_000 })
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if status, _ := r.post(context.Background(), wire.PathLeafSearch, searchRequest()); status != http.StatusOK {
				b.Errorf("status %d", status)
			}
		}
	})
}
