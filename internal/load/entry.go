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
	healthInterval = 200 * time.Millisecond
	healthTimeout  = time.Second
	maxIdleConns   = 256 // per entry host
	maxDrainBytes  = 64 << 10
)

// EntryClient balances requests over entry hosts, round robin. Like the platform's
// load balancer it skips hosts that fail their health check, and sends a
// request to another host if dialing fails, which is safe because nothing has
// been sent.
type EntryClient struct {
	http *http.Client
	next atomic.Uint64

	mu sync.Mutex
	// hosts is copied on write, so that it can be read without mu once list has
	// returned it.
	hosts []*entryHost
}

type entryHost struct {
	address string
	down    atomic.Bool
}

// NewEntryClient returns a client of the entry hosts at addresses (IP:port).
func NewEntryClient(addresses []string) *EntryClient {
	e := &EntryClient{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
	for _, a := range addresses {
		e.Add(a)
	}
	return e
}

// Add adds an entry host (IP:port) to the rotation.
func (e *EntryClient) Add(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = append(slices.Clip(e.hosts), &entryHost{address: address})
}

// Remove removes an entry host from the rotation. Requests in flight to it are
// not aborted.
func (e *EntryClient) Remove(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = slices.DeleteFunc(slices.Clone(e.hosts), func(h *entryHost) bool { return h.address == address })
}

func (e *EntryClient) list() []*entryHost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hosts
}

// Run checks the health of the entry hosts periodically until ctx is done.
func (e *EntryClient) Run(ctx context.Context) error {
	defer e.http.CloseIdleConnections()
	tick := time.NewTicker(healthInterval)
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

func (e *EntryClient) healthy(ctx context.Context, h *entryHost) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+wire.PathHealth, nil)
	if err != nil {
		return false
	}
	res, err := e.http.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxDrainBytes))
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Search implements Client.
func (e *EntryClient) Search(ctx context.Context, id ident.RequestID, s wire.SearchRequest) (wire.SearchAnswer, error) {
	return post(ctx, e, wire.PathSearch, id, s, wire.DecodeSearchAnswer)
}

// File implements Client.
func (e *EntryClient) File(ctx context.Context, id ident.RequestID, f wire.FilingRequest) (wire.FilingAnswer, error) {
	return post(ctx, e, wire.PathFilings, id, f, wire.DecodeFilingAnswer)
}

// pick returns the next host that is not down, or the next one if all are down.
func (e *EntryClient) pick() *entryHost {
	n, hosts := e.next.Add(1), e.list()
	for i := range hosts {
		if h := hosts[(n+uint64(i))%uint64(len(hosts))]; !h.down.Load() {
			return h
		}
	}
	return hosts[n%uint64(len(hosts))]
}

func post[A any](ctx context.Context, e *EntryClient, path string, id ident.RequestID, body any, decode func(io.Reader) (A, error)) (A, error) {
	var zero A
	encoded, err := wire.Encode(body)
	if err != nil {
		return zero, err
	}
	var res *http.Response
	for range e.list() {
		if res, err = e.send(ctx, path, id, encoded); !dialFailed(err) {
			break
		}
	}
	if err != nil {
		return zero, errors.Wrap(err, "no entry host answered: check that the entry hosts run and their addresses")
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := decode(res.Body)
	if err != nil {
		return zero, errors.Wrapf(err, "answer with status %s cannot be decoded: check that the address is that of an entry host", res.Status)
	}
	// Reading the body to its end lets the client reuse the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxDrainBytes))
	return answer, nil
}

func (e *EntryClient) send(ctx context.Context, path string, id ident.RequestID, encoded []byte) (*http.Response, error) {
	h := e.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrapf(err, "entry host %q has a bad address: give IP:port", h.address)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, string(id))
	if deadline, ok := ctx.Deadline(); ok {
		// The host must reply before the tool stops waiting. The deadline in the
		// body of a search takes precedence over this header.
		remaining := max(time.Until(deadline)-answerGrace, time.Millisecond)
		req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	res, err := e.http.Do(req)
	if dialFailed(err) {
		h.down.Store(true)
	}
	return res, err
}

func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
