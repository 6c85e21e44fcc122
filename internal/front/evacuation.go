package front

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
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
	held evac.Copy
	// answered is set since the first answer of a control host, at answeredAt.
	answered   bool
	answeredAt ident.Instant
}

// applyEvacuation takes the evacuated domains in an answer if they are newer. The first
// answer of a source whose copy was ever confirmed makes them known; one without any
// is of a system in which no evacuation has been ordered.
func (w *watcher) applyEvacuation(r *board.Reply, p *poll) {
	f, v := w.front, &w.evacuation
	if !v.answered {
		v.answered, v.answeredAt = true, w.now()
	}
	before, answer := v.held.Set().Revision, r.Evacuations(p.sentAt)
	changed := v.held.Update(w.now(), answer)
	set := v.held.Set()
	if set.Revision < before {
		f.log.Warn("evacuated domains of another log were given up", "Revision", uint64(before), "Confirmed", uint64(set.Revision), "Source", p.source)
	}
	becomesKnown := !f.knowsEvacuation.Load() && (answer.Confirmed || w.now().Sub(v.answeredAt) > unconfirmedWait)
	if changed || becomesKnown {
		f.log.Info("evacuated domains are in force", "Revision", uint64(set.Revision), "Domains", set.Domains, "Confirmed", answer.Confirmed, "Source", p.source)
		f.inputs <- input{event: relay.Evacuated{Domains: set.Domains}}
		f.evacuated.Store(int64(len(set.Domains)))
		f.evacuationRevision.Store(int64(set.Revision))
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
