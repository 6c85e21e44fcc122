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
	// CoveragePercent is the share of shards answered over all queries.
	CoveragePercent float64
	Stats           *Stats
}

// StragglerRun asks queries over 20 shards while 1% of the leaf calls take 10
// times as long.
func StragglerRun(seed uint64, p engine.Policy, span time.Duration) Stragglers {
	d := New(Setup{
		Seed:        seed,
		Policy:      p,
		Shards:      20,
		Replicas:    2,
		SlowPercent: 1,
		SlowFactor:  10,
	})
	var asked, covered int
	d.Replied = func(_ ident.Instant, r engine.Reply) {
		asked += d.Setup.Shards
		covered += r.Coverage.Answered
	}
	d.Load(200, span, preset.Critical)
	s := d.End()
	return Stragglers{
		Policy:          p,
		P50:             time.Duration(s.Latency[preset.Critical].ValueAtQuantile(50)) * time.Microsecond,
		P99:             s.P99(),
		ExtraPercent:    100 * float64(s.Hedges+s.Retries) / float64(s.Firsts),
		CoveragePercent: 100 * float64(covered) / float64(asked),
		Stats:           s,
	}
}

// Overload is the result of OverloadRun.
type Overload struct {
	Rate float64 // queries/s offered
	// Goodput is the number of whole answers per second.
	Goodput float64
	// CallsPerAnswer is the number of calls per query that was not refused.
	CallsPerAnswer float64
	CriticalP99    time.Duration
	// CriticalWhole is the share of Critical queries that got a whole answer.
	CriticalWhole float64
	Stats         *Stats
}

// OverloadRun offers a rate of queries over 20 shards, a fifth of them
// Critical and two fifths each Standard and Tolerant, to the given number of
// hosts.
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
	d.Load(50, 10*time.Second, c, s, s, t, t) // learn usual latencies
	d.Run(time.Second)
	d.Stats = Stats{}
	d.Load(rate, span, c, s, s, t, t)
	whole := d.Stats.Done
	st := d.End()
	return Overload{
		Rate:           rate,
		Goodput:        float64(whole) / span.Seconds(),
		CallsPerAnswer: float64(st.Sends()) / float64(max(1, st.Done+st.Partial)),
		CriticalP99:    st.ClassP99(c),
		CriticalWhole:  float64(st.Class[c].Done) / float64(max(1, st.Class[c].Asked)),
		Stats:          st,
	}
}

// Outage is the result of OutageRun.
type Outage struct {
	// CallsPerQuery is the number of calls to the lost service per query asked
	// during the outage.
	CallsPerQuery float64
	// WorstCalls is the most calls that one query sent for the lost shard.
	WorstCalls int
	// Recovery is the time from the return of the service to the beginning of
	// the first second in which all answers are whole.
	Recovery time.Duration
	// BadAnswers counts answers during the outage that do not name exactly the
	// lost shard as missing.
	BadAnswers int
	Stats      *Stats
}

// OutageRun loses all replicas of one of 20 services for 10 s.
func OutageRun(seed uint64, p engine.Policy, how Mode) Outage {
	const span, lost = 10 * time.Second, 3
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
	var lastBad ident.Instant
	queries, calls := 0, map[ident.QueryID]int{}
	total := 0
	d.Sent = func(s engine.Send) {
		if s.Shard == ShardName(lost) && d.Now() < end {
			calls[s.Query]++
			total++
			out.WorstCalls = max(out.WorstCalls, calls[s.Query])
		}
	}
	d.Replied = func(at ident.Instant, r engine.Reply) {
		delete(calls, r.Query)
		switch {
		case at < start:
		case at < end.Add(-2*time.Second):
			queries++
			m := r.Coverage.Missing
			if r.Outcome != engine.Partial || len(m) != 1 || m[0].Shard != ShardName(lost) {
				out.BadAnswers++
			}
		case at < end:
			queries++
		case r.Outcome != engine.Done:
			lastBad = max(lastBad, at)
		}
	}
	d.each(lost, func(l *Leaf) { l.Mode = how })
	d.After(span, func() { d.each(lost, func(l *Leaf) { l.Mode = Up }) })
	d.Load(200, span+8*time.Second, preset.Critical)
	out.Stats = d.End()
	out.CallsPerQuery = float64(total) / float64(max(1, queries))
	if lastBad > end {
		out.Recovery = lastBad.Sub(end)
	}
	return out
}

// each calls f for every replica of the numbered shard.
func (d *Driver) each(shard int, f func(*Leaf)) {
	n := d.Setup.Replicas
	for _, l := range d.Leaves[shard*n : (shard+1)*n] {
		f(l)
	}
}

// Loss is the result of LossRun.
type Loss struct {
	// ErrorsEarly and ErrorsLate count answers that are not Done, to queries
	// asked within 2 s of the loss and later.
	ErrorsEarly int
	ErrorsLate  int
	Late        int // queries asked later
	Stats       *Stats
}

// LossRun loses one replica of every service for good while queries of all
// classes are asked.
func LossRun(seed uint64, p engine.Policy, how Mode) Loss {
	d := New(Setup{
		Seed:     seed,
		Policy:   p,
		Shards:   20,
		Replicas: 2,
	})
	d.Load(200, 2*time.Second, preset.Critical, preset.Standard, preset.Tolerant)
	settled := d.Now().Add(2 * time.Second)
	var out Loss
	d.Replied = func(at ident.Instant, r engine.Reply) {
		switch {
		case at >= settled:
			out.Late++
			if r.Outcome != engine.Done {
				out.ErrorsLate++
			}
		case r.Outcome != engine.Done:
			out.ErrorsEarly++
		}
	}
	for i := range d.Setup.Shards {
		d.Leaves[i*d.Setup.Replicas+int(d.Rand.IntN(d.Setup.Replicas))].Mode = how
	}
	d.Load(200, 12*time.Second, preset.Critical, preset.Standard, preset.Tolerant)
	out.Stats = d.End()
	return out
}
