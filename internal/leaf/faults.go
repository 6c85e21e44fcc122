package leaf

import (
	"bytes"
	"net/http"
	"time"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// corrupt invalidates an answer according to the active faults and reports
// whether it did. documentsVersion is the index version of the documents that
// the caller adds afterwards.
func (l *Leaf) corrupt(a *engine.Answer, documentsVersion *ident.IndexVersion) bool {
	f := l.Faults()
	switch {
	case l.random.chance(f.WrongID):
		a.Request += "-other"
	case l.random.chance(f.WrongAttempt):
		a.Attempt++
	case l.random.chance(f.WrongVersion):
		a.Version++
		*documentsVersion = a.Version
	case l.random.chance(f.WrongShard):
		a.Shard += "-other"
	case l.random.chance(f.SilentLie):
		*documentsVersion++
	default:
		return false
	}
	return true
}

// sendFaulty sends an answer that is truncated, endless or very slow, or breaks
// the connection, according to the active faults. It reports whether it did.
func (l *Leaf) sendFaulty(w http.ResponseWriter, r *http.Request, a engine.Answer) bool {
	f := l.Faults()
	switch {
	case l.random.chance(f.LostAnswer):
		panic(http.ErrAbortHandler)
	case l.random.chance(f.Malformed):
		body, err := wire.Encode(a)
		if err == nil {
			_, _ = w.Write(body[:len(body)/2])
		}
	case l.random.chance(f.Endless):
		l.sendEndless(w, r)
	case l.random.chance(f.Drip):
		l.sendDrip(w, r, a)
	default:
		return false
	}
	return true
}

func (l *Leaf) sendEndless(w http.ResponseWriter, r *http.Request) {
	chunk := bytes.Repeat([]byte(" "), 64<<10)
	_, _ = w.Write([]byte(`{"Documents":[`))
	for r.Context().Err() == nil && !l.stopped() {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

func (l *Leaf) sendDrip(w http.ResponseWriter, r *http.Request, a engine.Answer) {
	body, err := wire.Encode(a)
	if err != nil {
		return
	}
	controller := http.NewResponseController(w)
	tick := time.NewTicker(dripInterval)
	defer tick.Stop()
	for i := range body {
		if _, err := w.Write(body[i : i+1]); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-l.stop:
			return
		}
	}
}

// crash resets all connections, new ones too for crashTime, and ends the request
// that it is called for.
func (l *Leaf) crash() {
	l.mu.Lock()
	if l.crashes++; len(l.stats.CrashedAt) < maxCrashTimes {
		l.stats.CrashedAt = append(l.stats.CrashedAt, time.Now())
	}
	n := l.crashes
	l.mu.Unlock()
	l.listener.setKilled(true)
	time.AfterFunc(crashTime, func() {
		l.mu.Lock()
		back := n == l.crashes && !l.faults.Killed
		l.mu.Unlock()
		if back {
			l.listener.setKilled(false)
		}
	})
	panic(http.ErrAbortHandler)
}

func (l *Leaf) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}
