package tier_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request whose body came so slowly that its caller waits no longer,
// and that is served all the same.
func TestSlowUploadIsNotServedTooLate(t *testing.T) {
	s := newSystem(t, 20*time.Millisecond)
	is := is.New(t)
	is.Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	for _, entry := range s.entries {
		s.search(entry, "/x/1", http.StatusOK)
		for _, c := range []struct {
			upload time.Duration
			status int
		}{
			{0, http.StatusOK},
			{2500 * time.Millisecond, http.StatusServiceUnavailable},
		} {
			conn, err := net.Dial("tcp", entry)
			is.NoErr(err)
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: up-%s\r\nDeadline-Milliseconds: 1000\r\nContent-Length: 4\r\n\r\nab", c.upload)
			is.NoErr(err)
			time.Sleep(c.upload)
			_, err = conn.Write([]byte("cd"))
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.NoErr(conn.Close())
		}
	}
}
