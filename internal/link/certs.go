package link

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/keys"
)

// reloadInterval is the minimum time between two checks of the certificate
// files.
const reloadInterval = time.Second

// certReloader provides the current certificates and reloads them when their
// files change. If new files are invalid, it logs the error and keeps the
// loaded certificates.
type certReloader struct {
	cfg Config

	mu      sync.Mutex
	loaded  *keys.Loaded
	stamps  [3]fileStamp
	checked time.Time
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// newCertReloader loads the certificates. It returns nil if none are
// configured.
func newCertReloader(cfg Config) (*certReloader, error) {
	if !cfg.Keys.IsSet() {
		return nil, nil
	}
	r := &certReloader{cfg: cfg}
	now := time.Now()
	r.stamps, r.checked = r.stat(), now
	loaded, err := keys.Load(cfg.Keys, now)
	if err != nil {
		return nil, err
	}
	r.loaded = loaded
	return r, nil
}

func (r *certReloader) stat() (stamps [3]fileStamp) {
	for i, file := range []string{r.cfg.Keys.Cert, r.cfg.Keys.Key, r.cfg.Keys.CA} {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = fileStamp{
				modified: info.ModTime(),
				size:     info.Size(),
			}
		}
	}
	return stamps
}

// current returns the certificates for a new connection, after a reload if one
// is due. It fails if they have expired.
func (r *certReloader) current() (*keys.Loaded, error) {
	now := time.Now()
	loaded := r.latest(now)
	if now.After(loaded.Expiry()) {
		return nil, keys.NewError(keys.Expired, r.cfg.Keys.Cert, "issue a new certificate; it is read without a restart", nil)
	}
	return loaded, nil
}

// latest returns the certificates after a reload if one is due. The certificate of
// this host may have expired.
func (r *certReloader) latest(now time.Time) *keys.Loaded {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked) >= reloadInterval {
		r.checked = now
		r.reload(now)
	}
	return r.loaded
}

// reload loads the files if they changed. It keeps the old stamps if the new
// files are invalid, so that the next check retries: files that are replaced
// one after the other do not match until the last one is written.
func (r *certReloader) reload(now time.Time) {
	stamps := r.stat()
	if stamps == r.stamps {
		return
	}
	loaded, err := keys.Load(r.cfg.Keys, now)
	if err != nil {
		r.cfg.Log.Warn("cannot load the changed certificate files; keeping the loaded certificates", "error", err)
		return
	}
	r.loaded, r.stamps = loaded, stamps
	r.cfg.Log.Info("certificates reloaded", "expiry", loaded.Expiry())
}

func (r *certReloader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			loaded, err := r.current()
			if err != nil {
				r.cfg.Log.Error("connection rejected: the certificate of this host is not valid", "error", err)
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{loaded.Cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              loaded.CA,
				SessionTicketsDisabled: true,
				VerifyConnection:       acceptCaller(hello.Conn, loaded),
			}, nil
		},
	}
}

// clientConfig returns the configuration for a connection to address, and the
// certificates that it is for.
func (r *certReloader) clientConfig(address string) (*tls.Config, *keys.Loaded, error) {
	loaded, err := r.current()
	if err != nil {
		return nil, nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{loaded.Cert},
		RootCAs:      loaded.CA,
		ServerName:   host,
	}, loaded, nil
}
