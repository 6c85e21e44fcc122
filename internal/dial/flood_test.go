package dial_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/flood"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// closeTimeout is how long an upstream may wait for the connection to close.
	closeTimeout = 2 * time.Second

	// socketBytes allows for what the kernel buffers of one connection.
	socketBytes = 16 << 20

	// halfMemory is half of the memory limit of the smallest entry hosts, 136 MB.
	halfMemory = 68 << 20

	// onTime is the target latency of committee lookups, the most important ones.
	onTime = 120 * time.Millisecond
)

// floodRig is a client with one connection to each of some upstreams whose
// answers do not end.
type floodRig struct {
	t      *testing.T
	client *dial.Client
	events chan engine.Event
	floods []*flood.Upstream
}

func newFloodRig(t *testing.T, count int, shape flood.Shape) *floodRig {
	t.Helper()
	r := &floodRig{
		t:      t,
		events: make(chan engine.Event, 1000),
	}
	r.client = dial.New(dial.Config{Emit: func(ev engine.Event) { r.events <- ev }})
	t.Cleanup(r.client.Close)
	for i := range count {
		u, err := flood.Start(shape)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Close)
		r.floods = append(r.floods, u)
		r.client.Warm(engine.Warm{
			Upstream:    r.id(i),
			Address:     u.Address(),
			Connections: 1,
		})
	}
	return r
}

func (r *floodRig) id(i int) ident.Upstream { return ident.Upstream(fmt.Sprint("u", i)) }

func (r *floodRig) next() engine.Event {
	r.t.Helper()
	select {
	case ev := <-r.events:
		return ev
	case <-time.After(waitLimit):
		r.t.Fatal("the call did not end")
	}
	return nil
}

// checkClosed checks that the connections on which an answer has begun close,
// and that little was read from them.
func (r *floodRig) checkClosed(bound int64) {
	is := is.New(r.t)
	r.t.Helper()
	for i, u := range r.floods {
		r.client.Warm(engine.Warm{
			Upstream: r.id(i),
			Address:  u.Address(),
		})
		for end := time.Now().Add(closeTimeout); u.Open() > 0; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end)) // the connection closes
		}
		if u.Sent() > bound+socketBytes {
			r.t.Errorf("%d bytes were sent, more than %d and what sockets hold", u.Sent(), bound)
		}
	}
}

// Guards against a search whose upstream sends an answer without end: the host
// would read on, also while it closes the connection.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, shape := range flood.Shapes {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			r := newFloodRig(t, 1, shape)
			r.client.Send(engine.Send{
				Attempt:   1,
				Request:   "r",
				Upstream:  r.id(0),
				Shard:     "s",
				Version:   1,
				Remaining: time.Second,
			}, "", nil)
			failed, ok := r.next().(engine.AttemptFailed)
			is.True(ok)
			is.True(failed.Kind != engine.Refused) // it may have run
			r.checkClosed(wire.MaxAnswerBytes)
		})
	}
}

// Guards against a health check that reads an answer without end.
func TestHealthReportWithoutEndIsCutOff(t *testing.T) {
	for _, shape := range flood.Shapes {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			r := newFloodRig(t, 1, shape)
			r.client.Probe(engine.Probe{Upstream: r.id(0)})
			_, ok := r.next().(engine.ProbeFailed)
			is.True(ok)
			r.checkClosed(wire.MaxHealthBytes)
		})
	}
}

// Guards against 20 upstreams whose answers do not end that take the memory of a
// host or delay its other calls.
func TestTwentyAnswersWithoutEndLeaveRoom(t *testing.T) {
	is := is.New(t)
	good := newRig(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	good.warm(1)
	r := newFloodRig(t, 20, flood.Body)
	runtime.GC()
	for i := range r.floods {
		r.client.Send(engine.Send{
			Attempt:   ident.AttemptID(i + 1),
			Request:   "r",
			Upstream:  r.id(i),
			Shard:     "s",
			Version:   1,
			Remaining: time.Second,
		}, "", nil)
	}
	var peak uint64
	for n, ended := 1, 0; ended < len(r.floods); n++ {
		began := time.Now()
		good.send(ident.AttemptID(n), time.Second)
		<-good.events
		is.True(time.Since(began) < onTime)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		for more := true; more; {
			select {
			case <-r.events:
				ended++
			default:
				more = false
			}
		}
	}
	if peak >= halfMemory {
		t.Errorf("peak of the heap %d bytes, allowed %d", peak, halfMemory)
	}
	r.checkClosed(wire.MaxAnswerBytes)
}
