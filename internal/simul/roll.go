package simul

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Retire retires a leaf in the configuration of all hosts. From then on, a call
// to it is a violation.
func (d *Driver) Retire(l *Leaf) {
	l.retired = true
	d.Change(config.RetireUpstream{ID: l.ID})
}

// LoadVersion adds a version to all shards of a leaf.
func (l *Leaf) LoadVersion(v ident.IndexVersion) {
	for s, vs := range l.Held {
		if !slices.Contains(vs, v) {
			l.Held[s] = append(slices.Clone(vs), v)
		}
	}
}

// UnloadVersion removes a version from all shards of a leaf.
func (l *Leaf) UnloadVersion(v ident.IndexVersion) {
	for s, vs := range l.Held {
		l.Held[s] = slices.DeleteFunc(slices.Clone(vs), func(o ident.IndexVersion) bool { return o == v })
	}
}

// MoveShard moves a shard from one leaf to another. The target loads it and the
// configuration adds it to the target at once; after a random part of span, the
// source drops it, and after another, the configuration removes it from the
// source. In between, hosts still send calls for the shard to the source.
// MoveShard does nothing if the source lacks the shard or has no other, if the
// target has the shard or more than two others, or if one of them is retired.
func (d *Driver) MoveShard(shard ident.Shard, from, to *Leaf, span time.Duration) {
	vs, ok := from.Held[shard]
	if _, has := to.Held[shard]; !ok || has || len(from.Held) < 2 || len(to.Held) > 2 || from.retired || to.retired {
		return
	}
	to.Held[shard] = slices.Clone(vs)
	d.placeShards(to)
	step := func() time.Duration { return time.Duration(d.Rand.Int64N(int64(span)/3 + 1)) }
	d.After(step(), func() {
		delete(from.Held, shard)
		d.After(step(), func() { d.placeShards(from) })
	})
}

// OverlapShards adds the shard of the next service to every leaf, since
// MoveShard only moves shards away from leaves that hold at least two.
func (d *Driver) OverlapShards() {
	for i, l := range d.Leaves {
		l.Held[ShardName((i/d.Setup.Replicas+1)%d.Setup.Shards)] = []ident.IndexVersion{1}
		d.placeShards(l)
	}
	d.Advance(10 * time.Millisecond)
}

// placeShards sets the shards of a leaf in the configuration to those that it
// holds.
func (d *Driver) placeShards(l *Leaf) {
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

// RollVersion replaces version v by v+1 on all leaves: each loads v+1 at a
// random time in the first half of span and drops v at a random time in the
// second half. early is the probability, for each leaf, that it drops v as soon
// as it has v+1.
func (d *Driver) RollVersion(v ident.IndexVersion, span time.Duration, early float64) {
	for _, l := range d.Leaves {
		half := int64(span / 2)
		load := time.Duration(d.Rand.Int64N(half))
		drop := time.Duration(half + d.Rand.Int64N(half))
		if d.Rand.Float64() < early {
			drop = load
		}
		d.After(load, func() { l.LoadVersion(v + 1) })
		d.After(drop, func() { l.UnloadVersion(v) })
	}
}

// RollOver is the result of RollRun.
type RollOver struct {
	Queries int
	// Done, Partial and NotRun count the replies by outcome.
	Done    int
	Partial int
	NotRun  int
	// Violations counts violated guarantees, such as replies with mixed
	// versions, wrong coverage or duplicate documents.
	Violations int
	Stats      *Stats
}

// RollRun sends about the given number of queries while index versions roll
// over, shards move between leaves and 0.2% of the upstream answers are
// corrupted.
func RollRun(seed uint64, queries int) RollOver {
	const rate, rollEvery, moveEvery = 200, time.Second, 300 * time.Millisecond
	d := New(Setup{
		Seed:            seed,
		Shards:          6,
		Replicas:        2,
		CorruptFraction: 0.002,
	})
	d.OverlapShards()
	version := ident.IndexVersion(1)
	var roll, move func()
	roll = func() {
		d.RollVersion(version, rollEvery*9/10, 0.2)
		version++
		d.After(rollEvery, roll)
	}
	move = func() {
		from, to := d.Leaves[d.Rand.IntN(len(d.Leaves))], d.Leaves[d.Rand.IntN(len(d.Leaves))]
		for i := range d.Setup.Shards {
			if _, ok := from.Held[ShardName(i)]; ok {
				d.MoveShard(ShardName(i), from, to, moveEvery)
				break
			}
		}
		d.After(moveEvery, move)
	}
	roll()
	move()
	d.Load(rate, time.Duration(float64(queries)/rate*float64(time.Second)), preset.Critical, preset.Standard, preset.Tolerant)
	s := d.Finish()
	return RollOver{
		Queries:    s.Queries,
		Done:       s.Done,
		Partial:    s.Partial,
		NotRun:     s.NotRun,
		Violations: s.ViolationCount,
		Stats:      s,
	}
}
