package engine_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/internal/simul"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// chaos applies the random actions of one test case to a simulation.
type chaos struct {
	*simul.Driver
	t       *rapid.T
	version ident.IndexVersion
}

func (c *chaos) leaf() *simul.Leaf {
	return c.Leaves[rapid.IntRange(0, len(c.Leaves)-1).Draw(c.t, "leaf")]
}

func (c *chaos) act() {
	span := time.Duration(rapid.IntRange(1, 400).Draw(c.t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 10).Draw(c.t, "action") {
	case 0, 1:
		c.leaf().Mode = rapid.SampledFrom([]simul.Mode{simul.Up, simul.Refusing, simul.Unresponsive, simul.Draining, simul.Misleading}).Draw(c.t, "mode")
	case 2:
		c.leaf().Slow = rapid.SampledFrom([]float64{1, 10, 100}).Draw(c.t, "slow")
	case 3:
		c.RollVersion(c.version, 2*span, rapid.Float64Range(0, 1).Draw(c.t, "early"))
		c.version++
	case 4:
		shard := simul.ShardName(rapid.IntRange(0, 3).Draw(c.t, "shard"))
		c.MoveShard(shard, c.leaf(), c.leaf(), span)
	case 5:
		if rapid.IntRange(0, 3).Draw(c.t, "retire") == 0 {
			c.Retire(c.leaf())
		}
	case 6:
		c.Change(config.SwitchPreset{Name: rapid.SampledFrom([]preset.Name{preset.Ordinary, preset.Peak, preset.Maintenance}).Draw(c.t, "preset")})
	case 7:
		seat := rapid.SampledFrom([]engine.Seat{engine.SeatHeld, engine.SeatHeld, engine.SeatExpired, engine.SeatNone}).Draw(c.t, "seat")
		c.SetSeat(rapid.IntRange(0, 1).Draw(c.t, "host"), seat)
	case 8:
		c.Change(config.SetSeats{Seats: rapid.IntRange(1, 60).Draw(c.t, "seats")})
	case 9:
		for range rapid.IntRange(1, 60).Draw(c.t, "burst") {
			id := c.Submit(rapid.SampledFrom(preset.Classes[:]).Draw(c.t, "class"), time.Duration(rapid.IntRange(-1, 300).Draw(c.t, "budget"))*time.Millisecond)
			if rapid.IntRange(0, 5).Draw(c.t, "hang up") == 0 {
				c.After(span/8, func() { c.CancelQuery(id) })
			}
		}
	default:
		if rapid.IntRange(0, 9).Draw(c.t, "drain") == 0 {
			c.Drain(rapid.IntRange(0, 1).Draw(c.t, "host"))
		}
	}
	c.Load(float64(rapid.IntRange(1, 400).Draw(c.t, "rate")), span, preset.Critical, preset.Standard, preset.Tolerant)
}

// Guards against the following under any mix of faults: mixed versions, wrong
// coverage, duplicate documents, missing, late or repeated replies, a NotRun
// reply after an attempt was sent, an answer assigned to another query, attempts
// to retired upstreams or without a seat, and hedges beyond the budget.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chaos{
			Driver: simul.New(simul.Setup{
				Seed:            rapid.Uint64().Draw(t, "seed"),
				Hosts:           2,
				Shards:          4,
				Replicas:        2,
				SlowPercent:     2,
				SlowFactor:      20,
				CorruptFraction: rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "wrong"),
			}),
			t:       t,
			version: 1,
		}
		c.OverlapShards()
		for range rapid.IntRange(1, 12).Draw(t, "actions") {
			c.act()
		}
		s := c.Finish()
		if s.ViolationCount > 0 {
			t.Fatalf("%d violations: %q", s.ViolationCount, s.Violations)
		}
		if 20*s.Hedges > s.Firsts {
			t.Fatalf("%d hedges for %d first attempts", s.Hedges, s.Firsts)
		}
		for _, retained := range c.Retained() {
			if retained != (engine.Retained{}) {
				t.Fatalf("state retained after all queries ended: %+v", retained)
			}
		}
	})
}

// Guards against a retry storm when all upstreams fail requests but report to be
// healthy, which neither ejection nor probes detect.
func TestFullOutageCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := simul.New(simul.Setup{
			Seed:     rapid.Uint64().Draw(t, "seed"),
			Shards:   4,
			Replicas: rapid.IntRange(1, 3).Draw(t, "replicas"),
		})
		d.Load(200, 2*time.Second, preset.Critical)
		for _, l := range d.Leaves {
			l.Mode = simul.Misleading
		}
		before := d.Stats.Sends()
		done := d.Stats.Done + d.Stats.Partial
		d.Load(200, 2*time.Second, preset.Critical, preset.Standard)
		s := d.Finish()
		queries := s.Done + s.Partial - done
		if queries < 200 {
			t.Fatalf("%d queries ran", queries)
		}
		if calls := float64(s.Sends()-before) / float64(4*queries); calls > 1.2 {
			t.Fatalf("%.3f calls per query and shard", calls)
		}
	})
}
