package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	key      = "secret-key-1"
	otherKey = "secret-key-2"

	// firstAccounts gives both keys to account one, withoutKey only the other one.
	firstAccounts = `,"Tenants":[{"Name":"one","ApiKeys":["` + key + `","` + otherKey + `"]},{"Name":"two"}]`
	withoutKey    = `,"Tenants":[{"Name":"one","ApiKeys":["` + otherKey + `"]},{"Name":"two"}]`
	movedKey      = `,"Tenants":[{"Name":"one","ApiKeys":["` + otherKey + `"]},{"Name":"two","ApiKeys":["` + key + `"]}]`

	// soon bounds what must not wait for an upstream or for the caller.
	soon = 2 * time.Second
)

// logBuffer holds the log of all hosts of a test.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// recorder is an upstream that records the headers of each request by its id. Requests
// to paths that end in /wait are answered only once their callers have left, those to
// /crash end the connection.
type recorder struct {
	mu    sync.Mutex
	heads map[string][]http.Header
	left  map[string]int
	// ended is closed at the end of the test.
	ended chan struct{}
}

func (u *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	u.mu.Lock()
	u.heads[id] = append(u.heads[id], r.Header.Clone())
	u.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/wait") && r.Header.Get("Tenant") != "two" {
		select {
		case <-r.Context().Done():
			u.mu.Lock()
			u.left[id]++
			u.mu.Unlock()
		case <-u.ended:
		}
		return
	}
	if strings.HasSuffix(r.URL.Path, "/crash") {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	_, _ = w.Write([]byte("0123456789abcdef"))
}

// seen returns the headers of the calls for a request, and how many were broken off.
func (u *recorder) seen(id string) (heads []http.Header, left int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(heads, u.heads[id]...), u.left[id]
}

// keyed is a deployment with accounts: a control host, an upstream and entry hosts.
type keyed struct {
	t        *testing.T
	control  *controlHost
	upstream *recorder
	log      *logBuffer
	version  rules.Version
	roster   []board.Host
	front    string
}

// newKeyed starts entry hosts of one domain with a configuration; the last one is that
// which callers use.
func newKeyed(t *testing.T, accounts string, names ...ident.HostID) *keyed {
	t.Helper()
	k := &keyed{
		t:       t,
		control: startControlHost(t, "a"),
		upstream: &recorder{
			heads: map[string][]http.Header{},
			left:  map[string]int{},
			ended: make(chan struct{}),
		},
		log: &logBuffer{},
	}
	srv := httptest.NewServer(k.upstream)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(k.upstream.ended) })
	k.control.SetList(listOf(srv.Listener.Addr().String()), k.control.Now())
	k.configure(accounts)
	k.roster = []board.Host{k.control.host}
	for _, name := range names {
		k.startHost(name)
	}
	k.control.SetRoster(k.roster)
	return k
}

// listOf is a list with one upstream.
func listOf(address string) board.List {
	return board.NewList([]relay.Upstream{{
		ID:      ident.Upstream("u-" + address),
		Service: "s",
		Address: address,
		Domain:  "a",
		Slots:   4,
	}})
}

