package front

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// The calls between entry hosts.
const (
	methodHand = "/front/hand" // handIn, handOut
	methodPing = "/front/ping" // pingIn, pingOut
)

const (
	// hostsPerGatherer is the number of entry hosts of a domain for which one
	// gathers. Fewer gatherers know more of each upstream's state; one spends
	// about a quarter of its processor on the queries of 8 hosts.
	hostsPerGatherer = 8

	// pingEvery and pingTimeout find a gatherer that is frozen or gone.
	pingEvery   = 250 * time.Millisecond
	pingTimeout = 200 * time.Millisecond

	// pingSlow is the round trip above which a gatherer is overloaded; within
	// a domain a round trip takes under a millisecond.
	pingSlow = 25 * time.Millisecond
)

// handIn is a query that another host of the domain hands over.
type handIn struct {
	Version rules.Version
	ID      ident.RequestID
	Method  string
	URI     string
	Host    string
	Path    string
	Head    string
	Body    []byte `cbor:",omitempty"`
	// LimitMicros is how long the caller still waits.
	LimitMicros int64
}

// handOut is the end of a handed query.
type handOut struct {
	// Declined means that this host does not hold the version or stops.
	Declined bool     `cbor:",omitempty"`
	Stamps   []string `cbor:",omitempty"`
	Missing  int      `cbor:",omitempty"`
	Body     []byte   `cbor:",omitempty"`
	// Refusal is set if the query was not served.
	Refusal     relay.Refusal `cbor:",omitempty"`
	AfterMicros int64         `cbor:",omitempty"`
	Reason      string        `cbor:",omitempty"`
}

type pingIn struct{}

type pingOut struct{ Open bool }

// peers is what this host knows of the gatherers of its domain. It is safe
// for concurrent use.
type peers struct {
	self ident.HostID

	mu        sync.Mutex
	gatherers []watch.Host
	good      map[ident.HostID]bool
	// handed are the queries in progress at each gatherer.
	handed map[ident.HostID]map[*handed]bool
}

// handed is a query in progress at a gatherer.
type handed struct{ cancel context.CancelFunc }

func newPeers(self ident.HostID) *peers {
	return &peers{
		self:   self,
		good:   make(map[ident.HostID]bool),
		handed: make(map[ident.HostID]map[*handed]bool),
	}
}

// set takes a new roster and chooses the gatherers of a domain: those whose
// ids hash lowest, so that all hosts agree and few change with the roster.
func (p *peers) set(hosts []watch.Host, domain ident.Domain) {
	var own []watch.Host
	for _, h := range hosts {
		if h.Kind == watch.Entry && h.Domain == domain {
			own = append(own, h)
		}
	}
	wanted := (len(own) + hostsPerGatherer - 1) / hostsPerGatherer
	own = slices.DeleteFunc(own, func(h watch.Host) bool { return h.Draining })
	slices.SortFunc(own, func(x, y watch.Host) int {
		if hx, hy := hashOf(x.ID), hashOf(y.ID); hx != hy {
			if hx < hy {
				return -1
			}
			return 1
		}
		return 0
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatherers = own[:min(wanted, len(own))]
}

func hashOf(id ident.HostID) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}

// choose returns the gatherer for a request, or false if this host serves it.
func (p *peers) choose(id ident.RequestID) (watch.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.gatherers)
	if n == 0 {
		return watch.Host{}, false
	}
	start := int(hashOf(ident.HostID(id)) % uint64(n))
	for i := range n {
		h := p.gatherers[(start+i)%n]
		if h.ID == p.self {
			return watch.Host{}, false
		}
		if p.good[h.ID] {
			return h, true
		}
	}
	return watch.Host{}, false
}

// begin notes a query that is handed over; end must follow.
func (p *peers) begin(to ident.HostID, cancel context.CancelFunc) (end func()) {
	h := &handed{cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handed[to] == nil {
		p.handed[to] = make(map[*handed]bool)
	}
	p.handed[to][h] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.handed[to], h)
	}
}

// mark notes whether a gatherer answers. The queries at one that does not are
// taken back.
func (p *peers) mark(id ident.HostID, good bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.good[id] != good
	p.good[id] = good
	if !good {
		for h := range p.handed[id] {
			h.cancel()
		}
	}
	return changed
}

func (p *peers) others() []watch.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Clone(p.gatherers)
	return slices.DeleteFunc(list, func(h watch.Host) bool { return h.ID == p.self })
}

