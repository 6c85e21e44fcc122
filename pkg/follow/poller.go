package follow

import (
	"maps"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// PollEvent is an input of a Poller.
//
//sumtype:decl
type PollEvent interface{ isPollEvent() }

// ControlsChanged replaces the control hosts that may be polled.
type ControlsChanged struct{ Controls []Source }

// SeedsChanged replaces the addresses that are polled while no control host is
// known or every one has failed.
type SeedsChanged struct{ Seeds []string }

// PollAnswered reports the answer to the Poll with the same Attempt.
type PollAnswered struct {
	Attempt uint64
	// Confirmed is set if the source knows when its copy was the newest; that was
	// at ConfirmedAt.
	Confirmed   bool
	ConfirmedAt ident.Instant
}

// PollFailed reports that the Poll with the same Attempt failed or timed out.
type PollFailed struct{ Attempt uint64 }

func (ControlsChanged) isPollEvent() {}
func (SeedsChanged) isPollEvent()    {}
func (PollAnswered) isPollEvent()    {}
func (PollFailed) isPollEvent()      {}
func (Ticked) isPollEvent()          {}

// PollEffect is an action that the runtime of a Poller carries out.
//
//sumtype:decl
type PollEffect interface{ isPollEffect() }

// Poll polls the host at To. The result arrives as PollAnswered or PollFailed
// with the same Attempt.
type Poll struct {
	Attempt uint64
	To      string
	// AtOnce requests an answer without waiting for an update.
	AtOnce bool
}

// CancelPoll ends a poll, whose result is no longer needed.
type CancelPoll struct{ Attempt uint64 }

// SourceChanged reports that another source is polled for updates.
type SourceChanged struct {
	From, To string
	Reason   ChangeReason
}

// ChangeReason tells why a Poller left a source.
type ChangeReason string

// The reasons.
const (
	FirstSource  ChangeReason = "first source"
	SourceFailed ChangeReason = "it does not answer"
	SourceStale  ChangeReason = "its copy is stale"
	SourceFar    ChangeReason = "a closer one is current"
)

func (Poll) isPollEffect()          {}
func (CancelPoll) isPollEffect()    {}
func (SourceChanged) isPollEffect() {}
func (Wake) isPollEffect()          {}

// PollerConfig holds the settings of a Poller.
type PollerConfig struct {
	// Domain is the failure domain of this host; its control hosts are preferred.
	Domain ident.Domain
	// Seed must differ between hosts, so that their random choices do.
	Seed uint64
}

// Poller chooses the control host that an entry host polls for updates. It polls
// one source at a time. When that does not answer or its copy is older than
// StaleAge, it probes the others and changes to one whose copy is current. It
// returns to a source of a better tier once that is current again. While no copy
// is current it stays where it is. It is not safe for concurrent use.
type Poller struct {
	sources
	current *source
	// currentStale is set once an answer of the current source was stale.
	currentStale bool
	polls        map[uint64]*source
	lastID       uint64
	probeAt      ident.Instant
	failbackAt   ident.Instant
	effects      []PollEffect
}

// NewPoller returns a Poller without sources.
func NewPoller(cfg PollerConfig) *Poller {
	return &Poller{
		sources: newSources(cfg.Domain, cfg.Seed, pollRetryInterval),
		polls:   make(map[uint64]*source),
	}
}

// Current returns the address of the source that is polled, or an empty string.
func (p *Poller) Current() string {
	if p.current == nil {
		return ""
	}
	return p.current.Address
}

// Step applies one event at the time now and returns the effects to carry out.
// Results of cancelled polls are ignored.
func (p *Poller) Step(now ident.Instant, event PollEvent) []PollEffect {
	p.effects = nil
	switch e := event.(type) {
	case ControlsChanged:
		p.replace(ownDomainControl, e.Controls)
		p.leaveRemovedSource(now)
		p.failbackAt = now
	case SeedsChanged:
		list := make([]Source, 0, len(e.Seeds))
		for _, s := range e.Seeds {
			list = append(list, Source{Address: s})
		}
		p.replace(seed, list)
		p.leaveRemovedSource(now)
	case PollAnswered:
		if s := p.takePoll(e.Attempt); s != nil {
			p.onAnswered(now, s, e)
		}
	case PollFailed:
		if s := p.takePoll(e.Attempt); s != nil {
			p.onFailed(now, s)
		}
	case Ticked:
	}
	p.act(now)
	p.emit(Wake{At: p.nextWake(now)})
	return p.effects
}

func (p *Poller) emit(e PollEffect) { p.effects = append(p.effects, e) }

func (p *Poller) takePoll(attempt uint64) *source {
	s := p.polls[attempt]
	delete(p.polls, attempt)
	return s
}

// act starts the polls that are due.
func (p *Poller) act(now ident.Instant) {
	if p.current == nil {
		if s := p.choose(now); s != nil {
			p.change(now, s, FirstSource)
		}
	}
	if p.current == nil {
		return
	}
	if p.currentStale && now >= p.probeAt {
		p.probeOthers(now)
	}
	if now >= p.failbackAt {
		p.failbackAt = now.Add(failbackInterval)
		for _, tier := range []int{ownDomainControl, otherDomainControl} {
			if s := p.next(tier); s != nil && tier < p.current.tier && !p.polling(s) {
				p.poll(s, true)
			}
		}
	}
}

// change makes s the current source and polls it. Other polls are cancelled.
func (p *Poller) change(now ident.Instant, s *source, reason ChangeReason) {
	for _, id := range slices.Sorted(maps.Keys(p.polls)) {
		p.emit(CancelPoll{Attempt: id})
	}
	clear(p.polls)
	p.emit(SourceChanged{
		From:   p.Current(),
		To:     s.Address,
		Reason: reason,
	})
	p.current, p.currentStale = s, false
	p.failbackAt = now.Add(failbackInterval)
	p.poll(s, true)
}

func (p *Poller) poll(s *source, atOnce bool) {
	p.lastID++
	p.polls[p.lastID] = s
	p.emit(Poll{
		Attempt: p.lastID,
		To:      s.Address,
		AtOnce:  atOnce,
	})
}

func (p *Poller) polling(s *source) bool {
	for _, o := range p.polls {
		if o == s {
			return true
		}
	}
	return false
}

// probeOthers polls the other sources, ejected ones too: an ejection may outlast
// the time in which a change must be in force. Seeds are probed only if no
// control host is known.
func (p *Poller) probeOthers(now ident.Instant) {
	p.probeAt = now.Add(probeInterval)
	tiers := []int{ownDomainControl, otherDomainControl}
	if p.next(ownDomainControl) == nil && p.next(otherDomainControl) == nil {
		tiers = []int{seed}
	}
	for _, tier := range tiers {
		for _, s := range p.list {
			if s.tier == tier && s != p.current && !p.polling(s) && len(p.polls) <= maxProbes {
				p.poll(s, true)
			}
		}
	}
}

func (p *Poller) onAnswered(now ident.Instant, s *source, e PollAnswered) {
	stale := !e.Confirmed || now.Sub(e.ConfirmedAt) > StaleAge
	switch {
	case s == p.current:
		p.currentStale = stale
		if !stale {
			p.readmit(s)
		}
		p.poll(s, false)
	case p.current == nil:
		p.change(now, s, FirstSource)
	case stale:
	case p.currentStale:
		p.readmit(s)
		p.change(now, s, SourceStale)
	case s.tier < p.current.tier:
		p.readmit(s)
		p.change(now, s, SourceFar)
	}
}

// onFailed ejects a source. If it was the current one, the next one is polled
// and the others are probed, since that one may have failed as well.
func (p *Poller) onFailed(now ident.Instant, s *source) {
	p.eject(now, s)
	if s != p.current {
		return
	}
	next := p.choose(now)
	if next == nil {
		p.emit(SourceChanged{
			From:   s.Address,
			Reason: SourceFailed,
		})
		p.current = nil
		return
	}
	p.change(now, next, SourceFailed)
	p.currentStale, p.probeAt = true, now
}

// leaveRemovedSource leaves a source that is no longer listed.
func (p *Poller) leaveRemovedSource(now ident.Instant) {
	for _, id := range slices.Sorted(maps.Keys(p.polls)) {
		if !slices.Contains(p.list, p.polls[id]) {
			p.emit(CancelPoll{Attempt: id})
			delete(p.polls, id)
		}
	}
	if p.current == nil || slices.Contains(p.list, p.current) {
		return
	}
	if s := p.choose(now); s != nil {
		p.change(now, s, SourceFailed)
		return
	}
	p.current = nil
}

// nextWake returns the next time at which act has something to do.
func (p *Poller) nextWake(now ident.Instant) ident.Instant {
	if p.current == nil {
		return max(now.Add(pollRetryInterval), p.retryAt)
	}
	at := p.failbackAt
	if p.currentStale {
		at = min(at, p.probeAt)
	}
	return max(now, at)
}
