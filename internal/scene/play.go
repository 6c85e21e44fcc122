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
	// begun is closed when the start of the event is done, so that its end
	// never overtakes it.
	begun chan struct{}
}

const undoTimeout = 10 * time.Second

// Play carries out the events of a target from the start of the load on. It
// returns when the load is over or the context ends, after undoing what is
// still in force. tell is called for each step and may be nil.
func (s *Scenario) Play(ctx context.Context, start time.Time, target string, actor Actor, tell func(Happened)) []Happened {
	p := &player{
		start: start,
		actor: actor,
		tell:  tell,
	}
	var group sync.WaitGroup
	steps := s.steps(target)
	for i, st := range steps {
		if !pause(ctx, time.Until(start.Add(st.at))) {
			group.Wait()
			p.undo(ctx, steps[:i], steps[i:])
			break
		}
		group.Go(func() {
			if st.on {
				defer close(st.begun)
			} else {
				<-st.begun
			}
			p.do(ctx, st)
		})
	}
	group.Wait()
	slices.SortStableFunc(p.all, func(a, b Happened) int { return cmp.Compare(a.At, b.At) })
	return p.all
}

// player carries steps out and remembers what happened.
type player struct {
	start time.Time
	actor Actor
	tell  func(Happened)

	mu  sync.Mutex
	all []Happened
}

func (p *player) do(ctx context.Context, st step) {
	h := Happened{
		Event: st.event,
		On:    st.on,
		At:    time.Since(p.start),
	}
	// An interrupt is no failure of the event that it stops half-way.
	if err := p.actor.Do(ctx, st.event, st.on); err != nil && ctx.Err() == nil {
		h.Problem = err.Error()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, h)
	if p.tell != nil {
		p.tell(h)
	}
}

// undo ends the events that were started and not ended when the context
// ended. A roll-over or move is left as it is.
func (p *player) undo(ctx context.Context, began, rest []step) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
	defer cancel()
	for _, st := range rest {
		started := slices.ContainsFunc(began, func(b step) bool { return b.on && b.begun == st.begun })
		completes := st.event.Do == RollOver || st.event.Do == Move
		if !st.on && started && !completes {
			p.do(ctx, st)
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
		first := step{
			at:    begin,
			event: e,
			on:    true,
			begun: make(chan struct{}),
		}
		list = append(list, first)
		end := min(begin+e.ForMillis.Duration(), s.Whole())
		if e.ForMillis == 0 {
			if e.Do == RollOver || e.Do == Move {
				continue
			}
			end = s.Whole()
		}
		if e.Do != Mark {
			list = append(list, step{
				at:    end,
				event: e,
				begun: first.begun,
			})
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
