package tier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/crowd"
	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// crowdTime is how long a crowd sends, and crowdRounds how often each of its clients
	// connects again at once after its connection was closed.
	crowdTime   = time.Second
	crowdRounds = 20

	// crowdFrames is the number of clients that send large messages to the link port.
	crowdFrames = 100
	linkMessage = 4 << 20 // bytes, the limit of a message

	// checkHead is the size of the heads that are sent to listeners without a
	// configured limit.
	checkHead = 16 << 10
)

// face runs one crowd after the other, and all at once, and checks the process and an
// ordinary request while the last connections are open.
func (h *hostileSystem) face(address string, shapes []crowd.Shape) {
	h.t.Helper()
	for _, s := range append(shapes, crowd.Mixed(shapes)) {
		var open []net.Conn
		h.watch(func() {
			open = crowd.Run(crowd.Config{
				Address: address,
				Clients: h.clients,
				Time:    crowdTime,
				Rounds:  crowdRounds,
			}, s)
		})
		h.t.Log(s.Name)
		h.check()
		for _, c := range open {
			_ = c.Close()
		}
		h.process().ResetPeak()
		h.descriptors = 0
	}
}

// get sends ordinary requests to a URL until one is answered with 200.
func (h *hostileSystem) get(url string) {
	h.t.Helper()
	client := &http.Client{Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get(url)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			return
		}
	}
	h.t.Errorf("no answer from %s", url)
}

// call calls a method at the listener for other hosts until it answers.
func (h *hostileSystem) call(address, method string, in, out any) {
	h.t.Helper()
	client, err := link.NewClient(link.Config{})
	is.New(h.t).NoErr(err)
	defer func() { _ = client.Close() }()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = client.Call(context.Background(), address, method, in, out); err == nil {
			return
		}
	}
	h.t.Errorf("no answer from %s at %s: %v", method, address, err)
}

// callerStart is the start of a request that the entry hosts serve.
const callerStart = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nDeadline-Milliseconds: 3000\r\n"

// Guards against crowds of callers that connect again at once after each refusal.
func TestCrowdsOfCallers(t *testing.T) {
	h := newHostileSystem(t, 0)
	h.face(h.address, crowd.HTTP(callerStart, hostileHead, hostileBody))
}

// Guards against crowds at the listeners that are meant for the platform: readiness
// checks and metrics of an entry host, and metrics of a control host.
func TestCrowdsAtChecks(t *testing.T) {
	for name, start := range map[string]func(*testing.T) (h *hostileSystem, address, path string){
		"readiness": func(t *testing.T) (*hostileSystem, string, string) {
			h := newHostileSystem(t, 0)
			return h, h.ready, "/-/readiness"
		},
		"metrics of an entry host": func(t *testing.T) (*hostileSystem, string, string) {
			h := newHostileSystem(t, 0)
			return h, h.metrics, "/metrics"
		},
		"metrics of a control host": func(t *testing.T) (*hostileSystem, string, string) {
			h := newHostileControl(t)
			h.clients = hostileClients
			return h, h.metrics, "/metrics"
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, address, path := start(t)
			served := h.ordinary
			h.ordinary = func() {
				served()
				h.get("http://" + address + path)
			}
			h.face(address, crowd.HTTP("GET "+path+" HTTP/1.1\r\nHost: a\r\n", checkHead, hostileBody))
		})
	}
}

// Guards against crowds at the listeners for other hosts, with frames of their protocol
// and with requests of another one.
func TestCrowdsAtLinks(t *testing.T) {
	for name, start := range map[string]func(*testing.T) (*hostileSystem, func()){
		"entry host": func(t *testing.T) (*hostileSystem, func()) {
			h := newHostileSystem(t, 0)
			return h, func() {
				h.call(h.link, front.MethodExplain, &front.ExplainRequest{
					Host: "a.example",
					Path: "/x/1",
				}, &front.ExplainReply{})
			}
		},
		"control host": func(t *testing.T) (*hostileSystem, func()) {
			h := newHostileControl(t)
			h.clients = hostileClients
			return h, func() { h.call(h.link, watch.MethodPoll, pollOf("poller"), &board.Reply{}) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, call := start(t)
			served := h.ordinary
			h.ordinary = func() {
				served()
				call()
			}
			h.face(h.link, append(crowd.Frames(crowdFrames, linkMessage), crowd.HTTP(callerStart, checkHead, hostileBody)...))
		})
	}
}

