package fault_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a proxy named "a>b" in front of an echo server, and returns the
// group and a function that dials through the proxy.
func start(t *testing.T, rules fault.Rules) (*fault.Group, func() net.Conn) {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	g, err := fault.NewGroup([]fault.Config{{
		Name:   "a>b",
		Listen: "127.0.0.1:0",
		Target: echo.Addr().String(),
		Seed:   7,
		Rules:  rules,
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		echo.Close()
	})
	return g, func() net.Conn {
		c, err := net.Dial("tcp", g.Proxies()[0].Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// echo sends a text and returns the bytes echoed within the time limit, and the
// round-trip time.
func echo(c net.Conn, text string, timeout time.Duration) (string, time.Duration, error) {
	start := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		return "", 0, err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	buf := make([]byte, len(text))
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), time.Since(start), err
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// Guards against a proxy that changes or drops bytes, or does not forward the
// end of the stream.
func TestForwardsUnchanged(t *testing.T) {
	is := is.New(t)
	_, dial := start(t, fault.Rules{})
	c := dial()
	text := strings.Repeat("0123456789", 50_000)
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(len(got), len(text))
	is.True(string(got) == text)
}

// Guards against delay and bandwidth limits that have no effect.
func TestDelayAndBandwidth(t *testing.T) {
	is := is.New(t)
	g, dial := start(t, fault.Rules{
		Forward:  fault.Path{DelayMicros: 30_000},
		Backward: fault.Path{DelayMicros: 20_000},
	})
	c := dial()
	_, took, err := echo(c, "x", 10*time.Second)
	is.NoErr(err)
	is.True(took >= 50*time.Millisecond)
	is.NoErr(g.Proxies()[0].Set(fault.Rules{Forward: fault.Path{BytesPerSecond: 10_000}}))
	_, took, err = echo(c, strings.Repeat("x", 1_000), 10*time.Second)
	is.NoErr(err)
	is.True(took >= 100*time.Millisecond)
}

// Guards against a blackhole that forwards bytes, returns an error to either
// side, affects the other direction, or drops the delayed bytes.
func TestBlackholeOneWay(t *testing.T) {
	is := is.New(t)
	g, dial := start(t, fault.Rules{})
	p := g.Proxies()[0]
	c := dial()
	_, _, err := echo(c, "before", 10*time.Second)
	is.NoErr(err)
	is.NoErr(p.Set(fault.Rules{Backward: fault.Path{Blackhole: true}}))
	forward := p.Stats().Forward
	_, _, err = echo(c, "held", 50*time.Millisecond)
	is.True(isTimeout(err))
	for end := time.Now().Add(10 * time.Second); p.Stats().Forward != forward+4; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the other direction still works
	}
	is.NoErr(p.Set(fault.Rules{}))
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, 4)
	_, err = io.ReadFull(c, buf)
	is.NoErr(err)
	is.Equal(string(buf), "held")
}

// Guards against cut and half-open connections that the client cannot tell
// apart, and against refused connections that still work.
func TestBrokenConnections(t *testing.T) {
	is := is.New(t)
	g, dial := start(t, fault.Rules{})
	p := g.Proxies()[0]
	c := dial()
	_, _, err := echo(c, "x", 10*time.Second)
	is.NoErr(err)
	p.HalfOpen()
	_, _, err = echo(c, "x", 50*time.Millisecond)
	is.True(isTimeout(err))
	_, _, err = echo(c, "x", 50*time.Millisecond)
	is.True(isTimeout(err)) // the client still sees no error

	c = dial()
	_, _, err = echo(c, "x", 10*time.Second)
	is.NoErr(err)
	p.Cut()
	_, _, err = echo(c, "x", 10*time.Second)
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))

	is.NoErr(p.Set(fault.Rules{Forward: fault.Path{DropFraction: 1}}))
	_, _, err = echo(dial(), "x", 10*time.Second)
	is.True(err != nil && !isTimeout(err))
	is.NoErr(p.Set(fault.Rules{RefuseFraction: 1}))
	// The client may receive the reset before or after its dial succeeds.
	c, err = net.Dial("tcp", p.Address())
	if err == nil {
		_, _, err = echo(c, "x", 10*time.Second)
		c.Close()
	}
	is.True(err != nil && !isTimeout(err))
	is.Equal(p.Stats().Refused, uint64(1))
}

// Guards against reordering that delays all connections alike.
func TestReorderBetweenConnections(t *testing.T) {
	is := is.New(t)
	_, dial := start(t, fault.Rules{ReorderMicros: 200_000})
	least, most := time.Hour, time.Duration(0)
	for range 6 {
		_, took, err := echo(dial(), "x", 10*time.Second)
		is.NoErr(err)
		least, most = min(least, took), max(most, took)
	}
	is.True(most-least > 50*time.Millisecond)
}

// Guards against a control handler that ignores a valid change, or accepts an
// unknown field, name or value.
func TestControlPath(t *testing.T) {
	is := is.New(t)
	g, _ := start(t, fault.Rules{})
	for _, c := range []struct {
		body   string
		status int
	}{
		{`{"Match":"a>*","Rules":{"Forward":{"Blackhole":true}}}`, http.StatusOK},
		{`{"Match":"a>*","Do":"Cut"}`, http.StatusOK},
		{`{"Match":"c>*","Do":"Cut"}`, http.StatusUnprocessableEntity},
		{`{"Match":"a>b","Do":"Melt"}`, http.StatusUnprocessableEntity},
		{`{"Match":"a>b","Rules":{"Forward":{"DropFraction":2}}}`, http.StatusUnprocessableEntity},
		{`{"Match":"a>b","Rules":{"Forwards":{}}}`, http.StatusBadRequest},
		{`{"Match":"a>b","Rule":{}}`, http.StatusBadRequest},
	} {
		w := httptest.NewRecorder()
		g.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, fault.PathChange, strings.NewReader(c.body)))
		is.Equal(w.Code, c.status)
	}
	is.True(g.Proxies()[0].Rules().Forward.Blackhole)
}
