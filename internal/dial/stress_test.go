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

// Guards against the rare interleavings of cancelling, breaking, resizing and
// timing out: an attempt with no event or two, a request that is sent twice,
// Refused for a request that arrived, or more connections than the share.
func TestStress(t *testing.T) {
	const share, attempts, workers = 4, 3000, 16
	var mu sync.Mutex
	arrived := map[ident.AttemptID]int{}
	dice := rand.New(rand.NewPCG(1, 0))
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		s, err := wire.DecodeLeafSearch(req.Body)
		if err != nil {
			return
		}
		mu.Lock()
		arrived[s.Attempt]++
		roll := dice.IntN(20)
		mu.Unlock()
		switch roll {
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
	var sent sync.WaitGroup
	for n := range workers {
		sent.Go(func() {
			roll := rand.New(rand.NewPCG(2, uint64(n)))
			for i := n; i < attempts; i += workers {
				id := ident.AttemptID(i)
				inFlight <- struct{}{}
				r.send(id, time.Duration(roll.IntN(40_000))*time.Microsecond)
				if roll.IntN(4) == 0 {
					r.client.Cancel(id)
				}
				if roll.IntN(50) == 0 {
					r.warm(roll.IntN(share + 1))
				}
				if roll.IntN(100) == 0 {
					r.closeOne(roll)
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
			_, twice := ended[ev.Attempt]
			r.is.True(!twice)                         // one event for each attempt
			r.is.Equal(ev.Answer.Attempt, ev.Attempt) // no answer of another attempt
			ended[ev.Attempt] = "Answered"
		case engine.AttemptFailed:
			_, twice := ended[ev.Attempt]
			r.is.True(!twice) // one event for each attempt
			ended[ev.Attempt] = ev.Kind
		}
	}
	sent.Wait()
	kinds := map[engine.FailKind]int{}
	mu.Lock()
	for id, kind := range ended {
		kinds[kind]++
		r.is.True(arrived[id] <= 1)                           // sent at most once
		r.is.True(kind != engine.Refused || arrived[id] == 0) // Refused did not arrive
	}
	mu.Unlock()
	t.Log(kinds)
	_, most := r.connections()
	r.is.True(most <= share)
	r.is.Equal(r.client.InFlight(), 0)
	r.warm(share)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == share && r.client.Open("u") == share
	})
}

// closeOne closes a random connection at the upstream.
func (r *rig) closeOne(roll *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.accepted); n > 0 {
		go r.accepted[n-1-roll.IntN(min(n, 4))].Close()
	}
}

// Guards against a filing that is sent after its window because a connection
// became free only then.
func TestFilingIsNotSentAfterItsWindow(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	var arrived atomic.Int64
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == wire.PathLeafFile {
			arrived.Add(1)
		} else {
			close(began)
			<-release
		}
		answering(w, req)
	})
	r.warm(1)
	r.send(1, waitLimit)
	<-began
	until := time.Now().Add(20 * time.Millisecond)
	done := make(chan *dial.Failure)
	go func() {
		_, f := r.client.File(context.Background(), "u", []byte(`{"Body":"d"}`), until, "")
		done <- f
	}()
	<-time.After(time.Until(until) + 20*time.Millisecond) // passes while the connection is in use
	close(release)
	f := <-done
	r.is.True(f != nil)
	r.is.Equal(f.Kind, engine.Refused)
	r.is.Equal(arrived.Load(), int64(0))
}
