package front

import (
	"context"
	"net/http"
	"net/textproto"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// maxBody applies if the configuration sets no limit.
	maxBody = 1 << 20 // bytes

	// closingRetry is the Retry-After of refusals by a host that is stopping or cut
	// off.
	closingRetry = 10 * time.Millisecond
)

// request is a caller's request in progress.
type request struct {
	id     ident.RequestID
	print  blame.Print
	method string
	uri    string
	host   string
	// path is the path as escaped by the caller, without the query string.
	path string
	head string
	body []byte
	// account is that of the caller, empty if it has none. priority replaces that of the
	// route if hasPriority is set.
	account     ident.Account
	priority    int
	hasPriority bool

	reply chan reply
	// conn is the connection of the caller, nil if another host delegated the request.
	conn  *guard.Conn
	calls []ident.AttemptID
	// started is when the request arrived at this host; shardSubset is set if
	// another host requested only some shards of its query.
	started     ident.Instant
	shardSubset bool
	// roundTrip is the round-trip time to the caller, 0 if unknown.
	roundTrip time.Duration
	// token counts the request in the limit of its account.
	token allot.Token
	// groups are the replies of other hosts, by the engine's group number.
	groups map[int]*delegateReply
	// ctx ends the calls to those hosts; it is set with the first call.
	ctx    context.Context //nolint:containedctx // the calls outlive the handler that starts them
	cancel context.CancelFunc
}

// reply is the outcome of a request with the answers that it is made of.
type reply struct {
	effect   relay.Effect
	outcomes []pipe.Outcome
	groups   []*delegateReply
}

// callHead returns a function that builds the request line and headers of a
// call to an upstream.
func (q *request) callHead(c relay.Call) func(verify bool) []byte {
	return func(verify bool) []byte {
		b := make([]byte, 0, len(q.uri)+len(q.host)+len(q.head)+192)
		b = append(b, q.method+" "+q.uri+" HTTP/1.1\r\nHost: "+q.host+"\r\n"...)
		instance := ident.Upstream("")
		if verify {
			instance = c.Upstream.ID
		}
		b = platform.AppendCall(b, q.id, c.Limit, instance, q.account)
		b = append(b, q.head...)
		if len(q.body) > 0 || q.method == http.MethodPost || q.method == http.MethodPut || q.method == http.MethodPatch {
			b = append(b, contentLength(len(q.body))...)
		}
		return append(b, "\r\n"...)
	}
}

func (f *Front) server() *http.Server {
	return &http.Server{
		Handler:        http.HandlerFunc(f.serve),
		MaxHeaderBytes: guard.MaxHeaderBytes, // the guard has the limits and timeouts in force
		ConnContext:    guard.ConnContext,
	}
}

// callerRoundTrip returns the round-trip time to the caller, 0 if unknown.
func callerRoundTrip(r *http.Request) time.Duration {
	c := guard.Of(r)
	if c == nil {
		return 0
	}
	return roundTrip(c)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	h["Content-Type"] = nil
	started := f.now()
	id, limit := platform.RequestOf(r.Header)
	if f.closing.Load() {
		h["Connection"] = []string{"close"}
		platform.SetRetryAfter(h, closingRetry)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	pm := f.authorize(w, r, id)
	if pm == nil {
		return
	}
	defer func() { f.permits.release(pm) }()
	maxBytes := int64(maxBody)
	if t := f.table.Load(); t != nil && t.Doc.Limits.BodyBytes > 0 {
		maxBytes = t.Doc.Limits.BodyBytes
	}
	body, err := guard.ReadBody(w, r, maxBytes)
	if err != nil {
		f.refuseUnread(w, id, err)
		return
	}
	q := newRequest(r, id, body, started, pm)
	if !q.conn.Complete(len(body) + len(q.head)) {
		f.refuseUnread(w, id, guard.ErrNoMemory)
		return
	}
	for {
		withdrawn := f.answer(w, r, q, pm, limit)
		if withdrawn == nil {
			return
		}
		next, err := f.renew(r.Context(), pm, withdrawn)
		if err != nil {
			f.refuseAccess(w, id, nameOf(pm.account), err)
			return
		}
		f.permits.release(pm)
		pm = next
		q = newRequest(r, id, body, started, pm)
	}
}

// bodyErrorText returns the text of an error in reading a body, without anything that the
// caller has sent: net/http quotes malformed lines after a body, which may hold a key.
func bodyErrorText(err error) string {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return "malformed trailer"
	}
	return err.Error()
}

