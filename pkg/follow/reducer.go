package follow

import (
	"math/rand/v2"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config are the settings of a reducer.
type Config struct {
	Domain ident.Domain
	// Controls are the control hosts.
	Controls []Source
	// Seed makes the random choices of hosts differ.
	Seed uint64
}

// Reducer keeps the configuration of one entry host up to date.
type Reducer struct {
	cfg    Config
	random *rand.Rand
	state  *config.State
	// sources holds the control hosts, then the peers.
	sources []*source
	peers   []Source

	watch stream
	pull  stream
	last  uint64 // number of the last stream or question
	// behindSince is when the watched source was first seen behind this host.
	behindSince ident.Instant
	behind      bool

	// retryAt is when a source is tried although all are left alone.
	retryAt ident.Instant

	ask      question
	askAt    ident.Instant
	prefer   question
	preferAt ident.Instant
	// turn counts the questions to better sources.
	turn int
	out  []Effect
}

// source is a host that can be watched.
type source struct {
	Source
	tier int
	// failures in a row, and the time until which the source is left alone.
	failures int
	until    ident.Instant
}

// The tiers of sources; lower is better.
const (
	ownControl = iota
	otherControl
	ownPeer
	otherPeer
)

// stream is an open watch or pull.
type stream struct {
	id      uint64 // zero if none is open
	from    *source
	control bool
	heard   ident.Instant
	// full is set when the stream was opened for a full copy.
	full bool
}

// question is an AskVersion that is not answered yet.
type question struct {
	try uint64 // zero if none is open
	to  string
	at  ident.Instant
}

// New returns a reducer without a configuration.
func New(cfg Config) *Reducer {
	r := &Reducer{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	for _, c := range cfg.Controls {
		r.addSource(c, ownControl)
	}
	return r
}

// State returns the configuration in force, or nil if there is none yet.
func (r *Reducer) State() *config.State { return r.state }

// Watching returns the address of the watched source, or an empty string.
func (r *Reducer) Watching() string {
	if r.watch.id == 0 {
		return ""
	}
	return r.watch.from.Address
}

// Step takes one event at the time now and returns what has to be done.
// Events about streams that are not open are ignored.
func (r *Reducer) Step(now ident.Instant, event Event) []Effect {
	r.out = nil
	switch e := event.(type) {
	case Started:
		r.askAt, r.preferAt = now.Add(askEvery), now.Add(preferEvery)
		if r.watch.id == 0 { // peers that were known before may be watched already
			r.watchNext(now)
		}
	case Received:
		r.received(now, e)
	case StreamEnded:
		r.ended(now, e)
	case VersionAnswered:
		r.answered(now, e)
	case VersionFailed:
		r.unanswered(e)
	case PeersChanged:
		r.setPeers(e.Peers)
		if r.watch.id == 0 {
			r.watchNext(now)
		}
	case Ticked:
		r.ticked(now)
	}
	r.emit(Wake{At: r.nextWake(now)})
	return r.out
}

func (r *Reducer) emit(e Effect) { r.out = append(r.out, e) }

func (r *Reducer) version() ident.ConfigVersion {
	if r.state == nil {
		return ident.ConfigVersion{}
	}
	return r.state.Version
}

// have returns the version and digest to ask with. A zero digest asks for a
// full copy.
func (r *Reducer) have(full bool) (ident.ConfigVersion, uint64) {
	if full || r.state == nil {
		return r.version(), 0
	}
	return r.state.Version, r.state.Digest
}

func (r *Reducer) received(now ident.Instant, e Received) {
	var s *stream
	switch e.Stream {
	case r.watch.id:
		s = &r.watch
	case r.pull.id:
		s = &r.pull
	default:
		return
	}
	s.heard = now
	fault := false
	if e.Copy != nil {
		fault = !r.replace(e.Copy, s.control)
	}
	fault = fault || !r.advance(e.Deltas)
	// A source shows its version alone only after it has sent all that leads
	// to it, so a higher version is a gap.
	alone := e.Copy == nil && len(e.Deltas) == 0 && !e.Partial
	fault = fault || alone && r.version().Less(e.Version)
	if fault && !s.full {
		r.refetch(now, s)
		return
	}
	if fault {
		r.close(now, s, true)
		return
	}
	s.full = s.full && e.Copy == nil
	if s == &r.watch {
		s.from.failures = 0
		r.noteBehind(now, e.Version)
	}
}

// replace takes a full copy if it is newer and its digest is right. At equal
// versions a control host's copy replaces a different one.
func (r *Reducer) replace(state *config.State, control bool) bool {
	if state.Verify() != nil {
		return false
	}
	newer := r.state == nil || r.state.Version.Less(state.Version)
	repaired := r.state != nil && control && r.state.Version == state.Version && r.state.Digest != state.Digest
	if newer || repaired {
		r.state = state
		r.emit(Apply{State: state})
	}
	return true
}

// advance applies deltas and reports false on a gap or a wrong digest. Deltas
// that are not newer than the state are skipped.
func (r *Reducer) advance(deltas []Delta) bool {
	var applied []Delta
	ok := true
	for _, d := range deltas {
		if r.state == nil {
			ok = false
			break
		}
		if !r.state.Version.Less(d.Version) {
			continue
		}
		next, err := r.state.Apply(d.Change)
		if err != nil || next.Version != d.Version || next.Digest != d.Digest {
			ok = false
			break
		}
		r.state = next
		applied = append(applied, d)
	}
	if len(applied) > 0 {
		r.emit(Apply{
			State:  r.state,
			Deltas: applied,
		})
	}
	return ok
}

// refetch opens the stream again for a full copy.
func (r *Reducer) refetch(now ident.Instant, s *stream) {
	r.emit(CloseStream{Stream: s.id})
	if s == &r.watch {
		r.openWatch(now, s.from, true)
		return
	}
	r.openPull(now, s.from, true)
}

// noteBehind watches for a source that stays behind this host.
func (r *Reducer) noteBehind(now ident.Instant, version ident.ConfigVersion) {
	behind := version.Less(r.version())
	if behind && !r.behind {
		r.behindSince = now
	}
	r.behind = behind
}

func (r *Reducer) ended(now ident.Instant, e StreamEnded) {
	switch e.Stream {
	case r.watch.id:
		r.fail(now, r.watch.from)
		r.watch = stream{}
		r.watchNext(now)
	case r.pull.id:
		r.pull = stream{}
	}
}

// close ends a stream. A watch goes on with another source.
func (r *Reducer) close(now ident.Instant, s *stream, failed bool) {
	r.emit(CloseStream{Stream: s.id})
	from := s.from
	*s = stream{}
	if s != &r.watch {
		return
	}
	if failed {
		r.fail(now, from)
	}
	r.watchNext(now)
}

func (r *Reducer) openWatch(now ident.Instant, from *source, full bool) {
	r.last++
	r.watch = stream{
		id:      r.last,
		from:    from,
		control: from.tier <= otherControl,
		heard:   now,
		full:    full,
	}
	r.behind = false
	have, digest := r.have(full)
	r.emit(Watch{
		Stream: r.last,
		To:     from.Address,
		Have:   have,
		Digest: digest,
	})
}

func (r *Reducer) openPull(now ident.Instant, from *source, full bool) {
	r.last++
	r.pull = stream{
		id:      r.last,
		from:    from,
		control: from.tier <= otherControl,
		heard:   now,
		full:    full,
	}
	have, digest := r.have(full)
	r.emit(Pull{
		Stream: r.last,
		To:     from.Address,
		Have:   have,
		Digest: digest,
	})
}
