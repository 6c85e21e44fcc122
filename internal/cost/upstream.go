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
	index       ident.Index        = "review-panel"
	request     ident.RequestID    = "cost"
	held        ident.IndexVersion = 7
	requestSize                    = 4 << 10 // bytes of a request body at most
	documents                      = 2       // in each answer
)

// stand is an upstream that costs as little CPU as possible, so that the
// difference between the hosts in front of it is not hidden. It answers every
// search with the same two documents.
type stand struct {
	net.Listener
	shard  ident.Shard
	health []byte
	work   *sync.WaitGroup
}

// stands is a running set of stand-ins.
type stands struct {
	state *config.State
	all   []*stand
	work  sync.WaitGroup
}

func startStands(c Config) (*stands, error) {
	s := &stands{state: config.NewState()}
	for i := range c.Shards * c.Replicas {
		if err := s.add(c, i); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *stands) add(c Config, i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "stand-in cannot listen: free some ports")
	}
	shard := ident.Shard(fmt.Sprint("s", i/c.Replicas))
	health, err := wire.Encode(wire.LeafHealth{
		Health: engine.HealthReady,
		Held: []engine.Held{{
			Shard:    shard,
			Versions: []ident.IndexVersion{held},
		}},
	})
	if err != nil {
		return err
	}
	up := &stand{
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

func (s *stands) close() {
	for _, up := range s.all {
		_ = up.Close()
	}
	s.work.Wait()
}

func (s *stand) serve() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.work.Go(func() {
			defer func() { _ = c.Close() }()
			s.answerAll(c)
		})
	}
}

// answerAll answers requests until the connection ends.
func (s *stand) answerAll(c net.Conn) {
	in := bufio.NewReader(c)
	body := make([]byte, requestSize)
	for {
		n, err := readHeader(in)
		if err != nil || n > len(body) {
			return
		}
		answer := s.health
		if n > 0 {
			if _, err := io.ReadFull(in, body[:n]); err != nil {
				return
			}
			answer = s.answer(body[:n])
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

// readHeader returns the length of the body that follows.
func readHeader(in *bufio.Reader) (int, error) {
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

func (s *stand) answer(body []byte) []byte {
	_, rest, _ := bytes.Cut(body, []byte(`"Attempt":`))
	attempt, _, _ := bytes.Cut(rest, []byte(","))
	out := fmt.Appendf(nil, `{"Request":%q,"Attempt":%s,"Shard":%q,"Version":%d,"Documents":[`, request, attempt, s.shard, held)
	for i := range documents {
		if i > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, `{"ID":"%s-%d","Revision":1,"Score":0.5,"Body":"%0100d"}`, s.shard, i, i)
	}
	return append(out, `],"Load":{"Running":1,"Waiting":0}}`...)
}
