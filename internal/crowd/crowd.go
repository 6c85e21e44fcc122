// Package crowd is a stand-in for many clients that send what costs a process most:
// heads of many lines, heads and bodies that do not end, large messages. Each connects
// again at once when its connection is closed. It also measures the process that they
// connect to.
package crowd

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Shape is one way in which clients send.
type Shape struct {
	Name string
	// Clients is the number of clients for large messages, 0 for any number.
	Clients int
	// Send sends on one connection until the connection or the message ends. n is the
	// number of the client.
	Send func(c net.Conn, n int)
}

// Mixed returns a shape whose clients send in all of some ways at once.
func Mixed(shapes []Shape) Shape {
	return Shape{
		Name: "all at once",
		Send: func(c net.Conn, n int) {
			if s := shapes[n%len(shapes)]; s.Clients == 0 || n < s.Clients {
				s.Send(c, n)
			}
		},
	}
}

// Config describes a crowd.
type Config struct {
	Address string
	Clients int
	// Time is how long the crowd sends, Rounds how often each client connects.
	Time   time.Duration
	Rounds int
}

// Run lets a crowd send and returns the connections that are still open then, whose
// messages are mostly not whole.
func Run(cfg Config, s Shape) (open []net.Conn) {
	if s.Clients > 0 {
		cfg.Clients = min(cfg.Clients, s.Clients)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(cfg.Time)
	for n := range cfg.Clients {
		group.Go(func() {
			for range cfg.Rounds {
				c, err := (&net.Dialer{Deadline: end}).Dial("tcp", cfg.Address)
				if err != nil {
					return
				}
				_ = c.SetDeadline(end)
				s.Send(c, n)
				// The connection ends, or the time does.
				if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
					mu.Lock()
					open = append(open, c)
					mu.Unlock()
					return
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
	return open
}
