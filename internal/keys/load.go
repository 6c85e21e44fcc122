// Package keys loads and verifies the certificates of hosts and issues test
// certificates. All files are PEM.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Files are the paths of the certificate and key files of one host. The zero
// value means plaintext.
type Files struct {
	// Cert is the host's certificate, followed by intermediate ones if any.
	Cert string
	// Key is the private key of the host's certificate.
	Key string
	// CA contains the certificates of the authorities that issue the
	// certificates of peers.
	CA string
}

// IsSet reports whether any file is given.
func (f Files) IsSet() bool { return f != Files{} }

// Kind is the kind of a certificate fault.
type Kind string

// The kinds of certificate faults.
const (
	Missing Kind = "Missing"
	Wrong   Kind = "Wrong"
	Expired Kind = "Expired"
)

// Error is a fault of a certificate or key.
type Error struct {
	Kind Kind
	// Item is the file, setting or peer that has the fault.
	Item   string
	Remedy string
	cause  error
}

// Error returns the fault, its remedy and, in parentheses, its cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("certificate of %s is %s: %s", e.Item, kindText[e.Kind], e.Remedy)
	if e.cause != nil {
		text += " (" + e.cause.Error() + ")"
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

var kindText = map[Kind]string{
	Missing: "missing",
	Wrong:   "wrong",
	Expired: "expired or not yet valid",
}

// NewError returns an *Error. The cause may be nil.
func NewError(kind Kind, item, remedy string, cause error) *Error {
	return &Error{
		Kind:   kind,
		Item:   item,
		Remedy: remedy,
		cause:  cause,
	}
}

// Loaded is a verified certificate with its key, and the authorities that peers
// are verified against.
type Loaded struct {
	Cert tls.Certificate
	CA   *x509.CertPool
}

// Load reads the files of a host and verifies that they belong together and are
// valid at time now. Errors are of type *Error.
func Load(f Files, now time.Time) (*Loaded, error) {
	for _, item := range []struct{ name, file string }{{"Cert", f.Cert}, {"Key", f.Key}, {"CA", f.CA}} {
		if item.file == "" {
			return nil, NewError(Missing, "setting "+item.name, "name all of the certificate, key and CA files, or none for plaintext", nil)
		}
	}
	certPEM, err := readFile(f.Cert)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readFile(f.Key)
	if err != nil {
		return nil, err
	}
	caPEM, err := readFile(f.CA)
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, NewError(Wrong, f.Cert, "issue the certificate again together with its key", err)
	}
	authorities, err := parseCA(f.CA, caPEM, now)
	if err != nil {
		return nil, err
	}
	loaded := &Loaded{
		Cert: cert,
		CA:   x509.NewCertPool(),
	}
	for _, ca := range authorities {
		loaded.CA.AddCert(ca)
	}
	return loaded, loaded.check(f, now)
}

// Expiry returns the time after which the certificate is no longer valid.
func (l *Loaded) Expiry() time.Time { return l.Cert.Leaf.NotAfter }

func (l *Loaded) check(f Files, now time.Time) error {
	leaf := l.Cert.Leaf
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return NewError(Expired, f.Cert, "issue a new certificate and check the clock",
			errors.Errorf("valid from %s to %s", leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339)))
	}
	intermediates := x509.NewCertPool()
	for _, der := range l.Cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         l.CA,
			Intermediates: intermediates,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return NewError(Wrong, f.Cert, "issue it by the authority in "+f.CA+" for servers and clients", err)
		}
	}
	return nil
}

// parseCA returns the valid authorities in a PEM file. A file may contain
// several, so that hosts accept the old and the new one while an authority is
// replaced.
func parseCA(file string, data []byte, now time.Time) ([]*x509.Certificate, error) {
	var (
		valid   []*x509.Certificate
		expired bool
	)
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		ca, err := x509.ParseCertificate(block.Bytes)
		switch {
		case err != nil:
			return nil, NewError(Wrong, file, "give a PEM file with the certificate of the authority", err)
		case !ca.IsCA:
			return nil, NewError(Wrong, file, "give the certificate of the authority, not that of a host", nil)
		case now.Before(ca.NotBefore) || now.After(ca.NotAfter):
			expired = true
		default:
			valid = append(valid, ca)
		}
	}
	switch {
	case len(valid) == 0 && expired:
		return nil, NewError(Expired, file, "create a new authority and issue all certificates again", nil)
	case len(valid) == 0:
		return nil, NewError(Wrong, file, "give a PEM file with the certificate of the authority", nil)
	}
	return valid, nil
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	switch {
	case os.IsNotExist(err):
		return nil, NewError(Missing, file, "create it with the keys command or correct the setting", err)
	case err != nil:
		return nil, NewError(Wrong, file, "make it readable for this process", err)
	}
	return data, nil
}
