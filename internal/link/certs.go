package link

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/keys"
)

// reloadEvery is the shortest time between two looks at the certificate files.
const reloadEvery = time.Second

// ring holds the certificates in use and replaces them when their files
// change. A faulty new file is logged and the certificates in use stay.
type ring struct {
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

// newRing loads the certificates, or returns nil if none are configured.
func newRing(cfg Config) (*ring, error) {
	if !cfg.Keys.Set() {
		return nil, nil
	}
	r := &ring{cfg: cfg}
	now := time.Now()
	r.stamps, r.checked = r.stat(), now
	loaded, err := keys.Load(cfg.Keys, now)
	if err != nil {
		return nil, err
	}
	r.loaded = loaded
	return r, nil
}

func (r *ring) stat() (stamps [3]fileStamp) {
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

// current returns the certificates to use for a new connection.
func (r *ring) current() (*keys.Loaded, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checked) >= reloadEvery {
		r.checked = now
		r.reload(now)
	}
	if now.After(r.loaded.Expiry()) {
		return nil, keys.NewError(keys.Expired, r.cfg.Keys.Cert, "issue a new certificate; it is read without a restart", nil)
	}
	return r.loaded, nil
}

// reload keeps the old stamps when the new files are faulty, so that files
// that are replaced one after the other are tried again.
func (r *ring) reload(now time.Time) {
	stamps := r.stat()
	if stamps == r.stamps {
		return
	}
	loaded, err := keys.Load(r.cfg.Keys, now)
	if err != nil {
		r.cfg.Log.Warn("new certificate files are not used", "error", err)
		return
	}
	r.loaded, r.stamps = loaded, stamps
	r.cfg.Log.Info("certificates were reloaded", "expiry", loaded.Expiry())
}

func (r *ring) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded, err := r.current()
			if err != nil {
				r.cfg.Log.Error("connection is refused", "error", err)
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{loaded.Cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              loaded.CA,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

func (r *ring) clientConfig(address string) (*tls.Config, error) {
	loaded, err := r.current()
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{loaded.Cert},
		RootCAs:      loaded.CA,
		ServerName:   host,
	}, nil
}
