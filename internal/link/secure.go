package link

import (
	"crypto/tls"
	"net"
	"net/http"
)

// Secure returns lis with mutual TLS if certificates are configured; they
// reload as those of a Server do. Without certificates lis must be on a
// loopback address unless the settings allow plaintext. It closes lis on error.
func Secure(cfg Config, lis net.Listener) (net.Listener, error) {
	cfg = cfg.withDefaults()
	r, err := newRing(cfg)
	switch {
	case err != nil:
		_ = lis.Close()
		return nil, err
	case r != nil:
		return tls.NewListener(lis, r.serverConfig()), nil
	case !cfg.AllowPlain && !isLoopback(lis.Addr().String()):
		_ = lis.Close()
		return nil, call{
			address: lis.Addr().String(),
			method:  "listen",
		}.fail(Insecure, nil)
	default:
		return lis, nil
	}
}

// HTTPClient returns an HTTP client that shows its certificate, and the URL
// scheme to use. Without certificates it is a plain client.
func HTTPClient(cfg Config) (*http.Client, string, error) {
	cfg = cfg.withDefaults()
	r, err := newRing(cfg)
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
