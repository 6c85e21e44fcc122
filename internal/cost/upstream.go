package cost

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	index              ident.Index        = "review-panel"
	requestID          ident.RequestID    = "cost"
	heldVersion        ident.IndexVersion = 7
	maxRequestBytes                       = 4 << 10 // of a request body
	documentsPerAnswer                    = 2
)

// upstream is a fake upstream that uses as little processor time as possible, so
// that it does not hide the difference between the measured hosts. It answers
// every search with the same two documents.
type upstream struct {
	net.Listener
	shard  ident.Shard
	health []byte
	work   *sync.WaitGroup
}

// upstreams is a set of running fake upstreams, with the configuration that
// lists them.
type upstreams struct {
	state *config.State
	all   []*upstream
	work  sync.WaitGroup
}

func startUpstreams(c Config) (*upstreams, error) {
	s := &upstreams{state: config.NewState()}
	for i := range c.Shards * c.Replicas {
		if err := s.add(c, i); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *upstreams) add(c Config, i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "fake upstream cannot listen: free some ports")
	}
	shard := ident.Shard(fmt.Sprint("s", i/c.Replicas))
	health, err := wire.Encode(wire.LeafHealth{
		Health: engine.HealthReady,
		Held: []engine.Held{{
			Shard:    shard,
			Versions: []ident.IndexVersion{heldVersion},
		}},
	})
	if err != nil {
		return err
	}
	up := &upstream{
		Listener: l,
		shard:    shard,
		health:   health,
		work:     &s.work,
	}
	s.all = append(s.all, up)
	s.work.Go(up.serve)
	s.state, err = s.state.Apply(config.AddUpstream{Upstream: config.Upstream{
		ID:        ident.Upstream(fmt.Sprint("u", i)),
		Address:   l.Addr().String(),
		Index:     index,
		Service:   ident.Service(shard),
		Shards:    []ident.Shard{shard},
		Slots:     c.Callers,
		ConnLimit: c.Callers * s.state.Seats,
	}})
	return err
}

func (s *upstreams) close() {
	for _, up := range s.all {
		_ = up.Close()
	}
	s.work.Wait()
}

func (u *upstream) serve() {
	for {
		c, err := u.Accept()
		if err != nil {
			return
		}
		u.work.Go(func() {
			defer func() { _ = c.Close() }()
			u.serveConn(c)
		})
	}
}

// serveConn answers requests until the connection is closed.
func (u *upstream) serveConn(c net.Conn) {
	in := bufio.NewReader(c)
	body := make([]byte, maxRequestBytes)
	for {
		n, err := readContentLength(in)
		if err != nil || n > len(body) {
			return
		}
		answer := u.health
		if n > 0 {
			if _, err := io.ReadFull(in, body[:n]); err != nil {
				return
			}
			answer = u.answer(body[:n])
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

// readContentLength reads the header of a request and returns the length of its
// body.
func readContentLength(in *bufio.Reader) (int, error) {
	length := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if len(line) <= len("\r\n") {
			return length, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(v))); err != nil {
				return 0, err
			}
		}
	}
}

func (u *upstream) answer(body []byte) []byte {
	_, rest, _ := bytes.Cut(body, []byte(`"Attempt":`))
	attempt, _, _ := bytes.Cut(rest, []byte(","))
	out := fmt.Appendf(nil, `{"Request":%q,"Attempt":%s,"Shard":%q,"Version":%d,"Documents":[`, requestID, attempt, u.shard, heldVersion)
	for i := range documentsPerAnswer {
		if i > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, `{"ID":"%s-%d","Revision":1,"Score":0.5,"Body":"%0100d"}`, u.shard, i, i)
	}
	return append(out, `],"Load":{"Running":1,"Waiting":0}}`...)
}
