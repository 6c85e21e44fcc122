package load

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

type leafStats = leaf.Stats

// request is one planned request.
type request struct {
	flow     scene.Flow
	id       ident.RequestID
	terms    string
	intended time.Time
	resend   bool
}

const (
	// lateSlack is allowed for the way to the caller after the deadline.
	lateSlack       = 50 * time.Millisecond
	answerGrace     = 2 * time.Second // after the deadline, until the tool gives up
	defaultDeadline = 10 * time.Second
	maxResends      = 2
)

// Reasons for requests without an answer.
const (
	NoAnswer  = "NoAnswer"  // nothing came within the deadline and some grace
	NoConnect = "NoConnect" // no entry host took the connection
	Broken    = "Broken"    // the connection broke before the answer was complete
	BadAnswer = "BadAnswer" // the answer could not be decoded
	NotSent   = "NotSent"   // the tool had too many requests in flight
)

func (r request) deadline() time.Duration {
	if r.flow.DeadlineMillis > 0 {
		return r.flow.DeadlineMillis.Duration()
	}
	return defaultDeadline
}

func (d *driver) sample(r request) result.Sample {
	return result.Sample{
		Request:  r.id,
		Flow:     r.flow.Name,
		Class:    r.flow.Class,
		Intended: r.intended.Sub(d.begin),
		Filing:   r.flow.Filing,
	}
}

func (d *driver) notSent(r request) result.Sample {
	s := d.sample(r)
	s.Failure = NotSent
	s.NotSent = true
	return s
}

// send sends a request, verifies its answer and records it. An interrupt
// stops new requests only, so that those in flight are still measured.
func (d *driver) send(ctx context.Context, r request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.deadline()+answerGrace)
	defer cancel()
	s := d.sample(r)
	start := time.Now()
	s.Lag = start.Sub(r.intended)
	if r.flow.Filing {
		d.file(ctx, r, &s)
	} else {
		d.search(ctx, r, &s)
	}
	s.Late = r.flow.DeadlineMillis > 0 && s.Latency-s.Lag > r.deadline()+lateSlack
	d.rec.Add(s)
}

func (d *driver) search(ctx context.Context, r request, s *result.Sample) {
	asked := check.Query{
		Request: r.id,
		Search: wire.SearchRequest{
			Index:          r.flow.Index,
			Terms:          r.terms,
			Limit:          r.flow.Limit,
			Class:          r.flow.Class.String(),
			DeadlineMillis: r.flow.DeadlineMillis,
		},
	}
	answer, err := d.asker.Search(ctx, r.id, asked.Search)
	s.Latency = time.Since(r.intended)
	if err != nil {
		s.Failure = failure(ctx, err)
		return
	}
	s.Outcome = answer.Outcome
	s.Coverage = answer.Coverage
	s.Violations = d.truth.CheckSearch(asked, answer)
	if answer.Outcome == engine.NotRun {
		d.mu.Lock()
		d.refused = append(d.refused, refusal{
			id:    r.id,
			index: r.flow.Index,
			at:    time.Now(),
		})
		d.mu.Unlock()
	}
}

// file sends a filing. A caller that gets no answer, or Unknown, sends it again
// under the same id; only the first answer is measured.
func (d *driver) file(ctx context.Context, r request, s *result.Sample) {
	body := wire.FilingRequest{
		Index: r.flow.Index,
		Body:  "letter " + string(r.id) + " for " + r.terms,
	}
	f := check.Filing{Request: r.id}
	for try := 0; ; try++ {
		answer, err := d.asker.File(ctx, r.id, body)
		if try == 0 {
			s.Latency = time.Since(r.intended)
			s.Outcome = answer.Outcome
			if err != nil {
				s.Failure = failure(ctx, err)
			}
		}
		if err == nil {
			f.Outcomes = append(f.Outcomes, answer.Outcome)
			if answer.RequestID != r.id {
				s.Violations = append(s.Violations, check.Violation{
					Kind:    check.WrongRequest,
					Request: r.id,
					Detail:  "filing answer carries request id " + string(answer.RequestID),
				})
			}
		}
		again := err != nil || answer.Outcome == engine.Unknown || (r.resend && try == 0)
		if !again || try >= maxResends || ctx.Err() != nil {
			break
		}
	}
	d.mu.Lock()
	d.filings = append(d.filings, f)
	d.mu.Unlock()
}

// failure names the reason why there is no answer.
func failure(ctx context.Context, err error) string {
	var decode *wire.Error
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return NoAnswer
	case errors.As(err, &decode) && decode.Kind != wire.ReadFailed:
		return BadAnswer
	case errors.As(err, &op) && op.Op == "dial":
		return NoConnect
	}
	return Broken
}
