package scene

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Executor starts events, and ends them when on is false.
type Executor interface {
	Do(ctx context.Context, e Event, on bool) error
}

// Execution is an executed start or end of an event.
type Execution struct {
	Event Event
	On    bool          // true for the start, false for the end
	At    time.Duration // since the start of the load
	// Problem is the error, empty on success.
	Problem string
}

// step is the planned start or end of an event.
type step struct {
	at    time.Duration
	event Event
	on    bool
	// started is closed when the start of the event has been executed; its end
	// waits for this, so that it cannot overtake the start.
	started chan struct{}
}

const undoTimeout = 10 * time.Second

// Play executes the events of a target at their times after start. It returns
// when all events have ended, or, if ctx is canceled, after ending those that
// are still active. notify is called for each execution and may be nil.
func (s *Scenario) Play(ctx context.Context, start time.Time, target string, executor Executor, notify func(Execution)) []Execution {
	p := &player{
		start:    start,
		executor: executor,
		notify:   notify,
	}
	var group sync.WaitGroup
	steps := s.steps(target)
	for i, st := range steps {
		if !sleep(ctx, time.Until(start.Add(st.at))) {
			group.Wait()
			p.undo(ctx, steps[:i], steps[i:])
			break
		}
		group.Go(func() {
			if st.on {
				defer close(st.started)
			} else {
				<-st.started
			}
			p.execute(ctx, st)
		})
	}
	group.Wait()
	slices.SortStableFunc(p.executions, func(a, b Execution) int { return cmp.Compare(a.At, b.At) })
	return p.executions
}

// player executes steps and records the executions.
type player struct {
	start    time.Time
	executor Executor
	notify   func(Execution)

	mu         sync.Mutex
	executions []Execution
}

func (p *player) execute(ctx context.Context, st step) {
	x := Execution{
		Event: st.event,
		On:    st.on,
		At:    time.Since(p.start),
	}
	// An event that is aborted by an interrupt has not failed.
	if err := p.executor.Do(ctx, st.event, st.on); err != nil && ctx.Err() == nil {
		x.Problem = err.Error()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions = append(p.executions, x)
	if p.notify != nil {
		p.notify(x)
	}
}

// undo ends the events that were active when the context was canceled. A
// RollOver or Move is left as it is, because its end would complete it.
func (p *player) undo(ctx context.Context, executed, remaining []step) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
	defer cancel()
	for _, st := range remaining {
		wasStarted := slices.ContainsFunc(executed, func(b step) bool { return b.on && b.started == st.started })
		endCompletes := st.event.Do == RollOver || st.event.Do == Move
		if !st.on && wasStarted && !endCompletes {
			p.execute(ctx, st)
		}
	}
}

// steps returns the starts and ends of the events of a target in time order.
// An event without ForMillis ends with the load. Mark has no end, and neither
// have RollOver and Move without ForMillis.
func (s *Scenario) steps(target string) []step {
	var list []step
	for _, e := range s.Events {
		if e.Target != "" && e.Target != target {
			continue
		}
		beginAt := (s.WarmupMillis + e.AtMillis).Duration()
		begin := step{
			at:      beginAt,
			event:   e,
			on:      true,
			started: make(chan struct{}),
		}
		list = append(list, begin)
		endAt := min(beginAt+e.ForMillis.Duration(), s.TotalDuration())
		if e.ForMillis == 0 {
			if e.Do == RollOver || e.Do == Move {
				continue
			}
			endAt = s.TotalDuration()
		}
		if e.Do != Mark {
			list = append(list, step{
				at:      endAt,
				event:   e,
				started: begin.started,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return list
}

// FirstFailure returns an error that names the first event that could not be
// executed, or nil. A run with such an event is not valid.
func FirstFailure(executions []Execution) error {
	for _, x := range executions {
		if x.Problem != "" {
			return errors.Errorf("event %q failed at %s: %s", x.Event.Title(), x.At.Round(time.Millisecond), x.Problem)
		}
	}
	return nil
}
