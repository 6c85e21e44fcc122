package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// call is what every caller request has.
type call struct {
	id          ident.RequestID
	traceparent string
}

// fault is a request that was refused because of its form.
type fault struct {
	status int
	remedy string
}

func badRequest(format string, args ...any) *fault {
	return &fault{
		status: http.StatusBadRequest,
		remedy: fmt.Sprintf(format, args...),
	}
}

// begin reads the parts that all requests share. The call is never nil.
func (h *Host) begin(w http.ResponseWriter, r *http.Request) (*call, []byte, *fault) {
	id, ok := requestID(r.Header.Get(wire.HeaderRequestID))
	c := &call{
		id:          id,
		traceparent: r.Header.Get(wire.HeaderTrace),
	}
	if !ok {
		return c, nil, badRequest("header %s is not 1 to %d printable ASCII characters without spaces: send a shorter or plainer id", wire.HeaderRequestID, maxRequestID)
	}
	body, f := h.readBody(w, r)
	return c, body, f
}

// requestID returns a valid id of the caller or a new one. An id that is not
// valid is replaced, and false returned, so that it is never echoed.
func requestID(given string) (ident.RequestID, bool) {
	if given == "" {
		return ident.RequestID(uuid.NewString()), true
	}
	valid := len(given) <= maxRequestID
	for i := 0; valid && i < len(given); i++ {
		valid = given[i] > ' ' && given[i] < 0x7f
	}
	if !valid {
		return ident.RequestID(uuid.NewString()), false
	}
	return ident.RequestID(given), true
}

// readBody reads a bounded body within the body timeout. The read deadline is
// lifted afterwards: net/http watches the connection during the query, and a
// deadline that passes then would look like a caller that left.
func (h *Host) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(h.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.config.MaxBody))
	_ = rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &fault{
			status: http.StatusRequestEntityTooLarge,
			remedy: fmt.Sprintf("body is larger than %d bytes: send a shorter one", h.config.MaxBody),
		}
	case err != nil:
		return nil, &fault{
			status: http.StatusRequestTimeout,
			remedy: fmt.Sprintf("body did not arrive within %s: send it faster", h.config.BodyTimeout),
		}
	}
	return body, nil
}

// decodeStrict decodes one JSON object and rejects unknown fields by name.
func decodeStrict(body []byte, out any) *fault {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return badRequest("body cannot be decoded (%v): send the fields of the interface page as JSON", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body has data after its JSON object: send one object")
	}
	return nil
}

func parseSearch(r *http.Request, body []byte, c *call, req *wire.SearchRequest) (engine.QueryArrived, *fault) {
	ev := engine.QueryArrived{Request: c.id}
	if f := decodeStrict(body, req); f != nil {
		return ev, f
	}
	if req.Index == "" {
		return ev, badRequest("Index is empty: name the index to search")
	}
	if req.Limit < 0 || req.Limit > maxLimit {
		return ev, badRequest("Limit is %d: use 0 to %d", req.Limit, maxLimit)
	}
	class, f := parseClass(req.Class, r.Header.Get(wire.HeaderClass))
	if f != nil {
		return ev, f
	}
	budget, f := parseDeadline(req.DeadlineMillis, r.Header.Get(wire.HeaderDeadline))
	if f != nil {
		return ev, f
	}
	ev.Index, ev.Terms, ev.Limit = req.Index, req.Terms, req.Limit
	ev.Class, ev.Budget = class, budget
	return ev, nil
}

// parseClass takes the class of the body, else of the header, else Standard.
func parseClass(inBody, inHeader string) (preset.Class, *fault) {
	name := inBody
	if name == "" {
		name = inHeader
	}
	if name == "" {
		return preset.Standard, nil
	}
	class, err := preset.ParseClass(name)
	if err != nil {
		return class, badRequest("%v", err)
	}
	return class, nil
}

// parseDeadline takes the deadline of the body, else of the header. Zero
// means the deadline of the preset.
func parseDeadline(inBody ident.Millis, inHeader string) (time.Duration, *fault) {
	ms := inBody
	if ms == 0 && inHeader != "" {
		n, err := strconv.ParseInt(inHeader, 10, 64)
		if err != nil || n < 1 {
			return 0, badRequest("header %s is %q: use whole milliseconds of at least 1", wire.HeaderDeadline, inHeader)
		}
		ms = ident.Millis(n)
	}
	if ms < 0 || ms > maxDeadlineMillis {
		return 0, badRequest("DeadlineMillis is %d: use 1 to %d", ms, maxDeadlineMillis)
	}
	return ms.Duration(), nil
}
