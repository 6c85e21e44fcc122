package link

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/jujubethread/jujubethread/internal/guard"
)

// Secure wraps lis with mutual TLS if certificates are configured, which are
// reloaded as in a Server. Without certificates, lis must be on a loopback
// address unless Config.AllowPlain is set. Secure closes lis on error.
func Secure(cfg Config, lis net.Listener) (net.Listener, error) {
	cfg = cfg.withDefaults()
	r, err := newCertReloader(cfg)
	switch {
	case err != nil:
		_ = lis.Close()
		return nil, err
	case r != nil:
		return tls.NewListener(callerListener{
			Listener: lis,
			certs:    r,
		}, r.serverConfig()), nil
	case !cfg.AllowPlain && !isLoopback(lis.Addr().String()):
		_ = lis.Close()
		return nil, call{
			address: lis.Addr().String(),
			method:  "listen",
		}.newError(Insecure, nil)
	default:
		return lis, nil
	}
}

// ReportState is the ConnState hook of an http.Server whose listener was secured and whose
// connections are bounded below that by guard.WrapRaw: it tells the guard when requests
// are served.
func ReportState(c net.Conn, s http.ConnState) {
	held := rawConnOf(c)
	switch s {
	case http.StateActive:
		held.Begin()
	case http.StateIdle:
		held.End()
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// rawConnOf returns the bounded connection below TLS, or nil.
func rawConnOf(c net.Conn) *guard.RawConn {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	own, ok := t.NetConn().(*callerConn)
	if !ok {
		return nil
	}
	held, _ := own.Conn.(*guard.RawConn)
	return held
}

// HTTPClient returns an HTTP client that presents the configured certificate,
// and the URL scheme to use: https, or http if no certificates are configured.
// The certificate is not reloaded.
func HTTPClient(cfg Config) (*http.Client, string, error) {
	cfg = cfg.withDefaults()
	r, err := newCertReloader(cfg)
	if err != nil {
		return nil, "", err
	}
	if r == nil {
		return &http.Client{Transport: &http.Transport{}}, "http", nil
	}
	loaded, err := r.current()
	if err != nil {
		return nil, "", err
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{loaded.Cert},
				RootCAs:      loaded.CA,
			},
		},
	}, "https", nil
}
