package follow

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config holds the settings of a Reducer.
type Config struct {
	// Domain is the failure domain of this entry host; its sources are
	// preferred.
	Domain ident.Domain
	// Controls are the control hosts.
	Controls []Source
	// Seed must differ between hosts, so that their random choices do.
	Seed uint64
}

// Reducer keeps the configuration of one entry host up to date. It watches one
// source at a time, polls random peers for newer versions, and returns to a
// better source when one is back. It is not safe for concurrent use.
type Reducer struct {
	sources
	state *config.State
	peers []Source

	watch  stream
	pull   stream
	lastID uint64 // ID of the last stream or version request
	// sourceBehindSince is when the watched source was first seen with an
	// older version than this host; valid while sourceBehind is set.
	sourceBehindSince ident.Instant
	sourceBehind      bool

	poll       versionRequest // to a random peer
	pollAt     ident.Instant
	failback   versionRequest // to a source of a better tier
	failbackAt ident.Instant
	effects    []Effect
}

// stream is an open watch or pull.
type stream struct {
	id            uint64 // zero if none is open
	source        *source
	fromControl   bool
	lastMessageAt ident.Instant
	// fullPending is set from opening the stream for a full copy until the
	// copy has arrived.
	fullPending bool
}

// versionRequest is an AskVersion in flight.
type versionRequest struct {
	attempt uint64 // zero if none is open
	to      string
	at      ident.Instant
}

// New returns a reducer without a configuration.
func New(cfg Config) *Reducer {
	r := &Reducer{sources: newSources(cfg.Domain, cfg.Seed, retryInterval)}
	r.replace(ownDomainControl, cfg.Controls)
	return r
}

// State returns the active configuration, or nil if there is none yet.
func (r *Reducer) State() *config.State { return r.state }

// Watching returns the address of the watched source, or an empty string.
func (r *Reducer) Watching() string {
	if r.watch.id == 0 {
		return ""
	}
	return r.watch.source.Address
}

// Step applies one event at the time now and returns the effects to carry out.
// Events of streams that are not open are ignored.
func (r *Reducer) Step(now ident.Instant, event Event) []Effect {
	r.effects = nil
	switch e := event.(type) {
	case Started:
		r.pollAt, r.failbackAt = now.Add(pollInterval), now.Add(failbackInterval)
		if r.watch.id == 0 { // an earlier PeersChanged may have opened a watch
			r.watchNext(now)
		}
	case Received:
		r.onReceived(now, e)
	case StreamEnded:
		r.onStreamEnded(now, e)
	case VersionAnswered:
		r.onVersion(now, e)
	case VersionFailed:
		r.onVersionFailed(e)
	case PeersChanged:
		r.peers = slices.Clone(e.Peers)
		r.replace(ownDomainPeer, r.peers)
		if r.watch.id == 0 {
			r.watchNext(now)
		}
	case Ticked:
		r.onTick(now)
	}
	r.emit(Wake{At: r.nextWake(now)})
	return r.effects
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) version() ident.ConfigVersion {
	if r.state == nil {
		return ident.ConfigVersion{}
	}
	return r.state.Version
}

// position returns the version and digest to send with a watch or pull. A zero
// digest requests a full copy.
func (r *Reducer) position(full bool) (ident.ConfigVersion, uint64) {
	if full || r.state == nil {
		return r.version(), 0
	}
	return r.state.Version, r.state.Digest
}

func (r *Reducer) onReceived(now ident.Instant, e Received) {
	var s *stream
	switch e.Stream {
	case r.watch.id:
		s = &r.watch
	case r.pull.id:
		s = &r.pull
	default:
		return
	}
	s.lastMessageAt = now
	invalid := false
	if e.Copy != nil {
		invalid = !r.applyCopy(e.Copy, s.fromControl)
	}
	invalid = invalid || !r.applyDeltas(e.Deltas)
	// A source sends a version without content only after all changes up to
	// it, so a higher version means that messages were lost.
	versionOnly := e.Copy == nil && len(e.Deltas) == 0 && !e.Partial
	invalid = invalid || versionOnly && r.version().Less(e.Version)
	if invalid && !s.fullPending {
		r.reopenForCopy(now, s)
		return
	}
	if invalid {
		r.closeStream(now, s, true)
		return
	}
	s.fullPending = s.fullPending && e.Copy == nil
	if s != &r.watch {
		return
	}
	s.source.failures = 0
	r.trackBehind(now, e.Version)
	if e.Stale && r.hasAlternative(now, s.source) {
		r.closeStream(now, s, true)
	}
}

// applyCopy applies a full copy if it is newer. At equal versions with
// different digests the copy wins if it comes from a control host. It returns
// false if the copy's digest is wrong.
func (r *Reducer) applyCopy(state *config.State, fromControl bool) bool {
	if state.Verify() != nil {
		return false
	}
	isNewer := r.state == nil || r.state.Version.Less(state.Version)
	corrects := r.state != nil && fromControl && r.state.Version == state.Version && r.state.Digest != state.Digest
	if isNewer || corrects {
		r.state = state
		r.emit(Apply{State: state})
	}
	return true
}

