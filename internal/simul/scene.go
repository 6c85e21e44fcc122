package simul

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Stragglers is the result of StragglerRun for one policy.
type Stragglers struct {
	Policy engine.Policy
	P50    time.Duration
	P99    time.Duration
	// ExtraPercent is the number of hedges and retries per 100 first attempts.
	ExtraPercent float64
	// CoveragePercent is the percentage of shards answered over all queries.
	CoveragePercent float64
	Stats           *Stats
}

// StragglerRun sends 200 Critical queries/s over 20 shards for the given span
// while 1% of the leaf calls take 10 times as long.
func StragglerRun(seed uint64, p engine.Policy, span time.Duration) Stragglers {
	d := New(Setup{
		Seed:        seed,
		Policy:      p,
		Shards:      20,
		Replicas:    2,
		SlowPercent: 1,
		SlowFactor:  10,
	})
	var shardsQueried, shardsAnswered int
	d.OnReply = func(_ ident.Instant, r engine.Reply) {
		shardsQueried += d.Setup.Shards
		shardsAnswered += r.Coverage.Answered
	}
	d.Load(200, span, preset.Critical)
	s := d.Finish()
	return Stragglers{
		Policy:          p,
		P50:             time.Duration(s.Latency[preset.Critical].ValueAtQuantile(50)) * time.Microsecond,
		P99:             s.P99(),
		ExtraPercent:    100 * float64(s.Hedges+s.Retries) / float64(s.Firsts),
		CoveragePercent: 100 * float64(shardsAnswered) / float64(shardsQueried),
		Stats:           s,
	}
}

// Overload is the result of OverloadRun.
type Overload struct {
	Rate float64 // queries/s offered
	// Goodput is the number of complete answers per second.
	Goodput float64
	// CallsPerAnswer is the number of calls per complete or partial answer.
	CallsPerAnswer float64
	CriticalP99    time.Duration
	// CriticalComplete is the share of Critical queries that got a complete
	// answer, from 0 to 1.
	CriticalComplete float64
	Stats            *Stats
}

// OverloadRun sends queries over 20 shards to the given number of hosts, at
// rate queries/s in total. A fifth of them is Critical, two fifths each are
// Standard and Tolerant.
func OverloadRun(seed uint64, p engine.Policy, hosts int, rate float64, span time.Duration) Overload {
	d := New(Setup{
		Seed:        seed,
		Policy:      p,
		Hosts:       hosts,
		Shards:      20,
		Replicas:    2,
		SlowPercent: 1,
		SlowFactor:  10,
	})
	c, s, t := preset.Critical, preset.Standard, preset.Tolerant
	d.Load(50, 10*time.Second, c, s, s, t, t) // hosts learn the usual latencies
	d.Advance(time.Second)
	d.Stats = Stats{}
	d.Load(rate, span, c, s, s, t, t)
	completed := d.Stats.Done
	stats := d.Finish()
	return Overload{
		Rate:             rate,
		Goodput:          float64(completed) / span.Seconds(),
		CallsPerAnswer:   float64(stats.Sends()) / float64(max(1, stats.Done+stats.Partial)),
		CriticalP99:      stats.ClassP99(c),
		CriticalComplete: float64(stats.Class[c].Done) / float64(max(1, stats.Class[c].Queries)),
		Stats:            stats,
	}
}

// Outage is the result of OutageRun.
type Outage struct {
	// CallsPerQuery is the number of calls to the failed service per query sent
	// during the outage.
	CallsPerQuery float64
	// MaxCallsPerQuery is the largest number of calls that one query made for
	// the failed shard.
	MaxCallsPerQuery int
	// Recovery is the time from the return of the service to the arrival of the
	// last query that got no complete answer, 0 if there was none.
	Recovery time.Duration
	// WrongMissing counts answers during the outage that do not name exactly
	// the failed shard as missing. Queries of its last 2 s are not counted,
	// since they may still run at the return.
	WrongMissing int
	Stats        *Stats
}

// OutageRun puts all replicas of one of 20 services into the given mode for
// 10 s.
func OutageRun(seed uint64, p engine.Policy, mode Mode) Outage {
	const span, failedShard = 10 * time.Second, 3
	d := New(Setup{
		Seed:     seed,
		Policy:   p,
		Shards:   20,
		Replicas: 2,
	})
	d.Load(200, 3*time.Second, preset.Critical)
	start := d.Now()
	end := start.Add(span)
	var out Outage
	var lastIncomplete ident.Instant
	queries, calls := 0, map[ident.QueryID]int{}
	totalCalls := 0
	d.OnSend = func(s engine.Send) {
		if s.Shard == ShardName(failedShard) && d.Now() < end {
			calls[s.Query]++
			totalCalls++
			out.MaxCallsPerQuery = max(out.MaxCallsPerQuery, calls[s.Query])
		}
	}
	d.OnReply = func(at ident.Instant, r engine.Reply) {
		delete(calls, r.Query)
		switch {
		case at < start:
		case at < end.Add(-2*time.Second):
			queries++
			m := r.Coverage.Missing
			if r.Outcome != engine.Partial || len(m) != 1 || m[0].Shard != ShardName(failedShard) {
				out.WrongMissing++
			}
		case at < end:
			queries++
		case r.Outcome != engine.Done:
			lastIncomplete = max(lastIncomplete, at)
		}
	}
	d.forEachReplica(failedShard, func(l *Leaf) { l.Mode = mode })
	d.After(span, func() { d.forEachReplica(failedShard, func(l *Leaf) { l.Mode = Up }) })
	d.Load(200, span+8*time.Second, preset.Critical)
	out.Stats = d.Finish()
	out.CallsPerQuery = float64(totalCalls) / float64(max(1, queries))
	if lastIncomplete > end {
		out.Recovery = lastIncomplete.Sub(end)
	}
	return out
}

// forEachReplica calls f for every replica of the numbered shard.
func (d *Driver) forEachReplica(shard int, f func(*Leaf)) {
	n := d.Setup.Replicas
	for _, l := range d.Leaves[shard*n : (shard+1)*n] {
		f(l)
	}
}

// ReplicaFailure is the result of ReplicaFailureRun.
type ReplicaFailure struct {
	// ErrorsEarly counts the replies other than Done to queries that arrived
	// within 2 s of the failure, ErrorsLate those to later queries.
	ErrorsEarly int
	ErrorsLate  int
	LateQueries int // queries that arrived more than 2 s after the failure
	Stats       *Stats
}

// ReplicaFailureRun permanently puts one replica of each of 20 services into
// the given mode while queries of all classes arrive.
func ReplicaFailureRun(seed uint64, p engine.Policy, mode Mode) ReplicaFailure {
	d := New(Setup{
		Seed:     seed,
		Policy:   p,
		Shards:   20,
		Replicas: 2,
	})
	d.Load(200, 2*time.Second, preset.Critical, preset.Standard, preset.Tolerant)
	settledAt := d.Now().Add(2 * time.Second)
	var out ReplicaFailure
	d.OnReply = func(at ident.Instant, r engine.Reply) {
		switch {
		case at >= settledAt:
			out.LateQueries++
			if r.Outcome != engine.Done {
				out.ErrorsLate++
			}
		case r.Outcome != engine.Done:
			out.ErrorsEarly++
		}
	}
	for i := range d.Setup.Shards {
		d.Leaves[i*d.Setup.Replicas+int(d.Rand.IntN(d.Setup.Replicas))].Mode = mode
	}
	d.Load(200, 12*time.Second, preset.Critical, preset.Standard, preset.Tolerant)
	out.Stats = d.Finish()
	return out
}
