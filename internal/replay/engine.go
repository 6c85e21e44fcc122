package replay

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// EngineViolations lists the figures that count violations of the engine's
// guarantees and must be zero. SendsUnasked counts attempts that belong to no
// open query, SendsCutOff attempts that the seat of the host does not permit.
var EngineViolations = []string{
	"MixedAnswers", "FalseCoverages", "NotRunSent", "WrongReplies", "LateReplies", "Open",
	"SendsRetired", "SendsDraining", "SendsCutOff", "SendsUnasked", "RunsWhileDraining",
}

// pendingQuery is a query that has no reply yet.
type pendingQuery struct {
	request  ident.RequestID
	limit    int
	deadline ident.Instant
	draining bool
	sends    int
	answers  map[ident.IndexVersion]map[ident.Shard][]engine.Document
}

type engineMonitor struct {
	*figures
	config   engine.Config
	state    *config.State
	seat     engine.Seat
	draining bool
	health   map[ident.Upstream]engine.Health
	queries  map[ident.QueryID]*pendingQuery
	sends    map[ident.AttemptID]engine.Send
}

func monitorEngine(c engine.Config) monitor[engine.Event, engine.Effect] {
	m := &engineMonitor{
		figures: newFigures(append([]string{
			"Done", "Partial", "NotRun", "Hedges", "Retries", "Cancels", "BadAnswers", "StaleConfigs", "Version", "Failures",
			"MissingTimedOut", "MissingShed", "MissingLost", "MissingCutOff", "MissingVersionGone",
		}, EngineViolations...)...),
		config:  c,
		state:   config.NewState(),
		health:  make(map[ident.Upstream]engine.Health),
		queries: make(map[ident.QueryID]*pendingQuery),
		sends:   make(map[ident.AttemptID]engine.Send),
	}
	return monitor[engine.Event, engine.Effect]{
		figures: m.figures,
		observe: m.observe,
	}
}

func (m *engineMonitor) observe(now ident.Instant, ev engine.Event, effects []engine.Effect) {
	m.applyEvent(now, ev)
	for _, ef := range effects {
		switch ef := ef.(type) {
		case engine.Send:
			m.checkSend(ef)
		case engine.Cancel:
			m.add("Cancels")
		case engine.Reply:
			m.checkReply(now, ef)
		default:
		}
	}
	m.set("Open", int64(len(m.queries)))
}

func (m *engineMonitor) applyEvent(now ident.Instant, ev engine.Event) {
	switch ev := ev.(type) {
	case engine.QueryArrived:
		limit := m.state.Preset().Limits(ev.Class).DeadlineMillis.Duration()
		if ev.Budget > 0 {
			limit = min(limit, ev.Budget)
		}
		m.queries[ev.Query] = &pendingQuery{
			request:  ev.Request,
			limit:    ev.Limit,
			deadline: now.Add(limit),
			draining: m.draining,
			answers:  make(map[ident.IndexVersion]map[ident.Shard][]engine.Document),
		}
	case engine.AttemptAnswered:
		m.recordAnswer(ev)
	case engine.AttemptFailed:
		m.add("Failures")
		delete(m.sends, ev.Attempt)
	case engine.UpstreamReported:
		m.health[ev.Upstream] = ev.Health
	case engine.ConfigApplied:
		if ev.State.Version.Less(m.state.Version) {
			m.add("StaleConfigs")
			return
		}
		m.state = ev.State
		m.set("Version", int64(ev.State.Version.Number))
	case engine.SeatChanged:
		m.seat = ev.Seat
	case engine.DrainStarted:
		m.draining = true
	default:
	}
}

// recordAnswer stores an answer if it matches its attempt in every field.
func (m *engineMonitor) recordAnswer(ev engine.AttemptAnswered) {
	s, ok := m.sends[ev.Attempt]
	a := ev.Answer
	delete(m.sends, ev.Attempt)
	if !ok || a.Attempt != s.Attempt || a.Request != s.Request || a.Shard != s.Shard || a.Version != s.Version {
		m.add("BadAnswers")
		return
	}
	q := m.queries[s.Query]
	if q == nil {
		return
	}
	if q.answers[a.Version] == nil {
		q.answers[a.Version] = make(map[ident.Shard][]engine.Document)
	}
	if _, duplicate := q.answers[a.Version][a.Shard]; !duplicate {
		q.answers[a.Version][a.Shard] = a.Documents
	}
}

func (m *engineMonitor) checkSend(s engine.Send) {
	m.sends[s.Attempt] = s
	m.addIf(s.Reason == engine.Hedge, "Hedges")
	m.addIf(s.Reason == engine.Retry, "Retries")
	u, ok := m.state.FindUpstream(s.Upstream)
	m.addIf(!ok || u.Phase == config.Retiring, "SendsRetired")
	m.addIf(m.health[s.Upstream] == engine.HealthDraining, "SendsDraining")
	otherDomain := m.seat == engine.SeatExpired && u.Domain != m.config.Domain
	m.addIf(otherDomain || m.seat == engine.SeatNone, "SendsCutOff")
	q := m.queries[s.Query]
	if q == nil || q.request != s.Request {
		m.add("SendsUnasked")
		return
	}
	q.sends++
}

func (m *engineMonitor) checkReply(now ident.Instant, r engine.Reply) {
	q := m.queries[r.Query]
	delete(m.queries, r.Query)
	if q == nil || q.request != r.Request {
		m.add("WrongReplies")
		return
	}
	m.addIf(now > q.deadline, "LateReplies")
	m.addIf(q.draining && r.Outcome != engine.NotRun, "RunsWhileDraining")
	switch r.Outcome {
	case engine.NotRun:
		m.add("NotRun")
		m.addIf(q.sends > 0 || len(r.Documents) > 0, "NotRunSent")
		return
	case engine.Done:
		m.add("Done")
	case engine.Partial:
		m.add("Partial")
	default:
		m.add("WrongReplies")
	}
	m.checkCoverage(q, r)
}

// checkCoverage recomputes the reply from the answers of the shards that it
// claims to cover.
func (m *engineMonitor) checkCoverage(q *pendingQuery, r engine.Reply) {
	c := r.Coverage
	missing := make(map[ident.Shard]bool)
	for _, part := range c.Missing {
		missing[part.Shard] = true
		reason := "Missing" + string(part.Reason)
		if m.byName[reason] == nil {
			reason = "FalseCoverages"
		}
		m.add(reason)
	}
	covered := 0
	want := make(map[string]engine.Document)
	for shard, docs := range q.answers[r.Version] {
		if missing[shard] {
			continue
		}
		covered++
		for _, d := range docs {
			if old, ok := want[d.ID]; !ok || old.Revision < d.Revision {
				want[d.ID] = d
			}
		}
	}
	m.addIf(covered != c.Answered || c.Asked != c.Answered+len(missing) || len(missing) != len(c.Missing) ||
		(r.Outcome == engine.Done) != (len(missing) == 0), "FalseCoverages")
	mixed := q.limit == 0 && len(want) != len(r.Documents)
	for _, d := range r.Documents {
		mixed = mixed || want[d.ID] != d
		delete(want, d.ID)
	}
	m.addIf(mixed, "MixedAnswers")
}