// newRequest returns a caller's request with the account of its permit.
func newRequest(r *http.Request, id ident.RequestID, body []byte, started ident.Instant, pm *permit) *request {
	parts := []string{r.Method, r.Host, r.RequestURI, platform.CallerOf(r.Header)}
	q := &request{
		id:        id,
		method:    r.Method,
		uri:       r.RequestURI,
		host:      r.Host,
		path:      pm.path,
		head:      platform.Forwarded(r.Header, pm.table.Doc.RequiresKey),
		body:      body,
		reply:     make(chan reply, 1),
		conn:      guard.Of(r),
		started:   started,
		roundTrip: callerRoundTrip(r),
	}
	if a := pm.account; a != nil {
		q.account, q.priority, q.hasPriority = a.Name, a.Priority, a.HasPriority
		parts = append(parts, string(a.Name))
	}
	q.print = blame.PrintOf(body, parts...)
	return q
}

// answer serves a request and writes the answer. It writes none, and returns the reason,
// if the permit of the request is withdrawn meanwhile.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, q *request, pm *permit, limit time.Duration) error {
	if !f.withinLimit(r.Context(), w, q, pm) {
		return nil
	}
	if err := f.permits.begin(pm); err != nil {
		f.returnQuota(q)
		return err
	}
	if limit > f.now().Sub(q.started) && pm.route != nil && pm.route.Gathers() {
		if f.cutOff() {
			w.Header()["Connection"] = []string{"close"}
			f.refuse(w, q, relay.Refuse{
				Status: relay.NotNow,
				After:  closingRetry,
				Reason: "this host is cut off from the other domains",
			})
			return nil
		}
		out := f.delegate(pm.ctx, q, pm.table.Version(), pm.route, limit-f.now().Sub(q.started))
		switch {
		case pm.withdrawn() != nil:
			return pm.withdrawn()
		case r.Context().Err() != nil:
			f.gauge.Request(gauge.Left, f.now().Sub(q.started))
			closeUnanswered()
		case out != nil:
			f.writeDelegated(w, q, out)
			return nil
		}
	}
	rep, ok := f.query(pm.ctx, q, relay.Arrive{
		Now:   f.now(),
		Began: q.started,
		Host:  q.host,
		Path:  q.path,
		Limit: limit,
		Trip:  q.roundTrip,

		Request:     q.id,
		Print:       q.print,
		Account:     q.account,
		Priority:    q.priority,
		HasPriority: q.hasPriority,
	})
	if !ok {
		if err := pm.withdrawn(); err != nil {
			return err
		}
		closeUnanswered()
	}
	f.writeReply(w, q, rep)
	return nil
}

// refuseUnread answers a request that could not be read, or for which there is no
// memory. It has not run.
func (f *Front) refuseUnread(w http.ResponseWriter, id ident.RequestID, err error) {
	status := guard.Status(err)
	f.log.Info("request could not be read", "Request", string(id), "Status", status, "Error", bodyErrorText(err))
	if status == http.StatusServiceUnavailable {
		guard.Refuse(w)
		return
	}
	if status == http.StatusRequestTimeout {
		w.Header()["Connection"] = []string{"close"}
	}
	w.WriteHeader(status)
}

