package front_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startFailing answers each request on its own connection with a status, and returns the
// address. Paths that a search uses are served likewise.
func startFailing(t *testing.T, status string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, err = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno", status, r.Header.Get("Request-Id"))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards against a status that HTTP does not have and that reaches a caller, or makes it
// wait until its deadline.
func TestInvalidStatusNeverReachesACaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			k := newKeyed(t, "", "h")
			k.control.SetList(listOf(startFailing(t, status)), k.control.Now())
			c := k.dial()
			_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second)) // the request's is after 9 s
			is.True(waitFor(t, applyTimeout, func() bool { return c.get("/one/x", "first", "") != http.StatusOK }))
			for _, path := range []string{"/one/x", "/once/x", "/search/x"} {
				is.Equal(c.get(path, "r"+path, ""), http.StatusBadGateway)
			}
		})
	}
}
