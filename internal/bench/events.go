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
	faultInterval    = 700 * time.Millisecond
	minFaultDuration = time.Second
	maxFaultDuration = 5 * time.Second
	faultFraction    = 0.3 // of the requests of a slow, shedding or faulty upstream
	slowFactor       = 10
	firstEvent       = time.Second

	// The intervals divide 15 s, so that the second and the last quarter of a
	// run of 60 s contain about the same number of these events. Otherwise the
	// events themselves would look like growth.
	rolloverInterval = 15 * time.Second
	rolloverDuration = 5 * time.Second
	rolloverSpread   = 2 * time.Second
	replaceInterval  = 15 * time.Second
	replaceDuration  = 5 * time.Second
	presetInterval   = 7500 * time.Millisecond
	presetDuration   = 4 * time.Second
	retireInterval   = 5 * time.Second
	retireDuration   = 4 * time.Second
)

// Events that the simulated operator carries out (see operator.handle).
const (
	hookReplace = "replace"
	hookPreset  = "preset"
	hookRetire  = "retire"
)

// eventPlan draws the events of a soak from a seed.
type eventPlan struct {
	rng    *rand.Rand
	length time.Duration
	leaves []sample.Leaf
	// faultUntil is the time at which the last planned fault of a service
	// ends, so that normally at most one of its replicas is faulty.
	faultUntil map[ident.Service]time.Duration
	events     []scene.Event
}

// soakEvents returns the events of a soak. All of them end before the run does.
func soakEvents(seed uint64, length time.Duration, d sample.Deployment) []scene.Event {
	p := &eventPlan{
		rng:        rand.New(rand.NewPCG(seed, 0)),
		length:     length,
		leaves:     d.Leaves,
		faultUntil: make(map[ident.Service]time.Duration),
	}
	version := ident.IndexVersion(1)
	p.repeat(rolloverInterval, rolloverDuration, func(time.Duration) scene.Event {
		version++
		return scene.Event{
			Do:           scene.RollOver,
			Version:      version,
			SpreadMillis: millis(rolloverSpread),
		}
	})
	p.repeat(replaceInterval, replaceDuration, func(time.Duration) scene.Event { return hook(hookReplace, "") })
	p.repeat(presetInterval, presetDuration, func(time.Duration) scene.Event { return hook(hookPreset, "") })
	p.repeat(retireInterval, retireDuration, func(at time.Duration) scene.Event {
		return hook(hookRetire, p.faultFree(at, retireDuration).ID)
	})
	for at := firstEvent; at+maxFaultDuration < length; at += faultInterval {
		duration := minFaultDuration + time.Duration(p.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		e := p.randomFault()
		e.Match = string(p.faultFree(at, duration).ID)
		p.add(at, duration, e)
	}
	return p.events
}

// repeat plans one event in each period, at a random time within it.
func (p *eventPlan) repeat(period, duration time.Duration, event func(at time.Duration) scene.Event) {
	for periodStart := firstEvent; periodStart+period <= p.length; periodStart += period {
		at := periodStart + time.Duration(p.rng.Int64N(int64(period-duration)))
		p.add(at, duration, event(at))
	}
}

func (p *eventPlan) add(at, duration time.Duration, e scene.Event) {
	e.AtMillis, e.ForMillis = millis(at), millis(duration)
	p.events = append(p.events, e)
}

// faultFree returns a random upstream of a service without a fault at this time
// and reserves the service for the duration. If a bounded number of draws finds
// none, the service drawn last gets a second fault.
func (p *eventPlan) faultFree(at, duration time.Duration) config.Upstream {
	u := p.leaves[p.rng.IntN(len(p.leaves))].Upstream
	for range 100 * len(p.leaves) {
		if p.faultUntil[u.Service] <= at {
			break
		}
		u = p.leaves[p.rng.IntN(len(p.leaves))].Upstream
	}
	p.faultUntil[u.Service] = at + duration
	return u
}

// randomFault returns a fault without the upstream that has it.
func (p *eventPlan) randomFault() scene.Event {
	serverFaults := []leaf.Faults{
		{WrongID: faultFraction},
		{WrongAttempt: faultFraction},
		{WrongVersion: faultFraction},
		{WrongShard: faultFraction},
		{Malformed: faultFraction},
		{Endless: faultFraction},
		{Drip: faultFraction},
		{LostAnswer: faultFraction},
		{Misleading: true},
	}
	kinds := []scene.Event{
		{Do: scene.Slow, Fraction: faultFraction, Factor: slowFactor},
		{Do: scene.Lost},
		{Do: scene.Kill},
		{Do: scene.Shed, Fraction: faultFraction},
		{Do: scene.Drain},
		{Do: scene.Cold},
		{Do: scene.Faulty, Faults: &serverFaults[p.rng.IntN(len(serverFaults))]},
	}
	return kinds[p.rng.IntN(len(kinds))]
}

func hook(name string, upstream ident.Upstream) scene.Event {
	return scene.Event{
		Do:    scene.Hook,
		Label: string(upstream),
		Match: name,
	}
}

func millis(d time.Duration) ident.Millis { return ident.Millis(d.Milliseconds()) }