// serveLink serves other entry hosts until ctx ends.
func (f *Front) serveLink(ctx context.Context) error {
	s, err := link.NewServer(link.Config{
		AllowPlain: true,
		Log:        f.log,
	})
	if err != nil {
		return err
	}
	link.Handle(s, methodHand, f.takeHanded)
	link.Handle(s, methodPing, func(context.Context, *pingIn) (*pingOut, error) {
		return &pingOut{Open: !f.draining.Load() && f.table.Load() != nil}, nil
	})
	lis, err := net.Listen("tcp", f.cfg.Link)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for other hosts on %s", f.cfg.Link)
	}
	return s.Serve(ctx, lis)
}

// pingPeers keeps track of the gatherers until ctx ends.
func (f *Front) pingPeers(ctx context.Context) error {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		for _, h := range f.peers.others() {
			go f.ping(ctx, h)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (f *Front) ping(ctx context.Context, h watch.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	begin := time.Now()
	var out pingOut
	err := f.client.Call(ctx, h.Link, methodPing, &pingIn{}, &out)
	took := time.Since(begin)
	good := err == nil && out.Open && took < pingSlow
	if f.peers.mark(h.ID, good) {
		f.log.Info("gatherer changed", "Gatherer", string(h.ID), "Good", good, "RoundTripMicros", took.Microseconds())
	}
}

// handOver lets a gatherer of the domain serve a query. It returns false if
// this host has to serve it.
func (f *Front) handOver(ctx context.Context, q *request, v rules.Version, path string, limit time.Duration) (*handOut, bool) {
	to, ok := f.peers.choose(q.id)
	if !ok {
		return nil, false
	}
	hctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	end := f.peers.begin(to.ID, cancel)
	defer end()
	var out handOut
	err := f.client.Call(hctx, to.Link, methodHand, &handIn{
		Version:     v,
		ID:          q.id,
		Method:      q.method,
		URI:         q.uri,
		Host:        q.host,
		Path:        path,
		Head:        q.head,
		Body:        q.body,
		LimitMicros: limit.Microseconds(),
	}, &out)
	switch {
	case err == nil:
		return &out, !out.Declined
	case ctx.Err() == nil:
		if f.peers.mark(to.ID, false) {
			f.log.Warn("gatherer is lost; queries are served here", "Gatherer", string(to.ID), "Request", string(q.id), "Error", err.Error())
		}
	}
	return nil, false
}

// takeHanded serves a query that another host hands over.
func (f *Front) takeHanded(ctx context.Context, in *handIn) (*handOut, error) {
	if f.closing.Load() {
		return &handOut{Declined: true}, nil
	}
	f.handing.Add(1)
	defer f.handing.Done()
	q := &request{
		id:     in.ID,
		method: in.Method,
		uri:    in.URI,
		host:   in.Host,
		head:   in.Head,
		body:   in.Body,
		reply:  make(chan reply, 1),
	}
	rep, ok := f.query(ctx, q, relay.Arrive{
		Now:     f.now(),
		Host:    in.Host,
		Path:    in.Path,
		Limit:   time.Duration(in.LimitMicros) * time.Microsecond,
		Version: in.Version,
	})
	if !ok {
		return nil, ctx.Err()
	}
	switch e := rep.effect.(type) {
	case relay.Merge:
		return &handOut{
			Stamps:  stampsOf(rep.outcomes),
			Missing: e.Missing,
			Body:    merge(rep.outcomes, e.Top),
		}, nil
	case relay.Refuse:
		return &handOut{
			Declined:    e.Status == relay.NoVersion,
			Refusal:     e.Status,
			AfterMicros: e.After.Microseconds(),
			Reason:      e.Reason,
		}, nil
	case relay.Pass, relay.Call, relay.Stop:
	}
	return &handOut{Declined: true}, nil
}

// writeHanded answers a caller with what a gatherer has returned.
func (f *Front) writeHanded(w http.ResponseWriter, q *request, out *handOut) {
	if out.Refusal != 0 {
		f.refuse(w, q, relay.Refuse{
			Status: out.Refusal,
			After:  time.Duration(out.AfterMicros) * time.Microsecond,
			Reason: out.Reason,
		})
		return
	}
	f.writeMerged(w, q, out.Stamps, out.Missing, out.Body)
}
