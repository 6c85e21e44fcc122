package bench

import (
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/sample"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	faultEvery  = 700 * time.Millisecond
	faultLeast  = time.Second
	faultMost   = 5 * time.Second
	faultShare  = 0.3 // of the requests of a slow, shedding or faulty upstream
	slowFactor  = 10
	eventsStart = time.Second

	// The second and the last quarter of a run of 60 s hold as many of these
	// events, so that the events themselves do not look like growth.
	rollEvery    = 15 * time.Second
	rollFor      = 5 * time.Second
	rollSpread   = 2 * time.Second
	replaceEvery = 15 * time.Second
	replaceFor   = 5 * time.Second
	presetEvery  = 7500 * time.Millisecond
	presetFor    = 4 * time.Second
	retireEvery  = 5 * time.Second
	retireFor    = 4 * time.Second
)

// Names of the events that the operator carries out.
const (
	hookReplace = "replace"
	hookPreset  = "preset"
	hookRetire  = "retire"
)

// chaos plans the events of a soak from a seed.
type chaos struct {
	rng    *rand.Rand
	length time.Duration
	leaves []sample.Leaf
	// free tells from when on a service may have its next fault: at most one
	// of its replicas is faulty at any time.
	free   map[ident.Service]time.Duration
	events []scene.Event
}

// soakEvents returns the events of a soak. All of them end before the run.
func soakEvents(seed uint64, length time.Duration, d sample.Deployment) []scene.Event {
	c := &chaos{
		rng:    rand.New(rand.NewPCG(seed, 0)),
		length: length,
		leaves: d.Leaves,
		free:   make(map[ident.Service]time.Duration),
	}
	version := ident.IndexVersion(1)
	c.repeat(rollEvery, rollFor, func(time.Duration) scene.Event {
		version++
		return scene.Event{
			Do:           scene.RollOver,
			Version:      version,
			SpreadMillis: millis(rollSpread),
		}
	})
	c.repeat(replaceEvery, replaceFor, func(time.Duration) scene.Event { return hook(hookReplace, "") })
	c.repeat(presetEvery, presetFor, func(time.Duration) scene.Event { return hook(hookPreset, "") })
	c.repeat(retireEvery, retireFor, func(at time.Duration) scene.Event {
		return hook(hookRetire, c.victim(at, retireFor).ID)
	})
	for at := eventsStart; at+faultMost < length; at += faultEvery {
		span := faultLeast + time.Duration(c.rng.Int64N(int64(faultMost-faultLeast)))
		e := c.fault()
		e.Match = string(c.victim(at, span).ID)
		c.add(at, span, e)
	}
	return c.events
}

// repeat plans an event in each period, at a random time of it.
func (c *chaos) repeat(period, span time.Duration, event func(at time.Duration) scene.Event) {
	for begin := eventsStart; begin+period <= c.length; begin += period {
		at := begin + time.Duration(c.rng.Int64N(int64(period-span)))
		c.add(at, span, event(at))
	}
}

func (c *chaos) add(at, span time.Duration, e scene.Event) {
	e.AtMillis, e.ForMillis = millis(at), millis(span)
	c.events = append(c.events, e)
}

// victim chooses an upstream of a service without a fault at this time.
func (c *chaos) victim(at, span time.Duration) config.Upstream {
	u := c.leaves[c.rng.IntN(len(c.leaves))].Upstream
	for range 100 * len(c.leaves) {
		if c.free[u.Service] <= at {
			break
		}
		u = c.leaves[c.rng.IntN(len(c.leaves))].Upstream
	}
	c.free[u.Service] = at + span
	return u
}

// fault returns a random fault of one upstream.
func (c *chaos) fault() scene.Event {
	lies := []leaf.Faults{
		{WrongID: faultShare},
		{WrongAttempt: faultShare},
		{WrongVersion: faultShare},
		{WrongShard: faultShare},
		{Malformed: faultShare},
		{Endless: faultShare},
		{Drip: faultShare},
		{LostAnswer: faultShare},
		{Misleading: true},
	}
	kinds := []scene.Event{
		{Do: scene.Slow, Fraction: faultShare, Factor: slowFactor},
		{Do: scene.Lost},
		{Do: scene.Kill},
		{Do: scene.Shed, Fraction: faultShare},
		{Do: scene.Drain},
		{Do: scene.Cold},
		{Do: scene.Faulty, Faults: &lies[c.rng.IntN(len(lies))]},
	}
	return kinds[c.rng.IntN(len(kinds))]
}

func hook(name string, upstream ident.Upstream) scene.Event {
	return scene.Event{
		Do:    scene.Hook,
		Label: string(upstream),
		Match: name,
	}
}

func millis(d time.Duration) ident.Millis { return ident.Millis(d.Milliseconds()) }
