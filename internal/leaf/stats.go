package leaf

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Stats holds the counters and gauges of an upstream. The counters start at 0
// in New; Reset does not clear them.
type Stats struct {
	Upstream ident.Upstream `json:"Upstream"`
	// Requests counts the searches and filings received, Runs the searches that
	// got a slot, Answered the searches whose complete answer was sent.
	Requests  uint64 `json:"Requests"`
	Filings   uint64 `json:"Filings"` // filings among Requests
	Runs      uint64 `json:"Runs"`
	Answered  uint64 `json:"Answered"`
	Cancelled uint64 `json:"Cancelled"` // sender disconnected while the request waited or ran
	TimedOut  uint64 `json:"TimedOut"`  // deadline exceeded while the request waited or ran
	Shed      uint64 `json:"Shed"`
	Drained   uint64 `json:"Drained"`  // rejected because the upstream is draining
	LateWork  uint64 `json:"LateWork"` // requests received more than 2 s after a drain began
	// OverRate counts the searches beyond what the limit tolerates that answers
	// name, see Faults.PerSecond.
	OverRate uint64 `json:"OverRate"`
	// CrashedAt are the times at which a search ended the upstream, see
	// Faults.CrashTerms.
	CrashedAt   []time.Time `json:"CrashedAt,omitempty"`
	VersionGone uint64      `json:"VersionGone"`
	WrongShard  uint64      `json:"WrongShard"`
	Malformed   uint64      `json:"Malformed"`
	Probes      uint64      `json:"Probes"`
	FilingRuns  uint64      `json:"FilingRuns"`
	// WrongAnswers counts the invalid answers caused by injected faults.
	WrongAnswers uint64 `json:"WrongAnswers"`
	// DrainedAt is the start of the last drain. With LastRequest it shows whether
	// a draining upstream still gets work.
	DrainedAt    time.Time `json:"DrainedAt"`
	LastRequest  time.Time `json:"LastRequest"`
	Running      int       `json:"Running"`
	Waiting      int       `json:"Waiting"`
	PeakRunning  int       `json:"PeakRunning"`
	OpenConns    int       `json:"OpenConns"`
	PeakConns    int       `json:"PeakConns"` // includes refused connections
	OpenedConns  uint64    `json:"OpenedConns"`
	RefusedConns uint64    `json:"RefusedConns"`
}

// FilingRuns is the number of times that a filing ran.
type FilingRuns struct {
	Request ident.RequestID `json:"Request"`
	Runs    int             `json:"Runs"`
}

// loadSample is the load at one time, kept for delayed load reports.
type loadSample struct {
	at   time.Time
	load engine.Load
}

// Stats returns the current counters and gauges.
func (l *Leaf) Stats() Stats {
	l.mu.Lock()
	s := l.stats
	s.CrashedAt = slices.Clone(s.CrashedAt)
	l.mu.Unlock()
	s.Upstream = l.cfg.Upstream.ID
	l.slots.fillStats(&s)
	l.listener.fillStats(&s)
	return s
}

// Filings returns the number of runs for each request id, sorted by id.
func (l *Leaf) Filings() []FilingRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]FilingRuns, 0, len(l.filings))
	for id, runs := range l.filings {
		list = append(list, FilingRuns{
			Request: id,
			Runs:    runs,
		})
	}
	slices.SortFunc(list, func(a, b FilingRuns) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

func (l *Leaf) count(change func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.stats)
}

func (l *Leaf) countFailure(kind engine.FailKind) {
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

// sampleLoad records the load periodically, so that reportedLoad can return the
// value of ReportLag ago. It keeps twice that time.
func (l *Leaf) sampleLoad(ctx context.Context) error {
	tick := time.NewTicker(l.cfg.ReportLag / (historySamples / 2))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			load := l.slots.load()
			l.mu.Lock()
			l.loadHistory = append(l.loadHistory, loadSample{
				at:   now,
				load: load,
			})
			if len(l.loadHistory) > historySamples {
				l.loadHistory = slices.Delete(l.loadHistory, 0, len(l.loadHistory)-historySamples)
			}
			l.mu.Unlock()
		}
	}
}

// reportedLoad returns the load for answers and health reports: zero with the
// fault Misleading, otherwise the load of ReportLag ago.
func (l *Leaf) reportedLoad() engine.Load {
	if l.Faults().Misleading {
		return engine.Load{}
	}
	if l.cfg.ReportLag == 0 {
		return l.slots.load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-l.cfg.ReportLag)
	var load engine.Load
	for _, s := range l.loadHistory {
		if s.at.After(cutoff) {
			break
		}
		load = s.load
	}
	return load
}
