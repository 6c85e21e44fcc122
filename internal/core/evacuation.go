package core

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/platform"
)

// evacuationPartName is the name of the replicated part in commands and snapshots. A
// member of a release without the part stops at the first command or snapshot that
// names it, so neither exists before the first evacuation.
const evacuationPartName = "evacuation"

// evacuationCommand is one order. Start and End are those of the release before, which
// had no positions.
type evacuationCommand struct {
	Start ident.Domain `cbor:",omitempty"`
	End   ident.Domain `cbor:",omitempty"`
	Order *evac.Order  `cbor:",omitempty"`
}

// evacuationResult is the outcome of a command. Revision is that of the set after it, and
// Last the position of the last order for the domain. Full is what the release before
// reads.
type evacuationResult struct {
	Revision evac.Revision
	Full     bool          `cbor:",omitempty"`
	Outcome  evac.Outcome  `cbor:",omitempty"`
	Last     evac.Revision `cbor:",omitempty"`
}

// evacuationSnapshot is the encoded state of the part.
type evacuationSnapshot struct {
	// Changes is the revision of the release before, which each member counted for
	// itself, so that they may disagree on it.
	Changes evac.Revision `cbor:"Revision,omitempty"`
	// Position is the revision of the set.
	Position evac.Revision  `cbor:",omitempty"`
	Domains  []ident.Domain `cbor:",omitempty"`
	// Last and Forgotten are those of an evac.State.
	Last      []evac.LastOrder `cbor:",omitempty"`
	Forgotten evac.Revision    `cbor:",omitempty"`
}

// evacuationPart replicates the orders.
type evacuationPart struct {
	orders     evac.State
	watchState *watch.State
	log        *slog.Logger
}

var _ state.Part = (*evacuationPart)(nil)

// Name implements state.Part.
func (p *evacuationPart) Name() string { return evacuationPartName }

// Apply implements state.Part. The result is an evacuationResult.
func (p *evacuationPart) Apply(at quorum.Index, command []byte) ([]byte, error) {
	var c evacuationCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "evacuation command cannot be decoded: update this host")
	}
	apply := p.orders.ApplyUnnumbered
	o := evac.Order{
		Domain: c.Start,
	}
	switch {
	case c.Order != nil:
		apply, o = p.orders.Apply, *c.Order
	case c.End != "":
		o.Domain, o.End = c.End, true
	}
	next, outcome := apply(o, evac.Revision(at))
	p.replace(next)
	return proto.Marshal(evacuationResult{
		Revision: next.Set.Revision,
		Full:     outcome == evac.Full,
		Outcome:  outcome,
		Last:     next.LastFor(o.Domain),
	})
}

// Freeze implements state.Part. There is no state before the first evacuation.
func (p *evacuationPart) Freeze() func() ([]byte, error) {
	orders := p.orders
	return func() ([]byte, error) {
		if orders.Empty() {
			return nil, nil
		}
		return proto.Marshal(evacuationSnapshot{
			Position:  orders.Set.Revision,
			Domains:   orders.Set.Domains,
			Last:      orders.Last,
			Forgotten: orders.Forgotten,
		})
	}
}

// Restore implements state.Part. A snapshot of the release before does not say where the
// set last changed; it was not after the snapshot.
func (p *evacuationPart) Restore(at quorum.Index, data []byte) error {
	var s evacuationSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Changes > 0 {
		s.Position = evac.Revision(at)
	}
	p.replace(evac.State{
		Set: evac.Set{
			Revision: s.Position,
			Domains:  s.Domains,
		},
		Last:      s.Last,
		Forgotten: s.Forgotten,
	})
	return nil
}

// Reset implements state.Part.
func (p *evacuationPart) Reset() { p.orders = evac.State{} }

// replace replaces the state and passes the set to the hosts that poll this one.
func (p *evacuationPart) replace(s evac.State) {
	p.orders = s
	if p.watchState.SetEvacuation(s.Set) {
		logEvacuation(p.log, s.Set, evacuationPartName)
	}
}

func logEvacuation(log *slog.Logger, s evac.Set, source string) {
	log.Info("evacuated domains were received", "Revision", uint64(s.Revision), "Domains", s.Domains, "Source", source)
}

// serveEvacuation orders or withdraws the evacuation of the domain in the path. An order
// without a position is redirected to the same order with that of the last one for the
// domain, which only a caller follows that still wants it: a copy that was held up on its
// way to this host has no effect. The position then keeps a copy that is held up on its way
// to the leader from undoing later orders.
func (c *Core) serveEvacuation(h *ctrl.Host, w http.ResponseWriter, r *http.Request) {
	domain := ident.Domain(r.PathValue(platform.EvacuationDomain))
	if err := evac.CheckName(domain); err != nil {
		c.log.Warn("evacuation is refused", "Reason", err.Error())
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if c.redirect(w, r) {
		return
	}
	o := evac.Order{
		Domain: domain,
		End:    r.Method == http.MethodDelete,
	}
	after, err := strconv.ParseUint(r.URL.Query().Get(ctrl.AfterParameter), 10, 64)
	if err != nil {
		c.redirectAfterLast(h, w, r, o)
		return
	}
	o.After = evac.Revision(after)
	a := c.submit(r.Context(), h, evacuationPartName, evacuationCommand{Order: &o})
	var result evacuationResult
	err = nil
	if a.Kind == config.Accepted {
		err = proto.Unmarshal(a.Data, &result)
	}
	c.log.Info("evacuation was ordered", "Evacuated", string(domain), "Withdrawn", o.End, "Outcome", a.Kind, "Remedy", a.Remedy,
		"After", after, "Last", uint64(result.Last), "Revision", uint64(result.Revision), "Full", result.Full, "Superseded", result.Outcome == evac.Superseded)
	switch {
	case a.Kind != config.Accepted:
		writeError(w, http.StatusServiceUnavailable, a.Remedy)
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case result.Outcome == evac.Superseded:
		c.redirectAfter(w, r, result.Last)
	case result.Outcome == evac.Full:
		writeError(w, http.StatusConflict, evac.ErrFull.Error())
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// redirectAfterLast redirects to the same order after the last one for its domain that
// this member has applied. If the leader has a later one, it redirects once more.
func (c *Core) redirectAfterLast(h *ctrl.Host, w http.ResponseWriter, r *http.Request, o evac.Order) {
	var last evac.Revision
	if err := h.View(r.Context(), func(quorum.Status) { last = c.evacuations.orders.LastFor(o.Domain) }); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	c.log.Info("evacuation order must be confirmed", "Evacuated", string(o.Domain), "Withdrawn", o.End, "Last", uint64(last))
	c.redirectAfter(w, r, last)
}

// redirectAfter redirects to the same order after the given position, at this host.
func (c *Core) redirectAfter(w http.ResponseWriter, r *http.Request, last evac.Revision) {
	w.Header()["Location"] = []string{fmt.Sprintf("http://%s%s?%s=%d", cmp.Or(r.Host, c.cfg.Operator), r.URL.EscapedPath(), ctrl.AfterParameter, last)}
	w.WriteHeader(http.StatusTemporaryRedirect)
}
