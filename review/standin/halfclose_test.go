package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["half-close"] = halfClose }

// halfClose sends requests whose client closes its sending side after the request, if
// the trouble is on, and reads the answer.
func halfClose(c *cluster) (broken []string, err error) {
	const (
		work     = 200 * time.Millisecond
		deadline = 3000
		rounds   = 5
	)
	var names []string
	for i := range 4 {
		name := fmt.Sprintf("shard-%d", i)
		names = append(names, name)
		for _, zone := range []string{"zone-a", "zone-b"} {
			if err := c.newLeaf(&leaf{
				service: name,
				zone:    zone,
				slots:   2,
				queue:   8,
				size:    200,
				work:    func(string) time.Duration { return work },
			}); err != nil {
				return nil, err
			}
		}
	}
	if err := c.start(3, document(1, 82, route{
		prefix:  "/search/",
		kind:    "safe",
		shards:  names,
		timeout: deadline,
		target:  800,
	}, route{
		prefix:  "/file/",
		kind:    "unsafe",
		service: names[0],
		timeout: deadline,
		target:  800,
	})); err != nil {
		return nil, err
	}
	for i := range rounds {
		for n, m := range c.entries {
			for k, line := range []string{"GET /search/x", "POST /file/draft"} {
				id := requestID(10*k+n, i)
				res, body, err := c.sendAndClose(m, line, id, deadline)
				if err != nil {
					c.rec.write("%s gets no whole answer: %v", id, err)
					continue
				}
				stamps := res.Header.Get("Server-Stamp") + res.Header.Get("Part-Stamps")
				c.rec.write("%s gets %d, stamps %q, %d bytes", id, res.StatusCode, stamps, len(body))
				if res.StatusCode/100 == 2 && stamps == "" {
					broken = append(broken, fmt.Sprintf("MIXED: %s (%s) was answered %d without a signature, with %d bytes", id, line, res.StatusCode, len(body)))
				}
			}
		}
	}
	return broken, nil
}

// sendAndClose sends one request on a new connection, closes the sending side if the
// trouble is on, and reads the answer.
func (c *cluster) sendAndClose(m *machine, line, id string, deadline int) (*http.Response, []byte, error) {
	conn, err := net.Dial("tcp", m.frontAddress())
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := ""
	if strings.HasPrefix(line, "POST") {
		body = "draft"
	}
	c.rec.write("%s %s is sent to %s", id, line, m.name)
	if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		line, routeHost, id, deadline, len(body), body); err != nil {
		return nil, nil, err
	}
	if c.trouble {
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res, raw, err
}
