package scene

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Actor carries events out. Remote is one.
type Actor interface {
	Do(ctx context.Context, e Event, on bool) error
}

// Happened is an event as it was carried out; times count from the start of
// the load.
type Happened struct {
	Event Event
	On    bool
	At    time.Duration
	// Problem is empty if the event was carried out.
	Problem string
}

// step is the start or the end of an event.
type step struct {
	at    time.Duration
	event Event
	on    bool
}

const undoTimeout = 10 * time.Second

// Play carries out the events of a target from the start of the load on. It
// returns when the load is over or the context ends, after undoing what is
// still in force. tell is called for each step and may be nil.
func (s *Scenario) Play(ctx context.Context, start time.Time, target string, actor Actor, tell func(Happened)) []Happened {
	var mu sync.Mutex
	var all []Happened
	var group sync.WaitGroup
	do := func(ctx context.Context, st step) {
		h := Happened{
			Event: st.event,
			On:    st.on,
			At:    time.Since(start),
		}
		if err := actor.Do(ctx, st.event, st.on); err != nil {
			h.Problem = err.Error()
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, h)
		if tell != nil {
			tell(h)
		}
	}
	steps := s.steps(target)
	for i, st := range steps {
		if !pause(ctx, time.Until(start.Add(st.at))) {
			s.undo(steps[:i], steps[i:], do)
			break
		}
		group.Go(func() { do(ctx, st) })
	}
	group.Wait()
	slices.SortStableFunc(all, func(a, b Happened) int { return cmp.Compare(a.At, b.At) })
	return all
}

// undo ends the events that were started and not ended when the context ended.
func (s *Scenario) undo(began, rest []step, do func(context.Context, step)) {
	ctx, cancel := context.WithTimeout(context.Background(), undoTimeout)
	defer cancel()
	for _, st := range rest {
		started := slices.ContainsFunc(began, func(b step) bool { return b.on && b.event == st.event })
		completes := st.event.Do == RollOver || st.event.Do == Move
		if !st.on && started && !completes {
			do(ctx, st)
		}
	}
}

// steps returns the starts and ends of the events of a target in time order.
// An event without ForMillis ends with the load; Mark has no end, and neither
// has a RollOver without ForMillis.
func (s *Scenario) steps(target string) []step {
	var list []step
	for _, e := range s.Events {
		if e.Target != "" && e.Target != target {
			continue
		}
		begin := (s.WarmupMillis + e.AtMillis).Duration()
		list = append(list, step{at: begin, event: e, on: true})
		end := min(begin+e.ForMillis.Duration(), s.Whole())
		if e.ForMillis == 0 {
			if e.Do == RollOver || e.Do == Move {
				continue
			}
			end = s.Whole()
		}
		if e.Do != Mark {
			list = append(list, step{at: end, event: e, on: false})
		}
	}
	slices.SortStableFunc(list, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return list
}

// Problem returns an error that names the events that could not be carried
// out, or nil. A run with such events proves nothing.
func Problem(all []Happened) error {
	for _, h := range all {
		if h.Problem != "" {
			return errors.Errorf("event %q could not be carried out at %s: %s", h.Event.Title(), h.At.Round(time.Millisecond), h.Problem)
		}
	}
	return nil
}
