package ctrl_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// BenchmarkReserve measures concurrent reservations of filings at the leader of
// three members that replicate over the link.
func BenchmarkReserve(b *testing.B) {
	g := newGroup(b, 3, nil)
	l, _ := g.leader(-1)
	h := g.hosts[l]
	var n atomic.Uint64
	b.SetParallelism(16)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := n.Add(1)
			a := h.SubmitFiling(b.Context(), ledger.Reserve{
				Request: ident.RequestID(fmt.Sprint("r", i)),
				Host:    "h",
				Attempt: i,
			})
			if a.Kind != proto.FilingApplied {
				b.Fatal(a.Remedy)
			}
		}
	})
}
