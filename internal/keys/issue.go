package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// File names in the folder of an authority.
const (
	caCertFile = "ca.pem"
	caKeyFile  = "ca.key"
)

const (
	serialBits = 128

	// clockSkew is how long before its creation a certificate becomes valid,
	// since a host's clock may be behind that of the authority.
	clockSkew = 5 * time.Minute

	fileMode = 0o600
	dirMode  = 0o700
)

// Authority is a test certificate authority that issues the certificates of
// hosts. In production, use the organization's own authority.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Spec describes a host certificate.
type Spec struct {
	// Host is the common name of the subject and the base name of the files.
	Host string
	// Role is "entry", "control" or "operator". It becomes the organizational
	// unit of the subject.
	Role string
	// Addresses are the IP addresses at which peers connect to the host.
	Addresses []net.IP
	// Life is how long the certificate is valid, counted from Now.
	Life time.Duration
	Now  time.Time
}

// MakeAuthority creates an authority and writes its files to dir. It does not
// replace an existing authority.
func MakeAuthority(dir string, life time.Duration, now time.Time) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); err == nil {
		return nil, errors.Errorf("folder %s already contains an authority: use it or choose another folder", dir)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "folder of the authority cannot be created: choose another one")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key of the authority cannot be generated")
	}
	template, err := newTemplate("jujubethread test authority", life, now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate of the authority cannot be created")
	}
	a := &Authority{
		dir: dir,
		key: key,
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "created certificate of the authority cannot be parsed")
	}
	return a, writePair(filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile), der, key)
}

// OpenAuthority reads the authority in dir. Errors are of type *Error.
func OpenAuthority(dir string, now time.Time) (*Authority, error) {
	certFile, keyFile := filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile)
	certPEM, err := readFile(certFile)
	if err != nil {
		return nil, err
	}
	certs, err := parseCA(certFile, certPEM, now)
	if err != nil {
		return nil, err
	}
	cert := certs[0]
	keyPEM, err := readFile(keyFile)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(keyPEM)
	if block == nil {
		return nil, NewError(Wrong, keyFile, "give a PEM file with the key of the authority", nil)
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, NewError(Wrong, keyFile, "give a PEM file with the key of the authority", err)
	}
	if !key.PublicKey.Equal(cert.PublicKey) {
		return nil, NewError(Wrong, keyFile, "use the key that belongs to "+certFile, nil)
	}
	return &Authority{
		dir:  dir,
		cert: cert,
		key:  key,
	}, nil
}

// Issue writes a certificate and key for a host to dir and returns the files. It
// replaces existing files, which running processes then reload.
func (a *Authority) Issue(dir string, s Spec) (Files, error) {
	if s.Host == "" || filepath.Base(s.Host) != s.Host {
		return Files{}, errors.Errorf("host name %q cannot be a file name: use letters, digits and dashes", s.Host)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return Files{}, errors.Wrap(err, "folder of the certificates cannot be created: choose another one")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "key of the host cannot be generated")
	}
	template, err := newTemplate(s.Host, s.Life, s.Now)
	if err != nil {
		return Files{}, err
	}
	template.Subject.OrganizationalUnit = []string{s.Role}
	template.IPAddresses = s.Addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, errors.Wrap(err, "certificate of the host cannot be created")
	}
	files := Files{
		Cert: filepath.Join(dir, s.Host+".pem"),
		Key:  filepath.Join(dir, s.Host+".key"),
		CA:   filepath.Join(a.dir, caCertFile),
	}
	return files, writePair(files.Cert, files.Key, der, key)
}

func newTemplate(name string, life time.Duration, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number of a certificate cannot be generated")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}, nil
}

func writePair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "key cannot be encoded")
	}
	if err := writePEM(keyFile, "EC PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writePEM(certFile, "CERTIFICATE", der)
}

// writePEM writes a temporary file and renames it, so that a reader never sees a
// partly written file.
func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	tempFile := file + ".new"
	if err := os.WriteFile(tempFile, data, fileMode); err != nil {
		return errors.Wrap(err, "certificate file cannot be written: make the folder writable")
	}
	if err := os.Chmod(tempFile, fileMode); err != nil {
		return errors.Wrap(err, "permissions of the certificate file cannot be restricted")
	}
	return errors.Wrap(os.Rename(tempFile, file), "certificate file cannot be replaced")
}
