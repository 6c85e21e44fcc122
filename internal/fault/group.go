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
	PathLinks  = "/control/links"  // GET, answers a list of Stats
	PathChange = "/control/change" // POST Change, answers the Stats of the proxies it fits
)

// Action is something that is done to open connections once.
type Action string

// The actions.
const (
	Cut      Action = "Cut"
	HalfOpen Action = "HalfOpen"
)

// Change acts on all proxies whose name fits a pattern.
type Change struct {
	// Match is a pattern of package path, for example "entry-1>*".
	Match string `json:"Match"`
	// Rules replaces the rules; nil leaves them.
	Rules *Rules `json:"Rules,omitempty"`
	// Do is done after the rules are replaced; empty does nothing.
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

// Run runs all proxies until the context ends or one of them fails.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range g.proxies {
		group.Go(func() error { return p.Run(ctx) })
	}
	return group.Wait()
}

// Serve serves the control handler on a listener until the context ends.
func (g *Group) Serve(ctx context.Context, on net.Listener) error {
	s := &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(on); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fault proxy cannot serve its control path")
	}
	return nil
}

// Apply makes a change and returns the Stats of the proxies it fits. It is an
// error if there is none.
func (g *Group) Apply(c Change) ([]Stats, error) {
	if c.Rules != nil {
		if err := c.Rules.Check(); err != nil {
			return nil, err
		}
	}
	if c.Do != "" && c.Do != Cut && c.Do != HalfOpen {
		return nil, errors.Errorf("Do is %q: use Cut or HalfOpen", c.Do)
	}
	var done []Stats
	for _, p := range g.proxies {
		fits, err := path.Match(c.Match, p.Name())
		if err != nil {
			return nil, errors.Wrapf(err, "Match is %q: use a name, with * for any part of it", c.Match)
		}
		if !fits {
			continue
		}
		if err := p.change(c); err != nil {
			return nil, err
		}
		done = append(done, p.Stats())
	}
	if len(done) == 0 {
		return nil, errors.Errorf("no proxy fits Match %q: list them with GET %s", c.Match, PathLinks)
	}
	return done, nil
}

func (p *Proxy) change(c Change) error {
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

// Handler returns the HTTP control path of the group.
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
		done, err := g.Apply(c)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		_ = wire.Reply(w, http.StatusOK, done)
	})
	return mux
}
