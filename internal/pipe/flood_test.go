package pipe_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/flood"
	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const (
	// closeTimeout is how long the upstream may wait for the connection to close.
	closeTimeout = 2 * time.Second

	// socketBytes allows for what the kernel buffers of one connection.
	socketBytes = 16 << 20

	// halfMemory is half of the memory limit of the smallest entry hosts, 136 MB.
	halfMemory = 68 << 20

	// onTime is the target latency of committee lookups, the most important ones.
	onTime = 120 * time.Millisecond
)

func startFlood(t *testing.T, s flood.Shape) *flood.Upstream {
	t.Helper()
	u, err := flood.Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// Guards against an upstream whose answer does not end: the call would read on
// until its limit or for ever, and keep what it reads.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, shape := range flood.Shapes {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			u, p := startFlood(t, shape), pipe.NewPool()
			o := call(t, p, u.Address(), "i-1", "r-1")
			is.Equal(o.Result, relay.Lost)
			is.True(o.Err != nil)
			is.True(o.Endless)
			is.True(strings.Contains(o.Err.Error(), "does not end"))
			for end := time.Now().Add(closeTimeout); u.Open() > 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // the connection closes
			}
			is.True(u.Sent() < pipe.MaxAnswer+socketBytes)
		})
	}
}

// Guards against 20 upstreams whose answers do not end that take the memory of a
// host or delay its other calls.
func TestManyAnswersWithoutEndLeaveRoom(t *testing.T) {
	for _, shape := range []flood.Shape{flood.Line, flood.Body, flood.Chunks} {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			good := serve(t, func(_, _ int, r *http.Request) string { return ok(r, "records") })
			p := pipe.NewPool()
			var calls sync.WaitGroup
			var peak uint64
			runtime.GC()
			for n := range 20 {
				u := startFlood(t, shape)
				calls.Go(func() { call(t, p, u.Address(), fmt.Sprint("i-", n), fmt.Sprint("r-", n)) })
			}
			flooded := make(chan struct{})
			go func() {
				calls.Wait()
				close(flooded)
			}()
			var late []time.Duration
			for n, more := 0, true; more || n < 20; n++ {
				began := time.Now()
				is.Equal(call(t, p, good, "good", fmt.Sprint("g-", n)).Result, relay.Good)
				if took := time.Since(began); took > onTime {
					late = append(late, took)
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
				select {
				case <-flooded:
					more = false
				default:
				}
			}
			is.Equal(len(late), 0)
			is.True(peak < halfMemory)
		})
	}
}
