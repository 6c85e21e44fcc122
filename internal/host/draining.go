package host

import (
	"sync"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// drainingSet is the set of upstreams that reported that they are draining. The
// host keeps it for filings, since the engine plans only searches.
type drainingSet struct {
	mu        sync.Mutex
	upstreams map[ident.Upstream]bool
}

// set records whether an upstream is draining.
func (d *drainingSet) set(id ident.Upstream, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !draining {
		delete(d.upstreams, id)
		return
	}
	if d.upstreams == nil {
		d.upstreams = make(map[ident.Upstream]bool)
	}
	d.upstreams[id] = true
}

// update applies the health report in an event, if it has one.
func (d *drainingSet) update(ev engine.Event) {
	if report, ok := ev.(engine.UpstreamReported); ok {
		d.set(report.Upstream, report.Health == engine.HealthDraining)
	}
}

// retain removes the upstreams that are no longer configured.
func (d *drainingSet) retain(configured func(ident.Upstream) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.upstreams {
		if !configured(id) {
			delete(d.upstreams, id)
		}
	}
}

func (d *drainingSet) contains(id ident.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[id]
}
