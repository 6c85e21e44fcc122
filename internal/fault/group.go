package fault

import (
	"context"
	"net"
	"net/http"
	"path"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/wire"
)

// Paths of the control handler of a group.
const (
	PathLinks  = "/control/links"  // GET, returns the Stats of all proxies
	PathChange = "/control/change" // POST Change, returns the Stats of the proxies it matches
)

// Action is a one-time fault for the connections that are open at the moment.
type Action string

const (
	// Cut resets both sides of the connections.
	Cut Action = "Cut"
	// HalfOpen resets only the side of the target.
	HalfOpen Action = "HalfOpen"
)

// Change is the body of a POST to PathChange. It applies to all proxies whose
// name matches a pattern.
type Change struct {
	// Match is a pattern in the syntax of path.Match, for example "entry-1>*".
	Match string `json:"Match"`
	// Rules replaces the rules; nil keeps them.
	Rules *Rules `json:"Rules,omitempty"`
	// Do is carried out after the rules are replaced; empty means no action.
	Do Action `json:"Do,omitempty"`
}

// Group is a set of proxies that are controlled together.
type Group struct {
	proxies []*Proxy
}

const (
	maxChangeBytes = 64 << 10
	headerTimeout  = 10 * time.Second
)

// NewGroup opens the listeners of all proxies, in the order given.
func NewGroup(configs []Config) (*Group, error) {
	g := &Group{}
	for _, cfg := range configs {
		p, err := New(cfg)
		if err != nil {
			for _, open := range g.proxies {
				_ = open.Close()
			}
			return nil, err
		}
		g.proxies = append(g.proxies, p)
	}
	return g, nil
}

// Proxies returns the proxies in the order of their configurations.
func (g *Group) Proxies() []*Proxy { return g.proxies }

// Run runs all proxies until ctx is done or one of them fails.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range g.proxies {
		group.Go(func() error { return p.Run(ctx) })
	}
	return group.Wait()
}

// Serve serves the control handler on a listener until ctx is done.
func (g *Group) Serve(ctx context.Context, l net.Listener) error {
	s := &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fault proxy cannot serve its control path")
	}
	return nil
}

// Apply applies a change and returns the Stats of the proxies that it matches.
// It returns an error if the change is invalid or matches no proxy; a change
// with invalid rules or an unknown action changes no proxy.
func (g *Group) Apply(c Change) ([]Stats, error) {
	if c.Rules != nil {
		if err := c.Rules.Check(); err != nil {
			return nil, err
		}
	}
	if c.Do != "" && c.Do != Cut && c.Do != HalfOpen {
		return nil, errors.Errorf("Do is %q: use Cut or HalfOpen", c.Do)
	}
	var changed []Stats
	for _, p := range g.proxies {
		matches, err := path.Match(c.Match, p.Name())
		if err != nil {
			return nil, errors.Wrapf(err, "Match is %q: use a name, with * for any part of it", c.Match)
		}
		if !matches {
			continue
		}
		if err := p.apply(c); err != nil {
			return nil, err
		}
		changed = append(changed, p.Stats())
	}
	if len(changed) == 0 {
		return nil, errors.Errorf("no proxy fits Match %q: list them with GET %s", c.Match, PathLinks)
	}
	return changed, nil
}

func (p *Proxy) apply(c Change) error {
	if c.Rules != nil {
		if err := p.Set(*c.Rules); err != nil {
			return err
		}
	}
	switch c.Do {
	case Cut:
		p.Cut()
	case HalfOpen:
		p.HalfOpen()
	}
	return nil
}

// Handler serves PathLinks and PathChange. A change that cannot be decoded is
// answered with 400, one that cannot be applied with 422.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLinks, func(w http.ResponseWriter, _ *http.Request) {
		list := make([]Stats, 0, len(g.proxies))
		for _, p := range g.proxies {
			list = append(list, p.Stats())
		}
		_ = wire.Reply(w, http.StatusOK, list)
	})
	mux.HandleFunc("POST "+PathChange, func(w http.ResponseWriter, r *http.Request) {
		var c Change
		err := wire.DecodeStrict(r.Body, maxChangeBytes, &c)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		changed, err := g.Apply(c)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		_ = wire.Reply(w, http.StatusOK, changed)
	})
	return mux
}
