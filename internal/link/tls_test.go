package link_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/keys"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
)

func authority(t *testing.T, dir string) *keys.Authority {
	t.Helper()
	a, err := keys.MakeAuthority(dir, time.Hour, time.Now())
	is.New(t).NoErr(err)
	return a
}

func issue(t *testing.T, a *keys.Authority, dir, host string, validity time.Duration, ip net.IP) keys.Files {
	t.Helper()
	f, err := a.Issue(dir, keys.Spec{
		Host:      host,
		Role:      "control",
		Addresses: []net.IP{ip},
		Life:      validity,
		Now:       time.Now(),
	})
	is.New(t).NoErr(err)
	return f
}

var loopback = net.IPv4(127, 0, 0, 1)

// Guards against accepting a peer without a certificate, or with one of another
// authority or for another address, and against handshake errors of other types
// than *keys.Error.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, foreign := authority(t, filepath.Join(dir, "a")), authority(t, filepath.Join(dir, "f"))
	serverKeys := issue(t, a, dir, "server", time.Hour, loopback)
	peers := make(chan link.Peer, 1)
	addr := serve(t, link.Config{Keys: serverKeys}, func(s *link.Server) {
		link.Handle(s, proto.MethodPeer, func(ctx context.Context, _ *proto.Peer) (*proto.PeerAnswer, error) {
			peers <- link.PeerOf(ctx)
			return &proto.PeerAnswer{}, nil
		})
		link.Handle(s, proto.MethodVersion, func(context.Context, *proto.VersionQuery) (*proto.VersionAnswer, error) {
			t.Error("a caller of another role was served")
			return &proto.VersionAnswer{}, nil
		})
		s.Allow(proto.MethodPeer, "control")
		s.Allow(proto.MethodVersion, "operator", "entry")
	})
	clientKeys := issue(t, a, dir, "h1", time.Hour, loopback)
	is.NoErr(client(t, link.Config{Keys: clientKeys}).Call(t.Context(), addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{}))
	peer := <-peers
	is.Equal(peer.Host, "h1")
	is.Equal(peer.Role, "control")
	err := client(t, link.Config{Keys: clientKeys}).Call(t.Context(), addr, proto.MethodVersion, &proto.VersionQuery{}, &proto.VersionAnswer{})
	is.Equal(link.KindOf(err), link.Forbidden)

	otherAddr := serve(t, link.Config{Keys: issue(t, a, dir, "far", time.Hour, net.IPv4(192, 0, 2, 1))}, echo)
	plainAddr := serve(t, link.Config{}, echo)
	foreignKeys := issue(t, foreign, filepath.Join(dir, "f"), "h2", time.Hour, loopback)
	for _, row := range []struct {
		keys keys.Files
		addr string
		kind keys.Kind
	}{
		{foreignKeys, addr, keys.Wrong},
		{clientKeys, otherAddr, keys.Wrong},
		{clientKeys, plainAddr, keys.Missing},
	} {
		err := client(t, link.Config{Keys: row.keys}).Call(t.Context(), row.addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
		is.Equal(link.KindOf(err), link.Untrusted)
		is.True(link.NotRun(err))
		var keysErr *keys.Error
		is.True(errors.As(err, &keysErr))
		is.Equal(keysErr.Kind, row.kind)
	}
	err = client(t, link.Config{}).Call(t.Context(), addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	is.True(err != nil) // plaintext client at a TLS server
	_, err = link.NewServer(link.Config{Keys: keys.Files{Cert: clientKeys.Cert}})
	var keysErr *keys.Error
	is.True(errors.As(err, &keysErr))
	is.Equal(keysErr.Kind, keys.Missing)
	is.Equal(len(peers), 0)
}

// Guards against reporting a rejected client certificate as a broken connection:
// in TLS 1.3 the server checks it after the client has completed its handshake.
func TestServerRejectsClientCertificate(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, foreign := authority(t, filepath.Join(dir, "a")), authority(t, filepath.Join(dir, "f"))
	addr := serve(t, link.Config{Keys: issue(t, a, dir, "server", time.Hour, loopback)}, echo)
	foreignKeys := issue(t, foreign, filepath.Join(dir, "f"), "h2", time.Hour, loopback)
	var bundle []byte
	for _, ca := range []string{foreignKeys.CA, filepath.Join(dir, "a", "ca.pem")} {
		pem, err := os.ReadFile(ca)
		is.NoErr(err)
		bundle = append(bundle, pem...)
	}
	foreignKeys.CA = filepath.Join(dir, "both.pem")
	is.NoErr(os.WriteFile(foreignKeys.CA, bundle, 0o600))
	c := client(t, link.Config{Keys: foreignKeys})
	err := c.Call(t.Context(), addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	is.Equal(link.KindOf(err), link.Untrusted)
	is.True(link.NotRun(err))
}

// Guards against using expired certificates and against renewed certificates
// that need a restart.
func TestExpiryAndReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a := authority(t, filepath.Join(dir, "a"))
	addr := serve(t, link.Config{Keys: issue(t, a, dir, "server", time.Hour, loopback)}, echo)
	files := issue(t, a, dir, "h1", 1500*time.Millisecond, loopback)
	c := client(t, link.Config{Keys: files})
	call := func() error {
		is.NoErr(c.Close()) // a new connection for each call
		return c.Call(t.Context(), addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	}
	is.True(within(func() bool { return call() != nil }))
	var keysErr *keys.Error
	is.True(errors.As(call(), &keysErr))
	is.Equal(keysErr.Kind, keys.Expired)
	issue(t, a, dir, "h1", time.Hour, loopback)
	is.True(within(func() bool { return call() == nil }))
}

// within polls ok for up to 10 s and reports whether it became true.
func within(ok func() bool) bool {
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}
