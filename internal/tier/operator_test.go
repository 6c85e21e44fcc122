package tier_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/crowd"
	"github.com/jujubethread/jujubethread/platform"
)

// The settings of the control host that hostile operators reach.
const (
	operatorMemory      = 128 // MB
	operatorDescriptors = 250
	operatorClients     = 60
	operatorBody        = 8 << 20
)

// newHostileControl starts a control host in a process of its own. An ordinary document
// must be stored through it.
func newHostileControl(t *testing.T) *hostileSystem {
	t.Helper()
	s := newSystem(t, 0)
	is.New(t).Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	h := &hostileSystem{
		system:  s,
		t:       t,
		address: freeAddress(t),
		metrics: freeAddress(t),
		link:    fmt.Sprint("127.0.9.41:", s.port),
		clients: operatorClients,
		memory:  operatorMemory,
		limit:   operatorDescriptors,
	}
	h.daemon = startDaemon(t, "control", "-config", hostileSettings(t, operatorMemory, operatorDescriptors), "-name", "hostile", "-domain", "a", "-ip", "127.0.9.41", "-ports", fmt.Sprint(s.port),
		"-seeds", "127.0.9.1:1,127.0.9.2:1,127.0.9.3:1", "-operator", h.address, "-folder", t.TempDir(), "-list", s.list.Listener.Addr().String(),
		"-metrics", h.metrics)
	is.New(t).Equal(s.putDocument(h.address, document(6, "/x/")), http.StatusOK)
	h.ordinary = func() { is.New(t).Equal(s.putDocument(h.address, document(7, "/x/")), http.StatusOK) }
	return h
}

// Guards against documents of allowed size that stop just short of their end, and
// against heads of many lines, at a control host.
func TestHostileOperators(t *testing.T) {
	body := make([]byte, operatorBody-1)
	lines := crowd.ShortLines(48 << 10)
	for name, send := range map[string]func(io.Writer){
		"unfinished bodies": func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", platform.PathConfiguration, operatorBody)
			_, _ = w.Write(body)
		},
		"whole bodies": func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", platform.PathConfiguration, len(body))
			_, _ = w.Write(body)
		},
		"unfinished heads": func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: a\r\n", platform.PathConfiguration)
			_, _ = w.Write(lines)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHostileControl(t)
			if name == "unfinished heads" {
				h.clients = hostileClients
			}
			h.attack(func(c net.Conn, _ int) { send(c) })
			h.check()
		})
	}
}

// Guards against a document of the largest size that is refused while nothing else is
// sent.
func TestLargestDocumentIsStored(t *testing.T) {
	h := newHostileControl(t)
	doc := document(8, "/x/")
	largest := doc + strings.Repeat(" ", operatorBody-1-len(doc))
	is.New(t).Equal(h.putDocument(h.address, largest), http.StatusOK)
}
