package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/jujubethread/jujubethread/internal/fleet"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// The measurements of this file run the real reducers and codecs in isolation at
// several sizes. docs/CAPACITY.md derives from them how costs grow with size.
// They have no bounds.

const (
	scaleChanges    = 50
	scaleQueries    = 400
	scaleHeartbeats = 3
	scaleReserves   = 20_000

	// heartbeatGapMicros is the virtual time between the heartbeats of a round.
	heartbeatGapMicros = 10
)

func scale(_ context.Context, s *sink) error {
	for _, n := range []int{1_000, 10_000, 82_000} {
		if err := scaleConfig(s, n); err != nil {
			return err
		}
	}
	for _, n := range []int{20, 60, 130} {
		scaleEngine(s, n)
	}
	for _, n := range []int{500, 2_000, 4_900} {
		scaleMembers(s, n)
	}
	for _, n := range []int{10_000, 50_000, 200_000} {
		scaleLedger(s, n)
	}
	return nil
}

// scaleConfig measures the heap of a configuration, the time for one change and
// the size of a full copy.
func scaleConfig(s *sink, upstreams int) error {
	before := heapInUse()
	state, err := fleet.State(upstreams)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("Scale.Config%d", upstreams)
	s.unbounded(name+".Heap", float64(heapInUse()-before)/(1<<20), "MiB")
	start := time.Now()
	for i := range scaleChanges {
		name := preset.Ordinary
		if i%2 == 0 {
			name = preset.Peak
		}
		if state, err = state.Apply(config.SwitchPreset{Name: name}); err != nil {
			return err
		}
	}
	s.unbounded(name+".SwitchPreset", micros(time.Since(start), scaleChanges), "us")
	start = time.Now()
	for i := range scaleChanges {
		u := state.Upstreams[i]
		if state, err = state.Apply(config.PlaceShards{
			ID:     u.ID,
			Shards: u.Shards,
		}); err != nil {
			return err
		}
	}
	s.unbounded(name+".PlaceShards", micros(time.Since(start), scaleChanges), "us")
	raw, err := proto.Marshal(state)
	if err != nil {
		return err
	}
	s.unbounded(name+".FullCopy", float64(len(raw)), "bytes")
	runtime.KeepAlive(state)
	return nil
}

// scaleEngine measures the time of the query reducer per attempt, for queries
// without failures.
func scaleEngine(s *sink, shards int) {
	state := config.NewState()
	for i := range shards {
		for r := range 2 {
			state, _ = state.Apply(config.AddUpstream{Upstream: config.Upstream{
				ID:        ident.Upstream(fmt.Sprintf("u-%d-%d", i, r)),
				Address:   "127.0.0.1:1",
				Domain:    "d",
				Index:     "i",
				Service:   ident.Service(fmt.Sprintf("s-%d", i)),
				Shards:    []ident.Shard{ident.Shard(fmt.Sprintf("i/%d", i))},
				Slots:     2,
				ConnLimit: 50,
			}})
		}
	}
	e := engine.NewEngine(engine.Config{
		Host:   "h",
		Domain: "d",
		Seed:   1,
	})
	now := ident.Instant(1)
	e.Step(now, engine.ConfigApplied{State: state})
	e.Step(now, engine.SeatChanged{Seat: engine.SeatHeld})
	for _, u := range state.Upstreams {
		e.Step(now, engine.UpstreamReported{
			Upstream: u.ID,
			Health:   engine.HealthReady,
			Held:     heldShards(u),
		})
	}
	attempts := 0
	start := time.Now()
	for q := range scaleQueries {
		now = now.Add(20 * time.Millisecond)
		effects := e.Step(now, engine.QueryArrived{
			Query:   ident.QueryID(q + 1),
			Request: "r",
			Index:   "i",
		})
		now = now.Add(4 * time.Millisecond)
		for _, effect := range effects {
			if send, ok := effect.(engine.Send); ok {
				attempts++
				e.Step(now, successfulAnswer(send))
			}
		}
	}
	s.unbounded(fmt.Sprintf("Scale.Engine%d.Attempt", shards), micros(time.Since(start), attempts), "us")
}

func heldShards(u config.Upstream) []engine.Held {
	return []engine.Held{{
		Shard:    u.Shards[0],
		Versions: []ident.IndexVersion{1},
	}}
}

func successfulAnswer(send engine.Send) engine.AttemptAnswered {
	return engine.AttemptAnswered{
		Attempt: send.Attempt,
		Answer: engine.Answer{
			Request: send.Request,
			Attempt: send.Attempt,
			Shard:   send.Shard,
			Version: send.Version,
		},
	}
}

// scaleMembers measures the time that the control leader takes for a heartbeat.
func scaleMembers(s *sink, hosts int) {
	t := member.NewTable()
	now := ident.Instant(1)
	t.Step(now, member.LeaderStarted{
		Seats: hosts,
		Fresh: true,
	})
	var elapsed time.Duration
	for round := range scaleHeartbeats {
		start := time.Now()
		for i := range hosts {
			now = now.Add(heartbeatGapMicros * time.Microsecond)
			t.Step(now, member.Beat{
				Call:   uint64(round*hosts + i),
				Host:   ident.HostID(fmt.Sprintf("h%d", i)),
				Domain: ident.Domain(fmt.Sprintf("d%d", i%9)),
				Boot:   1,
				Holds:  round > 0,
				Seat:   i,
			})
		}
		elapsed = time.Since(start)
		now = now.Add(time.Second)
	}
	s.unbounded(fmt.Sprintf("Scale.Members%d.Beat", hosts), micros(elapsed, hosts), "us")
}

// scaleLedger measures the heap of a ledger and the time for a reservation with
// its completion once it contains the given number of filings.
func scaleLedger(s *sink, ids int) {
	before := heapInUse()
	m := ledger.NewMachine(2 * ids)
	at := ledger.Stamp(1)
	reserveAndComplete := func(i int) {
		request := ident.RequestID(fmt.Sprintf("r%d", i))
		at++
		r := m.Run(ledger.Stamped(ledger.Reserve{
			Request: request,
			Host:    "h",
			Attempt: uint64(i),
		}, at))
		m.Run(ledger.Stamped(ledger.Complete{
			Request: request,
			Fence:   r.Fence,
			Receipt: "receipt",
		}, at))
	}
	for i := range ids {
		reserveAndComplete(i)
	}
	name := fmt.Sprintf("Scale.Ledger%d", ids)
	s.unbounded(name+".Heap", float64(heapInUse()-before)/(1<<20), "MiB")
	start := time.Now()
	n := min(scaleReserves, ids)
	for i := range n {
		reserveAndComplete(ids + i)
	}
	s.unbounded(name+".Filing", micros(time.Since(start), n), "us")
	runtime.KeepAlive(m)
}

func heapInUse() uint64 {
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return st.HeapAlloc
}

func micros(d time.Duration, n int) float64 {
	return float64(d.Nanoseconds()) / 1e3 / float64(max(n, 1))
}
