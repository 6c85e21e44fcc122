package host

import (
	"sync"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// leaving is the set of upstreams that said that they drain. Filings are not
// planned by the engine, so the host keeps what the reports say for them.
type leaving struct {
	mu  sync.Mutex
	set map[ident.Upstream]bool
}

// note records that an upstream drains, or no longer does.
func (l *leaving) note(id ident.Upstream, drains bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !drains {
		delete(l.set, id)
		return
	}
	if l.set == nil {
		l.set = make(map[ident.Upstream]bool)
	}
	l.set[id] = true
}

// hear takes what an event says of an upstream.
func (l *leaving) hear(ev engine.Event) {
	if r, ok := ev.(engine.UpstreamReported); ok {
		l.note(r.Upstream, r.Health == engine.HealthDraining)
	}
}

// forget drops upstreams that are no longer configured.
func (l *leaving) forget(known func(ident.Upstream) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.set {
		if !known(id) {
			delete(l.set, id)
		}
	}
}

func (l *leaving) has(id ident.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set[id]
}
