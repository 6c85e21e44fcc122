package host_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	benchShards   = 20
	benchReplicas = 2
	benchCallers  = 4
)

// stand is an upstream that costs as little CPU as possible, so that the
// benchmarks compare the hosts in front of it.
type stand struct {
	net.Listener
	shard ident.Shard
	work  sync.WaitGroup
}

func (s *stand) serve() {
	defer s.work.Done()
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			defer c.Close()
			s.answerAll(c)
		}()
	}
}

func (s *stand) answerAll(c net.Conn) {
	in := bufio.NewReader(c)
	body := make([]byte, 4096)
	health, _ := json.Marshal(wire.LeafHealth{
		Health: engine.HealthReady,
		Held: []engine.Held{{
			Shard:    s.shard,
			Versions: []ident.IndexVersion{7},
		}},
	})
	for {
		n := 0
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				break
			}
			if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
				n, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
			}
		}
		answer := health
		if n > 0 {
			if _, err := io.ReadFull(in, body[:n]); err != nil {
				return
			}
			_, rest, _ := bytes.Cut(body[:n], []byte(`"Attempt":`))
			attempt, _, _ := bytes.Cut(rest, []byte(","))
			answer = fmt.Appendf(nil, `{"Request":"bench","Attempt":%s,"Shard":%q,"Version":7,"Documents":[{"ID":"%s-1","Revision":1,"Score":0.5,"Body":"%0100d"},{"ID":"%s-2","Revision":1,"Score":0.25,"Body":"%0100d"}],"Load":{"Running":1,"Waiting":0}}`, attempt, s.shard, s.shard, 1, s.shard, 2)
		}
		out := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// startStands returns a configuration of stand-ins.
func startStands(b *testing.B) *config.State {
	state := config.NewState()
	for i := range benchShards * benchReplicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &stand{
			Listener: l,
			shard:    ident.Shard(fmt.Sprint("s", i/benchReplicas)),
		}
		s.work.Add(1)
		go s.serve()
		b.Cleanup(func() {
			l.Close()
			s.work.Wait()
		})
		state, err = state.Apply(config.AddUpstream{Upstream: config.Upstream{
			ID:        ident.Upstream(fmt.Sprint("u", i)),
			Address:   l.Addr().String(),
			Index:     "review-panel",
			Service:   ident.Service(s.shard),
			Shards:    []ident.Shard{s.shard},
			Slots:     benchCallers,
			ConnLimit: benchCallers * 25,
		}})
		if err != nil {
			b.Fatal(err)
		}
	}
	return state
}

// bare is the plainest fan-out: one net/http call for each shard, answers
// appended, no versions, hedges, limits or coverage.
func bare(state *config.State, client *http.Client) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req wire.SearchRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		answers := make([]engine.Answer, benchShards)
		var group sync.WaitGroup
		for i := range answers {
			group.Go(func() {
				u := state.Upstreams[i*benchReplicas]
				body, _ := json.Marshal(wire.LeafSearch{
					Request: "bench",
					Attempt: ident.AttemptID(i),
					Index:   req.Index,
					Shard:   u.Shards[0],
					Version: 7,
				})
				leaf, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+wire.PathLeafSearch, bytes.NewReader(body))
				leaf.Header.Set("Content-Type", "application/json")
				resp, err := client.Do(leaf)
				if err != nil {
					return
				}
				_ = json.NewDecoder(resp.Body).Decode(&answers[i])
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			})
		}
		group.Wait()
		out := wire.SearchAnswer{Outcome: engine.Done}
		for i := range answers {
			out.Documents = append(out.Documents, answers[i].Documents...)
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

// measure asks url from several callers at once and reports the CPU time and
// the allocations of the whole process for each leaf call.
func measure(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	defer client.CloseIdleConnections()
	var fault atomic.Value // the first answer that was not whole
	ask := func() bool {
		req, _ := http.NewRequest(http.MethodPost, url+wire.PathSearch, strings.NewReader(`{"Index":"review-panel","Terms":"x"}`))
		req.Header.Set(wire.HeaderRequestID, "bench")
		req.Header.Set(wire.HeaderClass, "Critical") // other classes are paced on a busy machine
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		whole := bytes.Contains(body, []byte(`"Outcome":"Done"`)) && bytes.Count(body, []byte(`"ID"`)) == 2*benchShards
		if !whole {
			fault.CompareAndSwap(nil, string(body[:min(len(body), 500)]))
		}
		return whole
	}
	for end := time.Now().Add(waitLimit); !ask(); {
		if time.Now().After(end) {
			b.Fatal("no whole answer")
		}
	}
	for range 200 {
		ask()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	fault = atomic.Value{}
	b.ResetTimer()
	var left atomic.Int64
	left.Store(int64(b.N))
	var callers sync.WaitGroup
	var short atomic.Int64
	for range benchCallers {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				if !ask() {
					short.Add(1)
				}
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	if n := short.Load(); n > 0 {
		b.Errorf("%d of %d answers are not whole, the first: %v", n, b.N, fault.Load())
	}
	cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	calls := float64(b.N * benchShards)
	b.ReportMetric(float64(cpu.Nanoseconds())/calls, "cpu-ns/leaf")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/calls, "allocs/leaf")
	b.ReportMetric(float64(after.HeapInuse)/(1<<20), "heap-MiB")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkBare is the baseline of BenchmarkHost.
func BenchmarkBare(b *testing.B) {
	state := startStands(b)
	leaf := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchCallers}}
	defer leaf.CloseIdleConnections()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: bare(state, leaf)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	measure(b, "http://"+l.Addr().String())
	server.Close()
	<-done
}

// BenchmarkHost is a host with its engine and metrics, without sampled spans.
func BenchmarkHost(b *testing.B) {
	state := startStands(b)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	control := newFakeControl()
	counts := stats.New()
	defer counts.Close()
	h, err := host.New(host.Config{
		ID:       "h1",
		Listener: l,
		Engine: engine.NewEngine(engine.Config{
			Host: "h1",
			Seed: 1,
		}),
		Control: control,
		Stats:   counts,
		Grace:   time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	control.configs <- state
	control.seats <- engine.SeatHeld
	measure(b, "http://"+l.Addr().String())
	stop()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
