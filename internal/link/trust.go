package link

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync/atomic"
	"time"

	"github.com/jujubethread/jujubethread/internal/keys"
)

// peerTrust tells whether the peer of a connection is still trusted: the handshake checks
// its certificate only once, and connections are kept for as long as they are used.
type peerTrust struct {
	certs *certReloader
	peer  string // the address, for errors
	// usage is what the peer's certificate must be for.
	usage x509.ExtKeyUsage
	// chain is the peer's certificate with intermediate ones, nil during the handshake.
	chain atomic.Pointer[[]*x509.Certificate]
	// verified has the authorities under which the chain was verified last.
	verified atomic.Pointer[keys.Loaded]
}

// accept records the certificates that the handshake has verified.
func (c *peerTrust) accept(chain []*x509.Certificate, by *keys.Loaded) {
	c.verified.Store(by)
	c.chain.Store(&chain)
}

// check returns a *keys.Error if the certificate of the peer has expired or its authority
// has been withdrawn.
func (c *peerTrust) check() error {
	chain := c.chain.Load()
	if chain == nil || len(*chain) == 0 {
		return nil
	}
	now := time.Now()
	loaded := c.certs.latest(now)
	leaf := (*chain)[0]
	if now.After(leaf.NotAfter) {
		return keys.NewError(keys.Expired, c.peer, "issue a new certificate for the peer and check the clocks", nil)
	}
	if c.verified.Load() == loaded {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, cert := range (*chain)[1:] {
		intermediates.AddCert(cert)
	}
	if _, err := leaf.Verify(x509.VerifyOptions{
		Roots:         loaded.CA,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{c.usage},
	}); err != nil {
		return keys.NewError(keys.Wrong, c.peer, "issue the peer's certificate by an authority that is still trusted", err)
	}
	c.verified.Store(loaded)
	return nil
}

// callerConn is an accepted connection below TLS. It fails once the caller is no longer
// trusted. Callers do not check that during a call: they could not tell whether it has
// run.
type callerConn struct {
	net.Conn
	trust *peerTrust
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if trustErr := c.trust.check(); trustErr != nil {
		return 0, trustErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.trust.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// callerListener accepts connections as callerConns, for serverConfig.
type callerListener struct {
	net.Listener
	certs *certReloader
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.certs.callerConn(conn), nil
}

// callerConn wraps an accepted connection for serverConfig.
func (r *certReloader) callerConn(conn net.Conn) *callerConn {
	return &callerConn{
		Conn: conn,
		trust: &peerTrust{
			certs: r,
			peer:  conn.RemoteAddr().String(),
			usage: x509.ExtKeyUsageClientAuth,
		},
	}
}

// acceptCaller returns the function with which serverConfig tells a connection, after
// the handshake, whose it is.
func acceptCaller(conn net.Conn, by *keys.Loaded) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if c, ok := conn.(*callerConn); ok {
			c.trust.accept(s.PeerCertificates, by)
		}
		return nil
	}
}
