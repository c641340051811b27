package cicadasettings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const certificateCheck = 5 * time.Second

// ErrNoCertificates reports a file without PEM certificates.
var ErrNoCertificates = merry.Sentinel("cicadasettings: no certificates in file")

// TLS says how connections are secured. Empty settings mean no TLS.
type TLS struct {
	// Certificate and Key are PEM files. They are read again when they change.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is a PEM file; the other side must show a certificate that it
	// has signed.
	Authority string `yaml:"authority"`
	// MinimumVersion is 1.2 or 1.3, the default.
	MinimumVersion string `yaml:"minimum-version"`
}

var tlsVersions = map[string]uint16{"": tls.VersionTLS13, "1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13}

// Enabled reports whether connections are secured.
func (t *TLS) Enabled() bool { return t.Certificate != "" }

// Validate checks that the settings are whole.
func (t *TLS) Validate() error {
	if _, ok := tlsVersions[t.MinimumVersion]; !ok {
		return Expected("tls.minimum-version", "1.2 or 1.3")
	}
	if t.Certificate != "" && t.Key == "" {
		return Expected("tls.key", "the file of the certificate's key")
	}
	if t.Certificate == "" && (t.Key != "" || t.Authority != "") {
		return Expected("tls.certificate", "the file of a certificate")
	}
	return nil
}

// Server returns the configuration of a listener, or nil without TLS. With an
// authority, clients must show a certificate.
func (t *TLS) Server() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pair, err := newReloader(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:     tlsVersions[t.MinimumVersion],
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get() },
	}
	if t.Authority != "" {
		if cfg.ClientCAs, err = readPool(t.Authority); err != nil {
			return nil, err
		}
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// Client returns the configuration of outgoing connections, or nil without
// TLS.
func (t *TLS) Client() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pair, err := newReloader(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:           tlsVersions[t.MinimumVersion],
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get() },
	}
	if t.Authority != "" {
		if cfg.RootCAs, err = readPool(t.Authority); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func readPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, merry.Errorf("read authority %s: %w", file, ErrNoCertificates)
	}
	return pool, nil
}

// A reloader holds a certificate and reads its files again when they change.
type reloader struct {
	certificate string
	key         string

	mu      sync.Mutex
	pair    *tls.Certificate
	stamp   time.Time
	checked time.Time
}

func newReloader(certificate, key string) (*reloader, error) {
	r := &reloader{certificate: certificate, key: key}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *reloader) load() error {
	info, err := os.Stat(r.certificate)
	if err != nil {
		return merry.Errorf("read certificate: %w", err)
	}
	pair, err := tls.LoadX509KeyPair(r.certificate, r.key)
	if err != nil {
		return merry.Errorf("read certificate: %w", err)
	}
	r.pair, r.stamp = &pair, info.ModTime()
	return nil
}

// get returns the certificate. Files that cannot be read leave the last good
// one in use.
func (r *reloader) get() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) < certificateCheck {
		return r.pair, nil
	}
	r.checked = time.Now()
	if info, err := os.Stat(r.certificate); err == nil && !info.ModTime().Equal(r.stamp) {
		_ = r.load()
	}
	return r.pair, nil
}
