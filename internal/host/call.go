package host

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// call is the state that searches and filings have in common.
type call struct {
	id          ident.RequestID
	hasCallerID bool // the caller supplied the id
	span        *span.Span
	startedAt   time.Time
}

// requestError is the answer to a request that is refused because it is invalid.
type requestError struct {
	status int
	remedy string
}

func badRequest(remedy string) *requestError {
	return &requestError{
		status: http.StatusBadRequest,
		remedy: remedy,
	}
}

// newRequestError keeps the message of a decoder, since it names the field and
// the remedy.
func newRequestError(err error) *requestError {
	reqErr := badRequest(err.Error())
	var decodeErr *wire.Error
	if errors.As(err, &decodeErr) {
		reqErr.status = decodeErr.Status()
		if decodeErr.Kind == wire.ReadFailed && errors.Is(decodeErr, os.ErrDeadlineExceeded) {
			reqErr.status = http.StatusRequestTimeout
		}
	}
	return reqErr
}

// startCall reads the headers that all requests share. The call always has an
// id: a missing or invalid one is replaced, so that invalid input is not echoed.
func (h *Host) startCall(r *http.Request) (*call, *requestError) {
	id, err := wire.RequestIDFrom(r.Header)
	c := &call{
		id:          id,
		hasCallerID: id != "" && err == nil,
		startedAt:   time.Now(),
	}
	if !c.hasCallerID {
		c.id = ident.RequestID(uuid.NewString())
	}
	c.span = h.config.Tracer.StartCaller(wire.TraceFrom(r.Header), c.id)
	if err != nil {
		return c, newRequestError(err)
	}
	return c, nil
}

// decodeBody reads a body within the body timeout. It clears the read deadline
// afterwards: net/http reads from the connection during the query, and a deadline
// exceeded then would be taken for a caller that disconnected.
func decodeBody[T any](h *Host, w http.ResponseWriter, r *http.Request, limit int, out *T) *requestError {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(h.config.BodyTimeout))
	r.Body = http.MaxBytesReader(w, r.Body, int64(limit)+1)
	body, release := guard.Body(r)
	defer release()
	err := wire.DecodeStrict(body, limit, out)
	if err == nil && !guard.Of(r).Complete(0) {
		err = guard.ErrNoMemory
	}
	if errors.Is(err, guard.ErrNoMemory) {
		w.Header().Set("Connection", "close")
		return &requestError{
			status: http.StatusServiceUnavailable,
			remedy: guard.ErrNoMemory.Error(),
		}
	}
	if err != nil {
		return newRequestError(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return nil
}

// parseSearch reads a search and returns it as an event for the engine.
func (h *Host) parseSearch(w http.ResponseWriter, r *http.Request, c *call) (engine.QueryArrived, *requestError) {
	ev := engine.QueryArrived{Request: c.id}
	var req wire.SearchRequest
	if reqErr := decodeBody(h, w, r, min(h.config.MaxBody, wire.MaxSearchBytes), &req); reqErr != nil {
		return ev, reqErr
	}
	err := req.FillFrom(r.Header)
	if err == nil {
		err = req.Check()
	}
	if err != nil {
		return ev, newRequestError(err)
	}
	ev.Class = preset.Standard
	if req.Class != "" {
		ev.Class, err = preset.ParseClass(req.Class)
		if err != nil {
			return ev, newRequestError(err)
		}
	}
	ev.Index, ev.Terms, ev.Limit = req.Index, req.Terms, req.Limit
	var reqErr *requestError
	ev.Budget, reqErr = c.timeLeft(req.DeadlineMillis.Duration())
	return ev, reqErr
}

// timeLeft returns what is left of the time that a caller allows, 0 for no limit. A
// request that was read for longer is refused.
func (c *call) timeLeft(allowed time.Duration) (time.Duration, *requestError) {
	if allowed == 0 {
		return 0, nil
	}
	left := allowed - time.Since(c.startedAt)
	if left <= 0 {
		return 0, &requestError{
			status: http.StatusServiceUnavailable,
			remedy: "the deadline passed while the request was read: send it faster or allow more time",
		}
	}
	return left, nil
}

// parseFiling reads a filing and the time that the caller allows for it, at most
// maxFilingTime.
func (h *Host) parseFiling(w http.ResponseWriter, r *http.Request, c *call) (wire.FilingRequest, time.Duration, *requestError) {
	var req wire.FilingRequest
	if reqErr := decodeBody(h, w, r, min(h.config.MaxBody, wire.MaxFilingBytes), &req); reqErr != nil {
		return req, 0, reqErr
	}
	if !c.hasCallerID {
		return req, 0, badRequest(fmt.Sprintf("header %s is missing: name the filing, so that sending it again cannot run it twice", wire.HeaderRequestID))
	}
	var headers wire.SearchRequest
	err := headers.FillFrom(r.Header)
	if err == nil {
		err = req.Check()
	}
	if err != nil {
		return req, 0, newRequestError(err)
	}
	left, reqErr := c.timeLeft(headers.DeadlineMillis.Duration())
	return req, min(orDefault(left, maxFilingTime), maxFilingTime), reqErr
}
