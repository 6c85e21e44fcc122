package pipe_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/platform"
)

// Measures a fan-out of 90 calls, including the work of the upstreams.
func BenchmarkFanOut(b *testing.B) {
	const calls = 90
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	answer := []byte("HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 1,0,2\r\nKeep-Alive: timeout=15\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200))
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) <= 2 {
						_, _ = c.Write(answer)
					}
				}
			}()
		}
	}()
	p := pipe.NewPool()
	head := []byte("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41d07be2a35f68\r\nDeadline-Milliseconds: 900\r\n\r\n")
	b.ResetTimer()
	for range b.N {
		var wg sync.WaitGroup
		wg.Add(calls)
		for i := range calls {
			p.Start(pipe.Call{
				Address:  lis.Addr().String(),
				Instance: fmt.Sprint(i),
				ID:       "9c41d07be2a35f68",
				Method:   http.MethodGet,
				Head:     func(bool) []byte { return head },
				Limit:    time.Second,
				Parse:    platform.AnswerOf,
				Done:     func(pipe.Outcome) { wg.Done() },
			})
		}
		wg.Wait()
	}
}
