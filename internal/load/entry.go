package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	balanceInterval = 200 * time.Millisecond
	balanceTimeout  = time.Second
	idleConns       = 256 // for each entry host
	restBytes       = 64 << 10
)

// Entries asks entry hosts in turn. Like the platform's balancer it leaves out
// hosts that fail their health check and tries another host when a connection
// is refused, since nothing was sent then.
type Entries struct {
	http *http.Client
	turn atomic.Uint64

	mu sync.Mutex
	// hosts is replaced as a whole, so that a list that was read stays valid.
	hosts []*entryHost
}

type entryHost struct {
	address string
	down    atomic.Bool
}

// NewEntries returns an asker for entry hosts at addresses (IP:port).
func NewEntries(addresses []string) *Entries {
	e := &Entries{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}}
	for _, a := range addresses {
		e.Add(a)
	}
	return e
}

// Add takes one more entry host into the turn.
func (e *Entries) Add(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = append(slices.Clip(e.hosts), &entryHost{address: address})
}

// Remove takes an entry host out of the turn; requests that it has go on.
func (e *Entries) Remove(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = slices.DeleteFunc(slices.Clone(e.hosts), func(h *entryHost) bool { return h.address == address })
}

func (e *Entries) list() []*entryHost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hosts
}

// Run checks the health of the entry hosts until the context ends.
func (e *Entries) Run(ctx context.Context) error {
	defer e.http.CloseIdleConnections()
	tick := time.NewTicker(balanceInterval)
	defer tick.Stop()
	for {
		var group errgroup.Group
		for _, h := range e.list() {
			group.Go(func() error {
				h.down.Store(!e.healthy(ctx, h))
				return nil
			})
		}
		_ = group.Wait()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (e *Entries) healthy(ctx context.Context, h *entryHost) bool {
	ctx, cancel := context.WithTimeout(ctx, balanceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+wire.PathHealth, nil)
	if err != nil {
		return false
	}
	res, err := e.http.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, restBytes))
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Search implements Asker.
func (e *Entries) Search(ctx context.Context, id ident.RequestID, s wire.SearchRequest) (wire.SearchAnswer, error) {
	return post(ctx, e, wire.PathSearch, id, s, wire.DecodeSearchAnswer)
}

// File implements Asker.
func (e *Entries) File(ctx context.Context, id ident.RequestID, f wire.FilingRequest) (wire.FilingAnswer, error) {
	return post(ctx, e, wire.PathFilings, id, f, wire.DecodeFilingAnswer)
}

// pick returns the next host that is not down, or the next one if all are.
func (e *Entries) pick() *entryHost {
	n, hosts := e.turn.Add(1), e.list()
	for i := range hosts {
		if h := hosts[(n+uint64(i))%uint64(len(hosts))]; !h.down.Load() {
			return h
		}
	}
	return hosts[n%uint64(len(hosts))]
}

func post[A any](ctx context.Context, e *Entries, path string, id ident.RequestID, body any, decode func(io.Reader) (A, error)) (A, error) {
	var none A
	doc, err := wire.Encode(body)
	if err != nil {
		return none, err
	}
	var res *http.Response
	for range e.list() {
		if res, err = e.try(ctx, path, id, doc); !refused(err) {
			break
		}
	}
	if err != nil {
		return none, errors.Wrap(err, "no entry host answers")
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := decode(res.Body)
	if err != nil {
		return none, errors.Wrapf(err, "answer with status %s", res.Status)
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, restBytes))
	return answer, nil
}

func (e *Entries) try(ctx context.Context, path string, id ident.RequestID, doc []byte) (*http.Response, error) {
	h := e.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+path, bytes.NewReader(doc))
	if err != nil {
		return nil, errors.Wrapf(err, "entry host %q has a bad address: give IP:port", h.address)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, string(id))
	if end, ok := ctx.Deadline(); ok {
		// The host must end before the tool gives up. The body of a search has a
		// deadline of its own, which goes first.
		left := max(time.Until(end)-answerGrace, time.Millisecond)
		req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	res, err := e.http.Do(req)
	if refused(err) {
		h.down.Store(true)
	}
	return res, err
}

func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