// configure puts the next version of the configuration in force at the control host.
func (k *keyed) configure(accounts string) {
	k.t.Helper()
	k.version++
	route := func(path, kind, rest string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":"a.example","PathPrefix":%q,"Kind":%q,"TimeoutMs":15000,"TargetLatencyMs":5000,"Priority":1,"MaxAttempts":1,%s}`,
			path, path, kind, rest)
	}
	raw := fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"s","MaxConnections":4000}],"Limits":{}%s}`, k.version, strings.Join([]string{
		route("/one/", "safe", `"Service":"s"`),
		route("/once/", "unsafe", `"Service":"s"`),
		route("/open/", "safe", `"Service":"s","Public":true`),
		route("/search/", "safe", `"Gather":["s"],"TopK":1,"MinShardRatio":1`),
	}, ","), accounts)
	_, err := platform.DecodeDocument([]byte(raw))
	is.New(k.t).NoErr(err)
	packed, err := board.Pack([]byte(raw))
	is.New(k.t).NoErr(err)
	k.control.SetDocument(board.Document{
		Version: k.version,
		Packed:  packed,
	})
}

func (k *keyed) startHost(name ident.HostID) {
	k.t.Helper()
	is := is.New(k.t)
	free := func() string {
		address, err := ports.Free()
		is.NoErr(err)
		return address
	}
	k.front = free()
	link, ready := free(), free()
	f, err := front.New(front.Config{
		Name:   name,
		Domain: "a",
		Front:  k.front,
		Ready:  ready,
		Link:   link,
		Seeds:  []string{k.control.host.Link},
		Extra: budget.Config{
			Ratio:  0.2,
			Slack:  10,
			Window: 10 * time.Second,
		},
		Grace: time.Second,
		Log:   slog.New(slog.NewJSONHandler(k.log, &slog.HandlerOptions{Level: slog.LevelDebug})),
	})
	is.NoErr(err)
	run(k.t, f.Run)
	k.roster = append(k.roster, board.Host{
		ID:     name,
		Kind:   board.Entry,
		Domain: "a",
		Link:   link,
	})
	is.True(waitFor(k.t, applyTimeout, func() bool {
		res, err := http.Get("http://" + ready + platform.PathReady)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}))
}

// caller is a kept connection of a caller.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (k *keyed) dial() *caller {
	k.t.Helper()
	conn, err := net.Dial("tcp", k.front)
	is.New(k.t).NoErr(err)
	k.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{
		t:    k.t,
		conn: conn,
		in:   bufio.NewReader(conn),
	}
}

// write sends a request line with headers, each with its line end.
func (c *caller) write(request, id, headers string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 9000\r\n%s\r\n", request, id, headers)
	is.New(c.t).NoErr(err)
}

func (c *caller) status() int {
	c.t.Helper()
	res, err := http.ReadResponse(c.in, nil)
	is.New(c.t).NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.New(c.t).NoErr(err)
	_ = res.Body.Close()
	return res.StatusCode
}

func (c *caller) get(path, id, headers string) int {
	c.t.Helper()
	c.write("GET "+path, id, headers)
	return c.status()
}

func withKey(k string) string { return "X-Api-Key: " + k + "\r\n" }

// checkLog checks that no key is in the log.
func (k *keyed) checkLog() {
	k.t.Helper()
	if strings.Contains(k.log.String(), "secret-key") {
		k.t.Error("a key is in the log")
	}
}

// Guards against a request that is served without the key of an account, or refused with
// one, and against a key that reaches an upstream or a log.
func TestKeyIsRequired(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t, firstAccounts, "h")
	c := k.dial()
	is.Equal(c.get("/one/x", "good", withKey(key)+"Tenant: forged\r\nX-Own: 1\r\n"), http.StatusOK)
	for name, headers := range map[string]string{
		"none":    "",
		"unknown": withKey("secret-key-3"),
		"empty":   withKey(""),
		"two":     withKey(key) + withKey(key),
		"list":    withKey(key + ", " + otherKey),
	} {
		is.Equal(c.get("/one/x", name, headers), http.StatusUnauthorized)
		heads, _ := k.upstream.seen(name)
		is.Equal(len(heads), 0)
	}
	is.Equal(c.get("/none/x", "no route", ""), http.StatusNotFound)
	heads, _ := k.upstream.seen("good")
	is.Equal(len(heads), 1)
	is.Equal(heads[0]["Tenant"], []string{"one"})
	is.Equal(heads[0]["X-Api-Key"], nil)
	is.Equal(heads[0].Get("X-Own"), "1")

	is.Equal(c.get("/open/x", "open", "Tenant: forged\r\n"), http.StatusOK)
	is.Equal(c.get("/open/x", "open unknown", withKey("secret-key-3")), http.StatusOK)
	is.Equal(c.get("/open/x", "open known", withKey(key)), http.StatusOK)
	for id, want := range map[string][]string{
		"open":         nil,
		"open unknown": nil,
		"open known":   {"one"},
	} {
		heads, _ := k.upstream.seen(id)
		is.Equal(len(heads), 1)
		is.Equal(heads[0]["Tenant"], want)
		is.Equal(heads[0]["X-Api-Key"], nil)
	}
	is.True(strings.Contains(k.log.String(), `"Request":"unknown","Account":"unknown","Reason":"Unknown"`))
	k.checkLog()
}

// Guards against a deployment without accounts whose callers' headers change.
func TestWithoutAccountsAllHeadersAreForwarded(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t, "", "h")
	is.Equal(k.dial().get("/one/x", "r", withKey(key)+"Tenant: own\r\n"), http.StatusOK)
	heads, _ := k.upstream.seen("r")
	is.Equal(heads[0]["Tenant"], []string{"own"})
	is.Equal(heads[0]["X-Api-Key"], []string{key})
}

// Guards against a refusal that waits for a body, which a caller may never send, and
// against a refused caller whose connection cannot be used again.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t, firstAccounts, "h")
	c := k.dial()
	_ = c.conn.SetReadDeadline(time.Now().Add(soon))
	c.write("POST /once/x", "stalled", "Content-Length: 5\r\n")
	is.Equal(c.status(), http.StatusUnauthorized)
	_, err := io.WriteString(c.conn, "hello")
	is.NoErr(err)
	is.Equal(c.get("/one/x", "next", withKey(key)), http.StatusOK)

	for _, headers := range []string{"Content-Length: 5\r\nExpect: 100-continue\r\n", "Transfer-Encoding: chunked\r\n"} {
		c := k.dial()
		_ = c.conn.SetReadDeadline(time.Now().Add(soon))
		c.write("POST /once/x", "stalled", headers)
		is.Equal(c.status(), http.StatusUnauthorized)
	}

	c = k.dial()
	c.write("POST /once/x", "chunks", "Transfer-Encoding: chunked\r\n")
	is.Equal(c.status(), http.StatusUnauthorized)
	_, err = io.WriteString(c.conn, "5\r\nhello\r\n0\r\n\r\n")
	is.NoErr(err)
	is.Equal(c.get("/one/x", "after chunks", withKey(key)), http.StatusOK)
}

// Guards against a host without a configuration that refuses keys which it cannot know.
func TestWithoutConfigurationNoKeyIsRefused(t *testing.T) {
	is := is.New(t)
	address, err := ports.Free()
	is.NoErr(err)
	link, err := ports.Free()
	is.NoErr(err)
	ready, err := ports.Free()
	is.NoErr(err)
	f, err := front.New(front.Config{
		Name:   "h",
		Domain: "a",
		Front:  address,
		Ready:  ready,
		Link:   link,
		Grace:  time.Second,
		Log:    slog.New(slog.DiscardHandler),
	})
	is.NoErr(err)
	run(t, f.Run)
	for _, headers := range []string{"", withKey(key), withKey(key) + withKey(key)} {
		var res *http.Response
		is.True(waitFor(t, applyTimeout, func() bool {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return false // not yet listening
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(soon))
			_, _ = fmt.Fprintf(c, "POST /one/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n%s\r\n", headers)
			res, err = http.ReadResponse(bufio.NewReader(c), nil)
			return err == nil
		}))
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.True(res.Header.Get("Retry-After") != "")
	}
}

// Guards against a withdrawn key that still works on a kept connection or for a request
// that waits, and whose calls go on; and against a request that ends although its own key
// stays valid.
func TestWithdrawnKey(t *testing.T) {
	for _, path := range []string{"/one/wait", "/once/wait", "/search/wait"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			k := newKeyed(t, firstAccounts, "h")
			kept, waiting, other := k.dial(), k.dial(), k.dial()
			is.Equal(kept.get("/one/x", "before", withKey(key)), http.StatusOK)
			waiting.write("GET "+path, "waiting", withKey(key))
			other.write("GET "+path, "other", withKey(otherKey))
			is.True(waitFor(t, soon, func() bool {
				heads, _ := k.upstream.seen("waiting")
				others, _ := k.upstream.seen("other")
				return len(heads) == 1 && len(others) == 1
			}))
			k.configure(withoutKey)
			is.Equal(waiting.status(), http.StatusUnauthorized)
			is.True(waitFor(t, soon, func() bool {
				_, left := k.upstream.seen("waiting")
				return left == 1
			}))
			is.Equal(kept.get("/one/x", "after", withKey(key)), http.StatusUnauthorized)
			is.Equal(kept.get("/one/x", "rotated", withKey(otherKey)), http.StatusOK)
			_, left := k.upstream.seen("other")
			is.Equal(left, 0)
			is.True(strings.Contains(k.log.String(), `"Request":"waiting","Account":"one","Reason":"Revoked"`))
			k.checkLog()
		})
	}
}

// Guards against a 401 for a request that both configurations allow, and against calls
// that go on under the former account.
func TestMovedKeyBeginsAgain(t *testing.T) {
	for _, path := range []string{"/one/wait", "/search/wait"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			k := newKeyed(t, firstAccounts, "h")
			c := k.dial()
			c.write("GET "+path, "moved", withKey(key))
			is.True(waitFor(t, soon, func() bool {
				heads, _ := k.upstream.seen("moved")
				return len(heads) == 1
			}))
			k.configure(movedKey)
			is.Equal(c.status(), http.StatusOK) // the upstream answers account two
			heads, _ := k.upstream.seen("moved")
			is.Equal(len(heads), 2)
			is.Equal(heads[0].Get("Tenant"), "one")
			is.Equal(heads[1].Get("Tenant"), "two")
		})
	}
}

// Guards against a request that may run once only and runs again under another account.
func TestMovedKeyOfARequestThatRunsOnce(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t, firstAccounts, "h")
	c := k.dial()
	c.write("GET /once/wait", "moved", withKey(key))
	is.True(waitFor(t, soon, func() bool {
		heads, _ := k.upstream.seen("moved")
		return len(heads) == 1
	}))
	k.configure(movedKey)
	is.Equal(c.status(), http.StatusBadGateway)
	heads, _ := k.upstream.seen("moved")
	is.Equal(len(heads), 1)
}

// Guards against a request of one account that crashes upstreams and causes the refusal of
// the same request of another account.
func TestPrintIncludesTheAccount(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t, movedKey, "h")
	c := k.dial()
	printOf := func(id, key string) string {
		is.Equal(c.get("/once/crash", id, withKey(key)), http.StatusBadGateway)
		var found []string
		is.True(waitFor(t, soon, func() bool {
			found = regexp.MustCompile(`"Request":"` + id + `","Print":"([0-9a-f]+)"`).FindStringSubmatch(k.log.String())
			return found != nil
		}))
		return found[1]
	}
	first := printOf("first", key)
	is.True(first != printOf("second", otherKey))
	is.Equal(first, printOf("third", key))
}

// delegatedNames returns the names of two hosts of which the first is the first gatherer,
// and ids of requests that the second delegates to it. Both log these requests.
func delegatedNames(ids int) (names []ident.HostID, list []string) {
	names = []ident.HostID{"h-1", "h-2"}
	if gather.Hash(string(names[0])) > gather.Hash(string(names[1])) {
		names[0], names[1] = names[1], names[0]
	}
	for i := 0; len(list) < ids; i++ {
		if id := fmt.Sprintf("search-%d", i); gather.Hash(id)%64 == 0 {
			list = append(list, id)
		}
	}
	return names, list
}

// Guards against a delegated search that lacks its account or carries the key, or whose
// calls go on at the other host after its key was withdrawn.
func TestDelegatedSearchHasTheAccount(t *testing.T) {
	is := is.New(t)
	names, ids := delegatedNames(20)
	k := newKeyed(t, firstAccounts, names...)
	delegated := func(id string) bool {
		return strings.Contains(k.log.String(), fmt.Sprintf(`"msg":"query was delegated","Request":"%s"`, id))
	}
	c := k.dial()
	sent := 0
	is.True(waitFor(t, 10*time.Second, func() bool { // until the first host answers pings
		is.Equal(c.get("/search/x", ids[sent%18], withKey(key)+"Tenant: forged\r\n"), http.StatusOK)
		sent++
		return delegated(ids[(sent-1)%18])
	}))
	heads, _ := k.upstream.seen(ids[(sent-1)%18])
	is.True(len(heads) > 0)
	for _, h := range heads {
		is.Equal(h["Tenant"], []string{"one"})
		is.Equal(h["X-Api-Key"], nil)
	}

	waiting := k.dial()
	waiting.write("GET /search/wait", ids[19], withKey(key))
	is.True(waitFor(t, soon, func() bool {
		heads, _ := k.upstream.seen(ids[19])
		return len(heads) == 1
	}))
	k.configure(withoutKey)
	is.Equal(waiting.status(), http.StatusUnauthorized)
	is.True(delegated(ids[19]))
	is.True(waitFor(t, soon, func() bool {
		_, left := k.upstream.seen(ids[19])
		return left == 1
	}))
	k.checkLog()
}

// Guards against a key in the log that a caller has put into a malformed line after its
// body.
func TestMalformedTrailerIsNotLogged(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t, firstAccounts, "h")
	c := k.dial()
	c.write("POST /one/x", "trailer", withKey(key)+"Transfer-Encoding: chunked\r\n")
	_, err := c.conn.Write([]byte("1\r\nx\r\n0\r\nX-Api-Key " + key + "\r\n\r\n"))
	is.NoErr(err)
	is.Equal(c.status(), http.StatusBadRequest)
	k.checkLog()
	is.True(strings.Contains(k.log.String(), "malformed trailer"))
}

// Guards against a request whose permit a new table withdraws while it is on its way to
// the engine, which has that table already: calls with a withdrawn key, and a request
// that may run once only and runs twice, as it begins again under the new table.
func TestEngineTakesNoRequestWithoutAPermit(t *testing.T) {
	is := is.New(t)
	f, err := front.New(front.Config{
		Extra: budget.Config{Window: time.Second},
		Log:   slog.New(slog.DiscardHandler),
	})
	is.NoErr(err)
	table := func(version int, accounts string) *rules.Table {
		doc, err := platform.DecodeDocument(fmt.Appendf(nil,
			`{"Version":%d,"Routes":[{"Name":"once","Host":"a.example","PathPrefix":"/","Kind":"unsafe","TimeoutMs":1000,"MaxAttempts":1,"Service":"s"}],"Services":[{"Name":"s"}]%s}`,
			version, accounts))
		is.NoErr(err)
		return rules.NewTable(doc)
	}
	calls, err := f.CallsAfterWithdrawal(table(1, firstAccounts), table(2, withoutKey), "a.example", "/x", []string{key})
	is.NoErr(err)
	is.Equal(calls, 0)
	calls, err = f.CallsAfterWithdrawal(table(3, firstAccounts), table(4, firstAccounts), "a.example", "/x", []string{key})
	is.NoErr(err)
	is.Equal(calls, 1) // the key is still valid
}