// closeUnanswered ends a handler, and closes the connection of a caller that has closed
// it, or its sending side. If the handler returned, net/http would write an empty 200.
func closeUnanswered() { panic(http.ErrAbortHandler) }

// query runs a request in the engine of this host. It returns false if the
// caller has disconnected, or if a table has withdrawn the permit of the request.
func (f *Front) query(ctx context.Context, q *request, ev relay.Arrive) (reply, bool) {
	ev.Query = ident.QueryID(f.lastID.Add(1))
	if q.started == 0 {
		q.started = ev.Now
	}
	q.shardSubset = ev.Shards != nil
	f.requestsRunning.Add(1)
	defer f.requestsRunning.Add(-1)
	f.inputs <- input{
		event:   ev,
		request: q,
		done:    ctx.Done(),
	}
	select {
	case rep := <-q.reply:
		return rep, true
	case <-ctx.Done():
		withdrawn := withdrawal(ctx) != nil
		f.inputs <- input{event: relay.Disconnected{
			Query:     ev.Query,
			Withdrawn: withdrawn,
		}}
		if !withdrawn {
			f.gauge.Request(gauge.Left, f.now().Sub(q.started))
		}
		return reply{}, false
	}
}

func (f *Front) writeReply(w http.ResponseWriter, q *request, rep reply) {
	h := w.Header()
	switch e := rep.effect.(type) {
	case relay.Pass:
		o := rep.outcomes[0]
		platform.AnswerHeaders(h, o.Header)
		h["Content-Length"] = []string{itoa(len(o.Body))}
		q.conn.Answer(len(o.Body))
		w.WriteHeader(o.Answer.Status)
		f.writeBody(w, q, o.Body)
	case relay.Merge:
		f.writeMerged(w, q, rep.stamps(), e.Missing, merge(rep, e.Top))
	case relay.Refuse:
		f.refuse(w, q, e)
	case relay.Call, relay.Stop, relay.Delegate, relay.Abandon, relay.Keep, relay.Drop, relay.Eject, relay.Report, relay.Limit, relay.Departure, relay.Pause, relay.Paced, relay.Withheld, relay.Broadcast, relay.Suspicion:
	}
}

func (f *Front) writeMerged(w http.ResponseWriter, q *request, stamps []string, missing int, body []byte) {
	h := w.Header()
	platform.SetMerged(h, stamps, missing)
	h["Content-Length"] = []string{itoa(len(body))}
	q.conn.Answer(len(body))
	w.WriteHeader(http.StatusOK)
	f.writeBody(w, q, body)
}

// stamps returns the signatures of all parts.
func (r reply) stamps() []string {
	stamps := make([]string, 0, len(r.outcomes))
	for _, o := range r.outcomes {
		stamps = append(stamps, o.Answer.Stamp)
	}
	for _, g := range r.groups {
		stamps = append(stamps, g.Stamps...)
	}
	return stamps
}

func (f *Front) writeBody(w http.ResponseWriter, q *request, body []byte) {
	if _, err := w.Write(body); err != nil {
		f.log.Debug("answer was not read to its end", "Request", string(q.id), "Error", err.Error())
	}
}

// version returns the version of the active configuration, or 0 without one.
func (f *Front) version() rules.Version {
	if t := f.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

func (f *Front) refuse(w http.ResponseWriter, q *request, e relay.Refuse) {
	status := http.StatusServiceUnavailable
	switch e.Status {
	case relay.NoRoute:
		status = http.StatusNotFound
	case relay.NotNow, relay.NoVersion:
		platform.SetRetryAfter(w.Header(), e.After)
	case relay.Failed:
		status = http.StatusBadGateway
	case relay.TimedOut:
		status = http.StatusGatewayTimeout
	}
	if notRun(e.Status) {
		f.returnQuota(q)
	}
	f.log.Info("request is not served", "Request", string(q.id), "Status", status, "Reason", e.Reason, "Version", f.version())
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
}
