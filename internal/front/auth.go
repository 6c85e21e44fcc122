package front

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

// unreadTimeout is how long the body of a request that is refused for its key may take
// after the answer.
const unreadTimeout = 5 * time.Second

// Reasons for which a request is not served, or no longer.
var (
	errNoTable    = errors.New("this host does not hold the configuration yet")
	errUnknownKey = errors.New("no account has the key of the request")
	errRevoked    = errors.New("the key of the request was withdrawn")
	// errMoved ends a request that the configuration still allows, with another account.
	errMoved = errors.New("the key of the request now belongs to another account")
)

// unknownAccount stands in logs for the account of an unknown key.
const unknownAccount = "unknown"

// permits holds the permits of all requests in progress. Each new table ends those that
// it no longer allows.
type permits struct {
	mu    sync.Mutex
	table *rules.Table
	held  map[*permit]struct{}
}

// permit is the right of one request to be served under a table. ctx ends with the
// request's own context and, with one of the errors above as its cause, when a later
// table withdraws the permit.
type permit struct {
	host, path string
	keys       []string
	table      *rules.Table
	// route is nil if none matches, account if the request has none.
	route   *rules.Route
	account *rules.Account
	ctx     context.Context //nolint:containedctx // the permit ends it
	cancel  context.CancelCauseFunc
	// begun is set once the request may have been sent on.
	begun bool
}

func newPermits() *permits { return &permits{held: make(map[*permit]struct{})} }

// grant returns a permit for a request, which the caller must release, or errNoTable or
// errUnknownKey.
func (p *permits) grant(ctx context.Context, host, path string, keys []string) (*permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return nil, errNoTable
	}
	pm := &permit{
		host:  host,
		path:  path,
		keys:  keys,
		table: p.table,
		route: p.table.Find(host, path),
	}
	if pm.route != nil { // without a route the engine refuses the request
		var ok bool
		if pm.account, ok = p.table.Authorize(pm.route, keys); !ok {
			return nil, errUnknownKey
		}
	}
	pm.ctx, pm.cancel = context.WithCancelCause(ctx)
	p.held[pm] = struct{}{}
	return pm, nil
}

// begin records that a request may be sent on from now on. It returns why the permit has
// ended, or nil.
func (p *permits) begin(pm *permit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := pm.withdrawn(); err != nil {
		return err
	}
	pm.begun = true
	return nil
}

func (p *permits) release(pm *permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, pm)
	pm.cancel(nil)
}

// install puts a table in force and ends the permits that it withdraws. It must precede
// the table's use by the engine, so that no request is sent under a table that does not
// allow it.
func (p *permits) install(t *rules.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = t
	for pm := range p.held {
		if err := pm.review(t); err != nil {
			pm.cancel(err)
		}
	}
}

// review returns why a table withdraws the permit, or nil.
func (pm *permit) review(t *rules.Table) error {
	switch t.Review(pm.table, pm.host, pm.path, pm.keys) {
	case rules.Unknown:
		return errUnknownKey
	case rules.Revoked:
		return errRevoked
	case rules.Moved:
		if a, _ := t.Authorize(t.Find(pm.host, pm.path), pm.keys); pm.begun && !pm.repeatable() && (a == nil || pm.account == nil) {
			// It cannot begin again, and its key has not passed from one account to another.
			return nil
		}
		return errMoved
	case rules.Allowed:
	}
	return nil
}

// repeatable reports whether the request may run more than once.
func (pm *permit) repeatable() bool { return pm.route == nil || pm.route.Kind == rules.Idempotent }

// withdrawn returns why a table has withdrawn the permit, or nil.
func (pm *permit) withdrawn() error { return withdrawal(pm.ctx) }

// withdrawal returns why a table has ended a context, or nil.
func withdrawal(ctx context.Context) error {
	switch err := context.Cause(ctx); err { //nolint:errorlint // set by install itself
	case errUnknownKey, errRevoked, errMoved:
		return err
	default:
		return nil
	}
}

func nameOf(a *rules.Account) ident.Account {
	if a == nil {
		return ""
	}
	return a.Name
}

// renew returns a permit under the present table for a request whose permit was
// withdrawn, or why it has none.
func (f *Front) renew(ctx context.Context, pm *permit, withdrawn error) (*permit, error) {
	if withdrawn != errMoved || pm.begun && !pm.repeatable() { //nolint:errorlint // set by install itself
		return nil, withdrawn
	}
	return f.permits.grant(ctx, pm.host, pm.path, pm.keys)
}

// refuseAccess answers a request that has no permit, or whose permit a table has
// withdrawn.
func (f *Front) refuseAccess(w http.ResponseWriter, id ident.RequestID, account ident.Account, err error) {
	q := &request{id: id}
	reason := gauge.Unknown
	switch err { //nolint:errorlint // one of those above
	case errNoTable:
		f.gauge.Request(gauge.NotNow, 0)
		f.refuse(w, q, relay.Refuse{
			Status: relay.NotNow,
			After:  closingRetry,
			Reason: err.Error(),
		})
		return
	case errMoved:
		f.gauge.Request(gauge.Failed, 0)
		f.refuse(w, q, relay.Refuse{
			Status: relay.Failed,
			Reason: err.Error(),
		})
		return
	case errRevoked:
		reason = gauge.Revoked
	}
	if account == "" {
		account = unknownAccount
	}
	f.gauge.KeyRefused(reason)
	f.log.Info("request is refused for its key", "Request", string(id), "Account", string(account), "Reason", reason, "Version", f.version())
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusUnauthorized)
}

// answerUnread answers a request whose body has not been read, and reads the body only
// then: by default net/http reads it first, and a caller may never send it. The connection
// closes if the body does not follow soon.
func answerUnread(w http.ResponseWriter, r *http.Request, answer func()) {
	if r.ContentLength == 0 || len(r.Header["Expect"]) > 0 { // with Expect, no body may follow
		answer()
		return
	}
	rc := http.NewResponseController(w)
	// If one of these fails, the answer follows the body or the connection is broken.
	_ = rc.EnableFullDuplex()
	_ = rc.SetReadDeadline(time.Now().Add(unreadTimeout))
	answer()
	_ = rc.Flush()
	// The body must be read here: net/http would begin to read the next request while it
	// still reads the body.
	if _, err := io.CopyN(io.Discard, r.Body, maxBody+1); err != io.EOF {
		closeUnanswered()
	}
}

// authorize returns a permit for a request, or answers the request and returns nil.
func (f *Front) authorize(w http.ResponseWriter, r *http.Request, id ident.RequestID) *permit {
	pm, err := f.permits.grant(r.Context(), r.Host, r.URL.EscapedPath(), platform.KeysOf(r.Header))
	if err != nil {
		answerUnread(w, r, func() { f.refuseAccess(w, id, "", err) })
		return nil
	}
	return pm
}
