package result_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// Guards against a recorder whose memory grows with the length of a run, which
// hides the growth of what it measures.
func TestRecorderDoesNotGrowWithTheRun(t *testing.T) {
	is := is.New(t)
	const length = 10 * time.Minute
	r := result.NewRecorder(length)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var early uint64
	for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
		if at == length/4 {
			early = heap()
		}
		r.Add(result.Sample{
			Intended: at,
			Latency:  time.Duration(1+at%97) * time.Millisecond,
			Outcome:  engine.Done,
		})
	}
	is.True(heap() < early+500_000)
	runtime.KeepAlive(r)
}
