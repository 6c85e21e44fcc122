package front

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// unconfirmedWait is how long an entry host that starts waits for a set of evacuated
// domains that the leader has confirmed. After a power loss of all hosts a control host
// has only what its last snapshot holds until a leader is elected, which takes up to
// 1 s. In a domain that is cut off from the leader, that is all there is.
const unconfirmedWait = 3 * time.Second

// evacuation is the set of evacuated domains that a watcher holds.
type evacuation struct {
	set evac.Set
	// copy is the age of the set.
	copy follow.Copy[evac.Revision]
	// answered is set since the first answer of a control host, at answeredAt.
	answered   bool
	answeredAt ident.Instant
}

// applyEvacuation takes the evacuated domains in an answer if they are newer. The first
// answer of a source whose copy was ever confirmed makes them known; one without any
// is of a system in which no evacuation has been ordered.
func (w *watcher) applyEvacuation(r *board.Reply, p *poll, confirmed bool) {
	f, v := w.front, &w.evacuation
	if !v.answered {
		v.answered, v.answeredAt = true, w.now()
	}
	newer := r.Evacuated != nil && r.Evacuated.Revision > v.set.Revision
	if newer {
		v.set = *r.Evacuated
		v.copy.Hold(v.set.Revision)
	}
	becomesKnown := !f.knowsEvacuation.Load() && (confirmed || w.now().Sub(v.answeredAt) > unconfirmedWait)
	if newer || becomesKnown {
		f.log.Info("evacuated domains are in force", "Revision", uint64(v.set.Revision), "Domains", v.set.Domains, "Confirmed", confirmed, "Source", p.source)
		f.inputs <- input{event: relay.Evacuated{Domains: v.set.Domains}}
		f.evacuated.Store(int64(len(v.set.Domains)))
		f.evacuationRevision.Store(int64(v.set.Revision))
	}
	if !becomesKnown {
		return
	}
	f.knowsEvacuation.Store(true)
	if w.held != nil {
		w.activate(*w.held, p.source)
		w.held = nil
	}
}
