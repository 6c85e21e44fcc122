package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// keepAlive is the idle timeout that leafs state, in seconds.
const keepAlive = 20

// leaf is a stand-in for a server. It runs slots requests at once and queues a few
// more; it rejects the others and says so. A request is dropped when its connection
// closes.
type leaf struct {
	cluster *cluster
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	born    int64

	// listed and draining are what the platform's list shows; the cluster's mutex
	// guards them. A leaf that leaves says so in its answers.
	listed   bool
	draining bool
	leaving  atomic.Bool

	// work returns how long a request takes.
	work func(id string) time.Duration
	// size is the length of a body in bytes.
	size int
	// late, if set, decides whether a second copy of an answer follows, when the
	// next answer on the connection is expected.
	late func() bool

	// deadly is the path of the request that crashes the leaf, for downTime. arrived
	// and crashed, if set, are told of each.
	deadly   string
	downTime time.Duration
	arrived  func(id string)
	crashed  func()
	// worked, if set, is told of each run, when it ends.
	worked func(id string, start, end time.Time)

	mu sync.Mutex
	// lis is nil while the leaf is down, conns are its connections.
	lis     net.Listener
	conns   map[net.Conn]bool
	waiting int
	running int
	free    chan struct{}
	stamps  int
	// runs counts the runs of each request.
	runs map[string]int
	// rejected counts the requests that were not run, copies the second copies.
	rejected, copies int
}

// newLeaf starts a leaf and lists it.
func (c *cluster) newLeaf(l *leaf) error {
	n := len(c.leafs)
	l.cluster, l.listed, l.born = c, true, time.Now().UnixMilli()
	l.id = fmt.Sprintf("i-%s-%d", l.service, n)
	l.free, l.runs = make(chan struct{}, l.slots), make(map[string]int)
	l.address = fmt.Sprintf("%s:0", c.ip(10+n/200, 1+n%200))
	if err := l.listen(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leafs = append(c.leafs, l)
	c.killers = append(c.killers, l.end)
	return nil
}

// listen starts serving at the leaf's address.
func (l *leaf) listen() error {
	lis, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.lis, l.address, l.conns = lis, lis.Addr().String(), make(map[net.Conn]bool)
	l.mu.Unlock()
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			if l.lis == lis {
				l.conns[conn] = true
			}
			l.mu.Unlock()
			go l.serveConn(conn)
		}
	}()
	return nil
}

// end closes the listener and all connections, as the end of the process does.
func (l *leaf) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lis == nil {
		return
	}
	l.lis.Close()
	for conn := range l.conns {
		conn.Close()
	}
	l.lis, l.conns = nil, nil
}

// crash ends the leaf. It starts again at its address after a while.
func (l *leaf) crash() {
	l.cluster.rec.write("%s crashes", l.id)
	l.crashed()
	l.end()
	time.AfterFunc(l.downTime, func() {
		if err := l.listen(); err != nil {
			l.cluster.rec.write("%s cannot start again: %v", l.id, err)
			return
		}
		l.cluster.mu.Lock()
		defer l.cluster.mu.Unlock()
		l.born = time.Now().UnixMilli()
		l.cluster.rec.write("%s is back", l.id)
	})
}

// serveConn serves the requests on a connection, one at a time.
func (l *leaf) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	}()
	r := bufio.NewReader(conn)
	var copyOfLast []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(keepAlive * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if copyOfLast != nil {
			l.cluster.rec.write("%s sends a second copy of its last answer on the connection", l.id)
			if _, err := conn.Write(copyOfLast); err != nil {
				return
			}
			copyOfLast = nil
		}
		answer, ok := l.serve(conn, r, req, body)
		if !ok {
			return
		}
		if l.deadly != "" && req.URL.Path == l.deadly {
			_, _ = conn.Write(answer[:len(answer)-l.size/2]) // the leaf ends in any case
			l.crash()
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if l.late != nil && l.late() {
			copyOfLast = answer
			l.mu.Lock()
			l.copies++
			l.mu.Unlock()
		}
	}
}

// serve runs or rejects a request and returns its answer. It returns false if the
// connection has closed meanwhile.
func (l *leaf) serve(conn net.Conn, r *bufio.Reader, req *http.Request, _ []byte) ([]byte, bool) {
	id := req.Header.Get("Request-Id")
	if req.URL.Path == "/health" {
		return l.answer(http.StatusOK, id, "Instance-Id: "+l.id+"\r\n", nil), true
	}
	want := req.Header.Get("Expected-Instance")
	switch {
	case want != "" && want != l.id:
		return l.answer(http.StatusMisdirectedRequest, id, "Not-Executed: 1\r\n", nil), true
	case id == "":
		return l.answer(http.StatusBadRequest, id, "Not-Executed: 1\r\n", nil), true
	}
	gone := watchClose(conn, r)
	defer gone.stop()
	if !l.admit(gone) {
		l.mu.Lock()
		l.rejected++
		l.mu.Unlock()
		l.cluster.rec.write("%s rejects %s", l.id, id)
		return l.answer(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", nil), true
	}
	l.mu.Lock()
	l.runs[id]++
	l.running++
	l.stamps++
	stamp := fmt.Sprintf("%s.%s.%d", l.id, id, l.stamps)
	l.mu.Unlock()
	if l.deadly != "" && req.URL.Path == l.deadly {
		l.arrived(id)
	}
	l.cluster.rec.write("%s runs %s %s %s", l.id, id, req.Method, req.URL.Path)
	started := time.Now()
	t := time.NewTimer(l.work(id))
	defer t.Stop()
	closed := false
	select {
	case <-t.C:
	case <-gone.closed:
		closed = true
	}
	if l.worked != nil {
		l.worked(id, started, time.Now())
	}
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
	<-l.free
	if closed {
		l.cluster.rec.write("%s drops %s, as its connection has closed", l.id, id)
		return nil, false
	}
	return l.answer(http.StatusOK, id, "Server-Stamp: "+stamp+"\r\n", l.records(id)), true
}

// admit waits for a slot. It returns false if the queue is full.
func (l *leaf) admit(gone *closeWatch) bool {
	select {
	case l.free <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	full := l.waiting >= l.queue
	if !full {
		l.waiting++
	}
	l.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.waiting--
	}()
	select {
	case l.free <- struct{}{}:
		return true
	case <-gone.closed:
		return false
	}
}

func (l *leaf) answer(status int, id, headers string, body []byte) []byte {
	var b bytes.Buffer
	l.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", l.running, l.waiting, l.slots)
	l.mu.Unlock()
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		b.WriteString("Request-Id: " + id + "\r\n")
	}
	b.WriteString(headers)
	if l.leaving.Load() {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	b.WriteString("Server-Load: " + load + "\r\nKeep-Alive: timeout=" + strconv.Itoa(keepAlive) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

// records returns records of 16 bytes that depend on the leaf and the request.
func (l *leaf) records(id string) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < l.size; i++ {
		fmt.Fprintf(&b, "%-16.16s", fmt.Sprintf("%04d%s%s", i, id, l.service))
	}
	return b.Bytes()
}

// closeWatch reports when the peer closes a connection on which no request is due.
type closeWatch struct {
	conn   net.Conn
	closed chan struct{}
	done   chan struct{}
}

func watchClose(conn net.Conn, r *bufio.Reader) *closeWatch {
	w := &closeWatch{
		conn:   conn,
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	_ = conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		if _, err := r.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				close(w.closed)
			}
		}
	}()
	return w
}

func (w *closeWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Now().Add(-time.Second))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