// applyDeltas applies the deltas that are newer than the state. It stops and
// returns false at a gap or a wrong digest.
func (r *Reducer) applyDeltas(deltas []Delta) bool {
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

// reopenForCopy reopens the stream at the same source to request a full copy.
func (r *Reducer) reopenForCopy(now ident.Instant, s *stream) {
	r.emit(CloseStream{Stream: s.id})
	if s == &r.watch {
		r.openWatch(now, s.source, true)
		return
	}
	r.openPull(now, s.source, true)
}

// trackBehind records since when the watched source has been behind this host.
func (r *Reducer) trackBehind(now ident.Instant, version ident.ConfigVersion) {
	behind := version.Less(r.version())
	if behind && !r.sourceBehind {
		r.sourceBehindSince = now
	}
	r.sourceBehind = behind
}

func (r *Reducer) onStreamEnded(now ident.Instant, e StreamEnded) {
	switch e.Stream {
	case r.watch.id:
		r.eject(now, r.watch.source)
		r.watch = stream{}
		r.watchNext(now)
	case r.pull.id:
		r.pull = stream{}
	}
}

// closeStream closes a stream. A watch moves to another source, and the old one
// is ejected if it failed.
func (r *Reducer) closeStream(now ident.Instant, s *stream, failed bool) {
	r.emit(CloseStream{Stream: s.id})
	src := s.source
	*s = stream{}
	if s != &r.watch {
		return
	}
	if failed {
		r.eject(now, src)
	}
	r.watchNext(now)
}

func (r *Reducer) openWatch(now ident.Instant, src *source, full bool) {
	r.lastID++
	r.watch = stream{
		id:            r.lastID,
		source:        src,
		fromControl:   src.tier <= otherDomainControl,
		lastMessageAt: now,
		fullPending:   full,
	}
	r.sourceBehind = false
	have, digest := r.position(full)
	r.emit(Watch{
		Stream: r.lastID,
		To:     src.Address,
		Have:   have,
		Digest: digest,
	})
}

func (r *Reducer) openPull(now ident.Instant, src *source, full bool) {
	r.lastID++
	r.pull = stream{
		id:            r.lastID,
		source:        src,
		fromControl:   src.tier <= otherDomainControl,
		lastMessageAt: now,
		fullPending:   full,
	}
	have, digest := r.position(full)
	r.emit(Pull{
		Stream: r.lastID,
		To:     src.Address,
		Have:   have,
		Digest: digest,
	})
}

// watchNext watches the chosen source, if any.
func (r *Reducer) watchNext(now ident.Instant) {
	if src := r.choose(now); src != nil {
		r.openWatch(now, src, false)
	}
}

func (r *Reducer) onTick(now ident.Instant) {
	switch {
	case r.watch.id == 0:
		r.watchNext(now)
	case now.Sub(r.watch.lastMessageAt) >= sourceTimeout:
		r.closeStream(now, &r.watch, true)
	case r.sourceBehind && now.Sub(r.sourceBehindSince) >= staleTimeout:
		r.closeStream(now, &r.watch, true)
	}
	if r.pull.id != 0 && now.Sub(r.pull.lastMessageAt) >= pullTimeout {
		r.closeStream(now, &r.pull, true)
	}
	if now >= r.pollAt {
		r.pollAt = now.Add(pollInterval)
		if len(r.peers) > 0 {
			r.poll = r.requestVersion(now, r.peers[r.rng.IntN(len(r.peers))].Address)
		}
	}
	if now >= r.failbackAt {
		r.failbackAt = now.Add(failbackInterval)
		if r.watch.id == 0 {
			return
		}
		if s := r.better(r.watch.source); s != nil {
			r.failback = r.requestVersion(now, s.Address)
		}
	}
}

func (r *Reducer) requestVersion(now ident.Instant, to string) versionRequest {
	r.lastID++
	r.emit(AskVersion{
		Attempt: r.lastID,
		To:      to,
	})
	return versionRequest{
		attempt: r.lastID,
		to:      to,
		at:      now,
	}
}

func (r *Reducer) onVersion(now ident.Instant, e VersionAnswered) {
	switch e.Attempt {
	case r.poll.attempt:
		src := r.find(r.poll.to)
		r.poll = versionRequest{}
		if src != nil && r.pull.id == 0 && (r.state == nil || r.version().Less(e.Version)) {
			r.openPull(now, src, false)
		}
	case r.failback.attempt:
		src := r.find(r.failback.to)
		r.failback = versionRequest{}
		// A better source that is stale or behind this host would be ejected again.
		if src != nil && r.watch.id != 0 && src.tier < r.watch.source.tier && !e.Stale && !e.Version.Less(r.version()) {
			r.emit(CloseStream{Stream: r.watch.id})
			src.ejectedUntil = 0
			r.openWatch(now, src, false)
		}
	}
}

func (r *Reducer) onVersionFailed(e VersionFailed) {
	switch e.Attempt {
	case r.poll.attempt:
		r.poll = versionRequest{}
	case r.failback.attempt:
		r.failback = versionRequest{}
	}
}

// nextWake returns the next time at which onTick has something to do.
func (r *Reducer) nextWake(now ident.Instant) ident.Instant {
	at := min(r.pollAt, r.failbackAt)
	if r.watch.id != 0 {
		at = min(at, r.watch.lastMessageAt.Add(sourceTimeout))
		if r.sourceBehind {
			at = min(at, r.sourceBehindSince.Add(staleTimeout))
		}
	} else {
		at = min(at, max(r.retryAt, now.Add(retryInterval/10)))
	}
	if r.pull.id != 0 {
		at = min(at, r.pull.lastMessageAt.Add(pullTimeout))
	}
	return max(at, now)
}
