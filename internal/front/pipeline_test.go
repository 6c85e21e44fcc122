package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a planned stop that closes a kept connection on which a request has
// run and whose answer the caller cannot read: the next request, sent before that answer
// was read, has arrived meanwhile. Callers use their connections until these close.
func TestStopAnswersWhatRanOnKeptConnections(t *testing.T) {
	const callers = 12
	for _, gap := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			t.Parallel()
			service, control := startSlowService(t, "a", 10*time.Millisecond)
			h := startStoppable(t, control.host.Link)
			var group sync.WaitGroup
			for n := range callers {
				group.Go(func() {
					c, err := net.Dial("tcp", h.address)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(stopDeadline))
					sent := make(chan string, 1000)
					go func() {
						defer close(sent)
						for i := range 1000 {
							id := fmt.Sprintf("kept-%d-%d", n, i)
							_, err := fmt.Fprintf(c, "GET /many/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 15000\r\n\r\n", id)
							if err != nil {
								return
							}
							sent <- id
							time.Sleep(gap)
							if i%2 == 1 {
								time.Sleep(100 * time.Millisecond) // two at a time
							}
						}
					}()
					in := bufio.NewReader(c)
					var unanswered []string
					for id := range sent {
						if unanswered == nil {
							res, err := http.ReadResponse(in, nil)
							if err == nil {
								_, err = io.Copy(io.Discard, res.Body)
								_ = res.Body.Close()
							}
							if err == nil {
								continue
							}
							_ = c.Close()
						}
						unanswered = append(unanswered, id)
					}
					for _, id := range unanswered {
						if service.runsOf(id) > 0 {
							t.Errorf("%s has run, and its connection was closed without an answer", id)
						}
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			h.stop()
			group.Wait()
			<-h.ended
		})
	}
}
