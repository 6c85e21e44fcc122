package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/keys"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
)

// authorities are two authorities, of which a host trusts one or both.
type authorities struct {
	t          *testing.T
	dir        string
	old, newer *keys.Authority
}

func newAuthorities(t *testing.T) *authorities {
	dir := t.TempDir()
	return &authorities{
		t:     t,
		dir:   dir,
		old:   authority(t, filepath.Join(dir, "old")),
		newer: authority(t, filepath.Join(dir, "newer")),
	}
}

// trust writes the authorities that a host trusts into the file that it reads.
func (a *authorities) trust(host string, names ...string) string {
	var bundle []byte
	for _, name := range names {
		pem, err := os.ReadFile(filepath.Join(a.dir, name, "ca.pem"))
		is.New(a.t).NoErr(err)
		bundle = append(bundle, pem...)
	}
	file := filepath.Join(a.dir, host+"-trusts.pem")
	is.New(a.t).NoErr(os.WriteFile(file, bundle, 0o600))
	return file
}

// host issues a certificate to a host that trusts both authorities.
func (a *authorities) host(by *keys.Authority, name string, validity time.Duration) keys.Files {
	files := issue(a.t, by, a.dir, name, validity, loopback)
	files.CA = a.trust(name, "old", "newer")
	return files
}

func ping(t *testing.T, c *link.Client, address string) error {
	return c.Call(t.Context(), address, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
}

// Guards against a connection that is kept and used although the certificate of the
// other side has expired, or its authority has been withdrawn, since it was opened.
func TestWithdrawnCertificateEndsKeptConnections(t *testing.T) {
	for name, row := range map[string]struct {
		old      string // the host with a certificate of the old authority
		life     time.Duration
		withdraw func(a *authorities)
	}{
		"caller withdrawn": {"client", time.Hour, func(a *authorities) { a.trust("server", "newer") }},
		"server withdrawn": {"server", time.Hour, func(a *authorities) { a.trust("client", "newer") }},
		"caller expired":   {"client", 2500 * time.Millisecond, func(*authorities) {}},
		"server expired":   {"server", 2500 * time.Millisecond, func(*authorities) {}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newAuthorities(t)
			files := func(name string) keys.Files {
				if name == row.old {
					return a.host(a.old, name, row.life)
				}
				return a.host(a.newer, name, time.Hour)
			}
			address := serve(t, link.Config{Keys: files("server")}, echo)
			c := client(t, link.Config{Keys: files("client")})
			is.NoErr(ping(t, c, address))
			row.withdraw(a)
			is.True(within(func() bool { return ping(t, c, address) != nil }))
			is.Equal(link.KindOf(ping(t, c, address)), link.Untrusted)
		})
	}
}

// Guards against an answer that is discarded, and a call that is reported as not run and
// has run, since the server's authority is withdrawn in the middle of it.
func TestWithdrawalDuringACallKeepsItsAnswer(t *testing.T) {
	is := is.New(t)
	a := newAuthorities(t)
	address := serve(t, link.Config{Keys: a.host(a.old, "server", time.Hour)}, func(s *link.Server) {
		link.Handle(s, proto.MethodPeer, func(_ context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
			if len(in.Payload) > 0 {
				a.trust("client", "newer")
				time.Sleep(1200 * time.Millisecond) // files are checked each second
			}
			return &proto.PeerAnswer{}, nil
		})
	})
	c := client(t, link.Config{Keys: a.host(a.newer, "client", time.Hour)})
	is.NoErr(c.Call(t.Context(), address, proto.MethodPeer, &proto.Peer{Payload: []byte("slow")}, &proto.PeerAnswer{}))
	is.Equal(link.KindOf(ping(t, c, address)), link.Untrusted)
}

// Guards against a host that comes back with a certificate, or among peers with
// certificates, of an authority that was withdrawn while it was down.
func TestWithdrawnCertificateIsRefusedAfterARestart(t *testing.T) {
	is := is.New(t)
	a := newAuthorities(t)
	oldKeys, newKeys := a.host(a.old, "h-old", time.Hour), a.host(a.newer, "h-new", time.Hour)
	oldAddress := serve(t, link.Config{Keys: oldKeys}, echo)
	is.NoErr(ping(t, client(t, link.Config{Keys: newKeys}), oldAddress))
	a.trust("h-new", "newer")
	newAddress := serve(t, link.Config{Keys: newKeys}, echo)
	is.Equal(link.KindOf(ping(t, client(t, link.Config{Keys: oldKeys}), newAddress)), link.Untrusted)
	is.Equal(link.KindOf(ping(t, client(t, link.Config{Keys: newKeys}), oldAddress)), link.Untrusted)
}

// Guards against calls that fail, or have an unknown outcome, while all hosts change to
// certificates of another authority and the old one is withdrawn last.
func TestChangeOfAuthorityFailsNoCall(t *testing.T) {
	is := is.New(t)
	a := newAuthorities(t)
	address := serve(t, link.Config{Keys: a.host(a.old, "server", time.Hour)}, echo)
	c := client(t, link.Config{Keys: a.host(a.old, "client", time.Hour)})
	steps := []func(){
		func() { issue(t, a.newer, a.dir, "client", time.Hour, loopback) },
		func() { issue(t, a.newer, a.dir, "server", time.Hour, loopback) },
		func() { a.trust("server", "newer") },
		func() { a.trust("client", "newer") },
	}
	for _, step := range steps {
		step()
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			is.NoErr(ping(t, c, address))
		}
	}
}

// Guards against an operator's connection that is kept although the authority of the
// operator's certificate has been withdrawn.
func TestWithdrawnCertificateEndsKeptHTTPConnections(t *testing.T) {
	is := is.New(t)
	a := newAuthorities(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	secured, err := link.Secure(link.Config{Keys: a.host(a.newer, "server", time.Hour)}, lis)
	is.NoErr(err)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}))
	_ = s.Listener.Close()
	s.Listener = secured
	s.Start()
	t.Cleanup(s.Close)
	c, scheme, err := link.HTTPClient(link.Config{Keys: a.host(a.old, "operator", time.Hour)})
	is.NoErr(err)
	t.Cleanup(c.CloseIdleConnections)
	get := func() error {
		res, err := c.Get(scheme + "://" + lis.Addr().String())
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	is.NoErr(get())
	a.trust("server", "newer")
	is.True(within(func() bool { return get() != nil }))
}
