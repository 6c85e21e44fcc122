package host_test

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/wire"
)

// Guards against callers that use up the connections of a host: an ordinary search must
// still be answered, and no more connections than allowed stay open.
func TestHostileConnectionsGiveWay(t *testing.T) {
	const clients, descriptors = 100, 64
	r := newRig(t, func(c *host.Config) { c.Descriptors = descriptors }, http.HandlerFunc(answerShard))
	var conns []net.Conn
	for range clients {
		conns = append(conns, r.dialAndWrite(searchHead+"Content-Length: 100\r\n\r\n{"))
	}
	status, _, _ := r.post(wire.PathSearch, `{"Index":"review-panel"}`)
	r.is.Equal(status, http.StatusOK)
	open := 0
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
		c.Close()
	}
	r.is.True(open <= descriptors/2)
}
