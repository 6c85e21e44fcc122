package leaf

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Stats counts what happened since the start of the upstream.
type Stats struct {
	Upstream ident.Upstream `json:"Upstream"`
	// Requests counts searches and filings that arrived, Runs searches that
	// got a slot, Answered searches that were answered in full.
	Requests    uint64 `json:"Requests"`
	Filings     uint64 `json:"Filings"` // filings among Requests
	Runs        uint64 `json:"Runs"`
	Answered    uint64 `json:"Answered"`
	Cancelled   uint64 `json:"Cancelled"` // sender went away while waiting or running
	TimedOut    uint64 `json:"TimedOut"`  // deadline passed while waiting or running
	Shed        uint64 `json:"Shed"`
	Drained     uint64 `json:"Drained"`  // refused because the upstream drains
	LateWork    uint64 `json:"LateWork"` // requests more than 2 s after the start of a drain
	VersionGone uint64 `json:"VersionGone"`
	WrongShard  uint64 `json:"WrongShard"`
	Malformed   uint64 `json:"Malformed"`
	Probes      uint64 `json:"Probes"`
	FilingRuns  uint64 `json:"FilingRuns"`
	// WrongAnswers counts the wrong answers made by faults.
	WrongAnswers uint64 `json:"WrongAnswers"`
	// DrainedAt and LastRequest allow to check that a leaving upstream gets no work.
	DrainedAt    time.Time `json:"DrainedAt"`
	LastRequest  time.Time `json:"LastRequest"`
	Running      int       `json:"Running"`
	Waiting      int       `json:"Waiting"`
	PeakRunning  int       `json:"PeakRunning"`
	OpenConns    int       `json:"OpenConns"`
	PeakConns    int       `json:"PeakConns"` // with those refused
	OpenedConns  uint64    `json:"OpenedConns"`
	RefusedConns uint64    `json:"RefusedConns"`
}

// Filed counts how often a filing ran.
type Filed struct {
	Request ident.RequestID `json:"Request"`
	Runs    int             `json:"Runs"`
}

// sample is the load at a time, kept for lagging reports.
type sample struct {
	at   time.Time
	load engine.Load
}

// Stats returns the counts so far.
func (l *Leaf) Stats() Stats {
	l.mu.Lock()
	s := l.tally
	l.mu.Unlock()
	s.Upstream = l.cfg.Upstream.ID
	l.slots.fill(&s)
	l.listener.fill(&s)
	return s
}

// Filings returns the number of runs for each request id, sorted by id.
func (l *Leaf) Filings() []Filed {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Filed, 0, len(l.filings))
	for id, runs := range l.filings {
		list = append(list, Filed{
			Request: id,
			Runs:    runs,
		})
	}
	slices.SortFunc(list, func(a, b Filed) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// count changes the counters under the lock.
func (l *Leaf) count(change func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.tally)
}

func (l *Leaf) countKind(kind engine.FailKind) {
	l.count(func(s *Stats) {
		switch kind {
		case engine.Shed:
			s.Shed++
		case engine.Draining:
			s.Drained++
		case engine.VersionGone:
			s.VersionGone++
		case engine.WrongShard:
			s.WrongShard++
		case engine.TimedOut:
			s.TimedOut++
		case engine.Malformed:
			s.Malformed++
		}
	})
}

// sampleLoad keeps the load of the last ReportLag.
func (l *Leaf) sampleLoad(ctx context.Context) error {
	tick := time.NewTicker(l.cfg.ReportLag / (historyKept / 2))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			load := l.slots.load()
			l.mu.Lock()
			l.history = append(l.history, sample{
				at:   now,
				load: load,
			})
			if len(l.history) > historyKept {
				l.history = slices.Delete(l.history, 0, len(l.history)-historyKept)
			}
			l.mu.Unlock()
		}
	}
}

// reported is the load that the upstream claims to have.
func (l *Leaf) reported() engine.Load {
	if l.Faults().Misleading {
		return engine.Load{}
	}
	if l.cfg.ReportLag == 0 {
		return l.slots.load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-l.cfg.ReportLag)
	var load engine.Load
	for _, s := range l.history {
		if s.at.After(limit) {
			break
		}
		load = s.load
	}
	return load
}
