package host

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// call is what every caller request has.
type call struct {
	id    ident.RequestID
	named bool // the caller gave the id
	span  *span.Span
	began time.Time
}

// fault is a request that was refused because of its form.
type fault struct {
	status int
	remedy string
}

func badRequest(remedy string) *fault {
	return &fault{
		status: http.StatusBadRequest,
		remedy: remedy,
	}
}

// newFault keeps the message of a decoder, which names the field and the remedy.
func newFault(err error) *fault {
	f := badRequest(err.Error())
	var bad *wire.Error
	if errors.As(err, &bad) {
		f.status = bad.Status()
		if bad.Kind == wire.ReadFailed && errors.Is(bad, os.ErrDeadlineExceeded) {
			f.status = http.StatusRequestTimeout
		}
	}
	return f
}

// begin reads the headers that all requests share. The call always has an id:
// an id that is not valid is replaced, so that it is never echoed.
func (h *Host) begin(r *http.Request) (*call, *fault) {
	id, err := wire.RequestIDFrom(r.Header)
	c := &call{
		id:    id,
		named: id != "" && err == nil,
		began: time.Now(),
	}
	if !c.named {
		c.id = ident.RequestID(uuid.NewString())
	}
	c.span = h.config.Tracer.Caller(wire.TraceFrom(r.Header), c.id)
	if err != nil {
		return c, newFault(err)
	}
	return c, nil
}

// decodeBody reads a body within the body timeout. The read deadline is lifted
// afterwards: net/http watches the connection during the query, and a deadline
// that passes then would look like a caller that left.
func decodeBody[T any](h *Host, w http.ResponseWriter, r *http.Request, limit int, out *T) *fault {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(h.config.BodyTimeout))
	err := wire.Strict(http.MaxBytesReader(w, r.Body, int64(limit)+1), limit, out)
	if err != nil {
		return newFault(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return nil
}

// parseSearch reads a search into the engine's event.
func (h *Host) parseSearch(w http.ResponseWriter, r *http.Request, c *call) (engine.QueryArrived, *fault) {
	ev := engine.QueryArrived{Request: c.id}
	var req wire.SearchRequest
	if f := decodeBody(h, w, r, min(h.config.MaxBody, wire.MaxSearchBytes), &req); f != nil {
		return ev, f
	}
	err := req.FillFrom(r.Header)
	if err == nil {
		err = req.Check()
	}
	if err != nil {
		return ev, newFault(err)
	}
	ev.Class = preset.Standard
	if req.Class != "" {
		ev.Class, err = preset.ParseClass(req.Class)
		if err != nil {
			return ev, newFault(err)
		}
	}
	ev.Index, ev.Terms, ev.Limit = req.Index, req.Terms, req.Limit
	ev.Budget = req.DeadlineMillis.Duration()
	return ev, nil
}

// parseFiling reads a filing and the time that its caller gives.
func (h *Host) parseFiling(w http.ResponseWriter, r *http.Request, c *call) (wire.FilingRequest, time.Duration, *fault) {
	var req wire.FilingRequest
	if f := decodeBody(h, w, r, min(h.config.MaxBody, wire.MaxFilingBytes), &req); f != nil {
		return req, 0, f
	}
	if !c.named {
		return req, 0, badRequest(fmt.Sprintf("header %s is missing: name the filing, so that sending it again cannot run it twice", wire.HeaderRequestID))
	}
	var times wire.SearchRequest
	err := times.FillFrom(r.Header)
	if err == nil {
		err = req.Check()
	}
	if err != nil {
		return req, 0, newFault(err)
	}
	return req, min(orDefault(times.DeadlineMillis.Duration(), filingLimit), filingLimit), nil
}
