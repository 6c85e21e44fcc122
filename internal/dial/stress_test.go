package dial_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Guards against faults in rare interleavings of cancellations, broken
// connections, resizes and time-outs: an attempt with no event or with two, a
// request that is sent twice, Refused for a request that arrived, or more
// connections than the pool size.
func TestStress(t *testing.T) {
	const share, attempts, workers = 4, 3000, 16
	var mu sync.Mutex
	arrived := map[ident.AttemptID]int{}
	upstreamRNG := rand.New(rand.NewPCG(1, 0))
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		s, err := wire.DecodeLeafSearch(req.Body)
		if err != nil {
			return
		}
		mu.Lock()
		arrived[s.Attempt]++
		choice := upstreamRNG.IntN(20)
		mu.Unlock()
		switch choice {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			<-req.Context().Done()
		case 2:
			w.Header().Set("Connection", "close")
			fallthrough
		default:
			_ = wire.Reply(w, http.StatusOK, engine.Answer{Attempt: s.Attempt})
		}
	})
	inFlight := make(chan struct{}, 2*share)
	var senders sync.WaitGroup
	for n := range workers {
		senders.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(n)))
			for i := n; i < attempts; i += workers {
				id := ident.AttemptID(i)
				inFlight <- struct{}{}
				r.send(id, time.Duration(rng.IntN(40_000))*time.Microsecond)
				if rng.IntN(4) == 0 {
					r.client.Cancel(id)
				}
				if rng.IntN(50) == 0 {
					r.warm(rng.IntN(share + 1))
				}
				if rng.IntN(100) == 0 {
					r.closeOne(rng)
				}
			}
		})
	}
	r.warm(share)
	ended := map[ident.AttemptID]engine.FailKind{}
	for range attempts {
		ev := r.event()
		<-inFlight
		switch ev := ev.(type) {
		case engine.AttemptAnswered:
			_, duplicate := ended[ev.Attempt]
			r.is.True(!duplicate)                     // one event for each attempt
			r.is.Equal(ev.Answer.Attempt, ev.Attempt) // not the answer to another attempt
			ended[ev.Attempt] = "Answered"
		case engine.AttemptFailed:
			_, duplicate := ended[ev.Attempt]
			r.is.True(!duplicate) // one event for each attempt
			ended[ev.Attempt] = ev.Kind
		}
	}
	senders.Wait()
	kinds := map[engine.FailKind]int{}
	mu.Lock()
	for id, kind := range ended {
		kinds[kind]++
		r.is.True(arrived[id] <= 1)                           // sent at most once
		r.is.True(kind != engine.Refused || arrived[id] == 0) // Refused did not arrive
	}
	mu.Unlock()
	t.Log(kinds)
	_, peak := r.connections()
	r.is.True(peak <= share)
	r.is.Equal(r.client.InFlight(), 0)
	r.warm(share)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == share && r.client.ConnectionsTo("u") == share
	})
}

// closeOne closes a random recent connection at the upstream.
func (r *rig) closeOne(rng *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.accepted); n > 0 {
		go r.accepted[n-1-rng.IntN(min(n, 4))].Close()
	}
}

// Guards against a filing that is sent after its send window has ended because
// no connection was free earlier.
func TestFilingIsNotSentAfterItsWindow(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	var arrived atomic.Int64
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == wire.PathLeafFile {
			arrived.Add(1)
		} else {
			close(started)
			<-release
		}
		answerRequest(w, req)
	})
	r.warm(1)
	r.send(1, waitLimit)
	<-started
	sendBefore := time.Now().Add(20 * time.Millisecond)
	done := make(chan *dial.Failure)
	go func() {
		_, failure := r.client.File(context.Background(), "u", wire.LeafFile{Body: "d"}, sendBefore, "")
		done <- failure
	}()
	<-time.After(time.Until(sendBefore) + 20*time.Millisecond) // the connection is still in use
	close(release)
	failure := <-done
	r.is.True(failure != nil)
	r.is.Equal(failure.Kind, engine.Refused)
	r.is.Equal(arrived.Load(), int64(0))
}
