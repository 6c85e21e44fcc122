package replay

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// EngineBroken lists the figures of the engine that must be zero.
var EngineBroken = []string{
	"MixedAnswers", "FalseCoverages", "NotRunSent", "WrongReplies", "LateReplies", "Open",
	"SendsRetired", "SendsDraining", "SendsCutOff", "SendsUnasked", "RunsWhileDraining",
}

// seenQuery is a query without an answer.
type seenQuery struct {
	request  ident.RequestID
	limit    int
	deadline ident.Instant
	draining bool
	sends    int
	answers  map[ident.IndexVersion]map[ident.Shard][]engine.Document
}

type engineWatch struct {
	*figures
	config   engine.Config
	state    *config.State
	seat     engine.Seat
	draining bool
	health   map[ident.Upstream]engine.Health
	queries  map[ident.QueryID]*seenQuery
	sends    map[ident.AttemptID]engine.Send
}

func watchEngine(c engine.Config) watch[engine.Event, engine.Effect] {
	w := &engineWatch{
		figures: newFigures(append([]string{
			"Done", "Partial", "NotRun", "Hedges", "Retries", "Cancels", "BadAnswers", "StaleConfigs", "Version", "Failures",
			"MissingTimedOut", "MissingShed", "MissingLost", "MissingCutOff", "MissingVersionGone",
		}, EngineBroken...)...),
		config:  c,
		state:   config.NewState(),
		health:  make(map[ident.Upstream]engine.Health),
		queries: make(map[ident.QueryID]*seenQuery),
		sends:   make(map[ident.AttemptID]engine.Send),
	}
	return watch[engine.Event, engine.Effect]{
		figures: w.figures,
		see:     w.see,
	}
}

func (w *engineWatch) see(now ident.Instant, ev engine.Event, effects []engine.Effect) {
	w.event(now, ev)
	for _, ef := range effects {
		switch ef := ef.(type) {
		case engine.Send:
			w.send(ef)
		case engine.Cancel:
			w.add("Cancels")
		case engine.Reply:
			w.reply(now, ef)
		default:
		}
	}
	w.set("Open", int64(len(w.queries)))
}

func (w *engineWatch) event(now ident.Instant, ev engine.Event) {
	switch ev := ev.(type) {
	case engine.QueryArrived:
		limit := w.state.Preset().Limits(ev.Class).DeadlineMillis.Duration()
		if ev.Budget > 0 {
			limit = min(limit, ev.Budget)
		}
		w.queries[ev.Query] = &seenQuery{
			request:  ev.Request,
			limit:    ev.Limit,
			deadline: now.Add(limit),
			draining: w.draining,
			answers:  make(map[ident.IndexVersion]map[ident.Shard][]engine.Document),
		}
	case engine.AttemptAnswered:
		w.answered(ev)
	case engine.AttemptFailed:
		w.add("Failures")
		delete(w.sends, ev.Attempt)
	case engine.UpstreamReported:
		w.health[ev.Upstream] = ev.Health
	case engine.ConfigApplied:
		if ev.State.Version.Less(w.state.Version) {
			w.add("StaleConfigs")
			return
		}
		w.state = ev.State
		w.set("Version", int64(ev.State.Version.Number))
	case engine.SeatChanged:
		w.seat = ev.Seat
	case engine.DrainStarted:
		w.draining = true
	default:
	}
}

// answered keeps an answer that agrees with its attempt in every field.
func (w *engineWatch) answered(ev engine.AttemptAnswered) {
	s, ok := w.sends[ev.Attempt]
	a := ev.Answer
	delete(w.sends, ev.Attempt)
	if !ok || a.Attempt != s.Attempt || a.Request != s.Request || a.Shard != s.Shard || a.Version != s.Version {
		w.add("BadAnswers")
		return
	}
	q := w.queries[s.Query]
	if q == nil {
		return
	}
	if q.answers[a.Version] == nil {
		q.answers[a.Version] = make(map[ident.Shard][]engine.Document)
	}
	if _, again := q.answers[a.Version][a.Shard]; !again {
		q.answers[a.Version][a.Shard] = a.Documents
	}
}

func (w *engineWatch) send(s engine.Send) {
	w.sends[s.Attempt] = s
	w.addIf(s.Reason == engine.Hedge, "Hedges")
	w.addIf(s.Reason == engine.Retry, "Retries")
	u, ok := w.state.FindUpstream(s.Upstream)
	w.addIf(!ok || u.Phase == config.Retiring, "SendsRetired")
	w.addIf(w.health[s.Upstream] == engine.HealthDraining, "SendsDraining")
	foreign := w.seat == engine.SeatExpired && u.Domain != w.config.Domain
	w.addIf(foreign || w.seat == engine.SeatNone, "SendsCutOff")
	q := w.queries[s.Query]
	if q == nil || q.request != s.Request {
		w.add("SendsUnasked")
		return
	}
	q.sends++
}

func (w *engineWatch) reply(now ident.Instant, r engine.Reply) {
	q := w.queries[r.Query]
	delete(w.queries, r.Query)
	if q == nil || q.request != r.Request {
		w.add("WrongReplies")
		return
	}
	w.addIf(now > q.deadline, "LateReplies")
	w.addIf(q.draining && r.Outcome != engine.NotRun, "RunsWhileDraining")
	switch r.Outcome {
	case engine.NotRun:
		w.add("NotRun")
		w.addIf(q.sends > 0 || len(r.Documents) > 0, "NotRunSent")
		return
	case engine.Done:
		w.add("Done")
	case engine.Partial:
		w.add("Partial")
	default:
		w.add("WrongReplies")
	}
	w.coverage(q, r)
}

// coverage recomputes the answer from the shards that it claims to cover.
func (w *engineWatch) coverage(q *seenQuery, r engine.Reply) {
	c := r.Coverage
	missing := make(map[ident.Shard]bool)
	for _, m := range c.Missing {
		missing[m.Shard] = true
		reason := "Missing" + string(m.Reason)
		if w.byName[reason] == nil {
			reason = "FalseCoverages"
		}
		w.add(reason)
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
	w.addIf(covered != c.Answered || c.Asked != c.Answered+len(missing) || len(missing) != len(c.Missing) ||
		(r.Outcome == engine.Done) != (len(missing) == 0), "FalseCoverages")
	mixed := q.limit == 0 && len(want) != len(r.Documents)
	for _, d := range r.Documents {
		mixed = mixed || want[d.ID] != d
		delete(want, d.ID)
	}
	w.addIf(mixed, "MixedAnswers")
}