// pollOf returns the poll of a host that wants an answer at once.
func pollOf(name string) *board.Request {
	return &board.Request{
		From: board.Host{
			ID:     ident.HostID(name),
			Kind:   board.Control,
			Domain: "a",
			Link:   "127.0.9.60:1",
		},
		AtOnce: true,
	}
}

// Guards against crowds of operators that connect again at once after each refusal.
func TestCrowdsOfOperators(t *testing.T) {
	h := newHostileControl(t)
	start := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\n", platform.PathConfiguration)
	h.face(h.address, crowd.HTTP(start, checkHead, operatorBody-1))
}

// Guards against datagrams from elsewhere, at both kinds of hosts.
func TestCrowdsOfDatagrams(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *hostileSystem{
		"entry host":   func(t *testing.T) *hostileSystem { return newHostileSystem(t, 0) },
		"control host": newHostileControl,
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			c, err := net.Dial("udp", h.link)
			is.New(t).NoErr(err)
			defer func() { _ = c.Close() }()
			const datagrams, kinds = 40_000, 8
			b := make([]byte, 1400)
			for n := range datagrams {
				copy(b, fmt.Sprintf("%c\x83\xf5%d", n%kinds, n))
				_, _ = c.Write(b[:1+n%len(b)])
			}
			h.check()
		})
	}
}

// answerStart is the start of an answer of an upstream to a request of TestCrowdsOfAnswers.
const answerStart = "HTTP/1.1 200 OK\r\nRequest-Id: crowd\r\nServer-Stamp: s.crowd\r\n"

// Guards against answers of upstreams that cost more than their bytes while many
// ordinary requests run.
func TestCrowdsOfAnswers(t *testing.T) {
	const clients, rounds = 60, 20
	h := newHostileSystem(t, 0)
	ask := crowd.Shape{
		Name: "ordinary requests",
		Send: func(c net.Conn, _ int) { _, _ = io.WriteString(c, callerStart+"Connection: close\r\n\r\n") },
	}
	for _, s := range crowd.HTTP(answerStart, pipe.MaxHead-1024, pipe.MaxAnswer) {
		h.hostileUpstreams.Store(&s)
		h.watch(func() {
			for _, c := range crowd.Run(crowd.Config{
				Address: h.address,
				Clients: clients,
				Time:    crowdTime,
				Rounds:  rounds,
			}, ask) {
				_ = c.Close()
			}
		})
		h.hostileUpstreams.Store(nil)
		h.t.Log(s.Name)
		h.check()
		h.process().ResetPeak()
		h.descriptors = 0
	}
}

// Guards against pages of the list of upstreams that cost more than their bytes.
func TestHostileList(t *testing.T) {
	const reads = 1500 * time.Millisecond // more than one read of the list
	h := newHostileControl(t)
	for _, s := range crowd.HTTP("HTTP/1.1 200 OK\r\n", pipe.MaxHead-1024, 1<<20) {
		h.hostileList.Store(&s)
		h.watch(func() { time.Sleep(reads) })
	}
	h.hostileList.Store(nil)
	h.check()
}

// hostileSettings writes the settings file of a hostile system and returns its path.
func hostileSettings(t *testing.T, memory, descriptors int) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings")
	is.New(t).NoErr(os.WriteFile(file, fmt.Appendf(nil, "memory %d\ndescriptors %d\nlog-level error\n", memory, descriptors), 0o600))
	return file
}
