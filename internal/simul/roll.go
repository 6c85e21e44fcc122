package simul

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Retire retires a leaf. It counts as retired once all hosts know.
func (d *Driver) Retire(l *Leaf) {
	l.retired = true
	d.Change(config.RetireUpstream{ID: l.ID})
}

// Load1 lets a leaf hold a further version of all its shards.
func (l *Leaf) Load1(v ident.IndexVersion) {
	for s, vs := range l.Held {
		if !slices.Contains(vs, v) {
			l.Held[s] = append(slices.Clone(vs), v)
		}
	}
}

// Unload drops a version of all shards of a leaf.
func (l *Leaf) Unload(v ident.IndexVersion) {
	for s, vs := range l.Held {
		l.Held[s] = slices.DeleteFunc(slices.Clone(vs), func(o ident.IndexVersion) bool { return o == v })
	}
}

// Move moves a shard from one leaf to another: the target loads it, the
// configuration places it there and then no longer at the source, and the
// source drops it. Each step follows after a random part of span; the source
// may drop the shard before the hosts know.
func (d *Driver) Move(shard ident.Shard, from, to *Leaf, span time.Duration) {
	vs, ok := from.Held[shard]
	if _, has := to.Held[shard]; !ok || has || len(from.Held) < 2 || len(to.Held) > 2 || from.retired || to.retired {
		return
	}
	to.Held[shard] = slices.Clone(vs)
	d.place(to)
	step := func() time.Duration { return time.Duration(d.Rand.Int64N(int64(span)/3 + 1)) }
	d.After(step(), func() {
		delete(from.Held, shard)
		d.After(step(), func() { d.place(from) })
	})
}

// Spread lets every leaf hold the shard of the next service too, so that
// shards can move.
func (d *Driver) Spread() {
	for i, l := range d.Leaves {
		l.Held[ShardName((i/d.Setup.Replicas+1)%d.Setup.Shards)] = []ident.IndexVersion{1}
		d.place(l)
	}
	d.Run(10 * time.Millisecond)
}

// place tells the configuration which shards a leaf holds.
func (d *Driver) place(l *Leaf) {
	var shards []ident.Shard
	for i := range d.Setup.Shards {
		if _, ok := l.Held[ShardName(i)]; ok {
			shards = append(shards, ShardName(i))
		}
	}
	if len(shards) > 0 {
		d.Change(config.PlaceShards{
			ID:     l.ID,
			Shards: shards,
		})
	}
}

// Roll replaces version v by v+1 on all leaves, each at its own time in the
// first half of span, and drops v at random times in the second half. early
// is the chance that a leaf drops v as soon as it has v+1.
func (d *Driver) Roll(v ident.IndexVersion, span time.Duration, early float64) {
	for _, l := range d.Leaves {
		half := int64(span / 2)
		load := time.Duration(d.Rand.Int64N(half))
		drop := time.Duration(half + d.Rand.Int64N(half))
		if d.Rand.Float64() < early {
			drop = load
		}
		d.After(load, func() { l.Load1(v + 1) })
		d.After(drop, func() { l.Unload(v) })
	}
}

// RollOver is the result of RollRun.
type RollOver struct {
	Queries int
	// Replies by outcome; Faults are mixed versions, false coverages and
	// duplicates.
	Done    int
	Partial int
	NotRun  int
	Faults  int
	Stats   *Stats
}

// RollRun asks queries while versions roll over, shards move between leaves
// and some answers are crossed, doubled or false.
func RollRun(seed uint64, queries int) RollOver {
	const rate, rollEvery, moveEvery = 200, time.Second, 300 * time.Millisecond
	d := New(Setup{
		Seed:     seed,
		Shards:   6,
		Replicas: 2,
		Wrong:    0.002,
	})
	d.Spread()
	version := ident.IndexVersion(1)
	var roll, move func()
	roll = func() {
		d.Roll(version, rollEvery*9/10, 0.2)
		version++
		d.After(rollEvery, roll)
	}
	move = func() {
		from, to := d.Leaves[d.Rand.IntN(len(d.Leaves))], d.Leaves[d.Rand.IntN(len(d.Leaves))]
		for i := range d.Setup.Shards {
			if _, ok := from.Held[ShardName(i)]; ok {
				d.Move(ShardName(i), from, to, moveEvery)
				break
			}
		}
		d.After(moveEvery, move)
	}
	roll()
	move()
	d.Load(rate, time.Duration(float64(queries)/rate*float64(time.Second)), preset.Critical, preset.Standard, preset.Tolerant)
	s := d.End()
	return RollOver{
		Queries: s.Asked,
		Done:    s.Done,
		Partial: s.Partial,
		NotRun:  s.NotRun,
		Faults:  s.FaultCount,
		Stats:   s,
	}
}
