package leaf

import (
	"bytes"
	"net/http"
	"time"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// spoil makes an answer wrong as the faults in force say and reports whether
// it did. source is the version that the documents are taken from.
func (l *Leaf) spoil(a *engine.Answer, source *ident.IndexVersion) bool {
	f := l.Faults()
	switch {
	case l.random.hit(f.WrongID):
		a.Request += "-other"
	case l.random.hit(f.WrongAttempt):
		a.Attempt++
	case l.random.hit(f.WrongVersion):
		a.Version++
		*source = a.Version
	case l.random.hit(f.WrongShard):
		a.Shard += "-other"
	case l.random.hit(f.SilentLie):
		*source++
	default:
		return false
	}
	return true
}

// sendBroken sends an answer that cannot be decoded, if the faults say so.
func (l *Leaf) sendBroken(w http.ResponseWriter, r *http.Request, a engine.Answer) bool {
	f := l.Faults()
	switch {
	case l.random.hit(f.LostAnswer):
		panic(http.ErrAbortHandler)
	case l.random.hit(f.Malformed):
		body, err := wire.Encode(a)
		if err == nil {
			_, _ = w.Write(body[:len(body)/2])
		}
	case l.random.hit(f.Endless):
		l.endless(w, r)
	case l.random.hit(f.Drip):
		l.drip(w, r, a)
	default:
		return false
	}
	return true
}

func (l *Leaf) endless(w http.ResponseWriter, r *http.Request) {
	chunk := bytes.Repeat([]byte(" "), 64<<10)
	_, _ = w.Write([]byte(`{"Documents":[`))
	for r.Context().Err() == nil && !l.stopped() {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

func (l *Leaf) drip(w http.ResponseWriter, r *http.Request, a engine.Answer) {
	body, err := wire.Encode(a)
	if err != nil {
		return
	}
	flush := http.NewResponseController(w)
	tick := time.NewTicker(dripInterval)
	defer tick.Stop()
	for i := range body {
		if _, err := w.Write(body[i : i+1]); err != nil || flush.Flush() != nil {
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

func (l *Leaf) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}
