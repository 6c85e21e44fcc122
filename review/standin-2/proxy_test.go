package standin_test

import (
	"errors"
	"net"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// network is the connections between processes, which can be cut pair by pair. It
// behaves as the pages say: what is on its way during a cut is held up and delivered
// after it, unless its sender resets the connection; a connection cannot be opened
// across a cut.
type network struct {
	w  *world
	mu sync.Mutex
	// cut holds the pairs of processes that are cut off from each other. healed is
	// closed when the cut ends.
	cut    map[[2]string]bool
	healed chan struct{}
}

const (
	// zoneDelay is the delay between zones, one way.
	zoneDelay = 900 * time.Microsecond
	// roundTrip is how much later than the data before it the end of a connection
	// arrives after a cut: TCP repeats the first segment that is missing, and sends on
	// once that is acknowledged.
	roundTrip = 2 * zoneDelay
)

func newNetwork(w *world) *network { return &network{w: w, cut: map[[2]string]bool{}} }

// cutOff cuts one process off from others.
func (n *network) cutOff(p *process, others ...*process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.healed = make(chan struct{})
	for _, o := range others {
		n.cut[[2]string{p.link(), o.link()}], n.cut[[2]string{o.link(), p.link()}] = true, true
	}
	n.w.log("%s is cut off from the other control hosts", p.name)
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.healed)
	n.w.log("the cut has ended")
}

// isCut returns a channel that is closed at the end of the cut between two processes,
// nil if there is none.
func (n *network) isCut(a, b string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[[2]string{a, b}] {
		return n.healed
	}
	return nil
}

// serve forwards the connections to a process.
func (n *network) serve(p *process) {
	lis, err := net.Listen("tcp", p.link())
	if err != nil {
		n.w.notRun("%v", err)
	}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go n.forward(c.(*net.TCPConn), p)
		}
	}()
}

// firstID matches the id of a control host. The first one that a connection carries is
// that of the process that has opened it.
var firstID = regexp.MustCompile(`first-(127\.[0-9.]+:[0-9]+)`)

// forward forwards one connection. Who has opened it is known from its first bytes.
func (n *network) forward(client *net.TCPConn, p *process) {
	head := make([]byte, 64<<10)
	size, err := client.Read(head)
	if err != nil {
		_ = client.Close()
		return
	}
	dialer := ""
	if m := firstID.FindSubmatch(head[:size]); m != nil {
		dialer = string(m[1])
	}
	if healed := n.isCut(dialer, p.link()); healed != nil {
		// The connection was opened across the cut, which is not possible.
		<-healed
		reset(client)
		return
	}
	raw, err := net.DialTimeout("tcp", p.bound+p.link()[len(p.ip):], time.Second)
	if err != nil {
		reset(client)
		return
	}
	target := raw.(*net.TCPConn)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		n.pump(client, target, head[:size], dialer, p.link())
	}()
	go func() {
		defer wg.Done()
		n.pump(target, client, nil, p.link(), dialer)
	}()
	wg.Wait()
	_ = client.Close()
	_ = target.Close()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// pump forwards what one side sends to the other.
func (n *network) pump(from, to *net.TCPConn, first []byte, sender, receiver string) {
	type chunk struct {
		data  []byte
		reset bool
		at    time.Time
	}
	chunks := make(chan chunk, 1<<14)
	go func() {
		if first != nil {
			chunks <- chunk{data: first, at: time.Now()}
		}
		for {
			b := make([]byte, 64<<10)
			size, err := from.Read(b)
			if size > 0 {
				chunks <- chunk{data: b[:size], at: time.Now()}
			}
			if err != nil {
				chunks <- chunk{reset: errors.Is(err, syscall.ECONNRESET), at: time.Now()}
				close(chunks)
				return
			}
		}
	}()
	for c := range chunks {
		held := false
		if healed := n.isCut(sender, receiver); healed != nil {
			<-healed
			held = true
		}
		if c.data == nil {
			if held {
				time.Sleep(roundTrip)
			}
			if c.reset {
				reset(to)
			} else {
				_ = to.CloseWrite()
			}
			return
		}
		if held {
			// Bytes that are held up are lost if their sender resets the connection.
			lost := false
			for i := len(chunks); i > 0; i-- {
				next := <-chunks
				if next.reset {
					lost = true
					break
				}
				if next.data == nil {
					n.w.log("network: %d bytes from %s that were held up reach %s, and the end of the connection follows", len(c.data), sender, receiver)
					if _, err := to.Write(c.data); err != nil {
						return
					}
					time.Sleep(roundTrip)
					_ = to.CloseWrite()
					return
				}
				c.data = append(c.data, next.data...)
			}
			if lost {
				reset(to)
				return
			}
			n.w.log("network: %d bytes from %s that were held up reach %s", len(c.data), sender, receiver)
		} else {
			time.Sleep(time.Until(c.at.Add(zoneDelay)))
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}
