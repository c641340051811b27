package cicadasettings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// certificateCheckInterval is the minimum time between checks of a certificate file
// for changes.
const certificateCheckInterval = 5 * time.Second

// ErrNoCertificates reports a file that contains no PEM certificates.
var ErrNoCertificates = merry.Sentinel("cicadasettings: no certificates in file")

// TLS configures TLS for connections. Without a certificate TLS is disabled.
type TLS struct {
	// Certificate and Key are PEM files. They are reloaded when the certificate file
	// changes.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is a PEM file of CA certificates, which must have issued the peer's
	// certificate.
	Authority string `yaml:"authority"`
	// MinimumVersion is the minimum TLS version, 1.2 or 1.3 (the default).
	MinimumVersion string `yaml:"minimum-version"`
}

var tlsVersions = map[string]uint16{"": tls.VersionTLS13, "1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13}

// Enabled reports whether TLS is enabled.
func (t *TLS) Enabled() bool { return t.Certificate != "" }

// Validate checks the version and that all required files are set.
func (t *TLS) Validate() error {
	if _, ok := tlsVersions[t.MinimumVersion]; !ok {
		return Expected("tls.minimum-version", "1.2 or 1.3")
	}
	if t.Certificate != "" && t.Key == "" {
		return Expected("tls.key", "the PEM file of the certificate's private key")
	}
	if t.Certificate == "" && (t.Key != "" || t.Authority != "") {
		return Expected("tls.certificate", "the PEM file of a certificate")
	}
	return nil
}

// ServerConfig returns the configuration of a server, or nil if TLS is disabled. If
// Authority is set, clients must present a certificate.
func (t *TLS) ServerConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	reloader, err := newCertificateReloader(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:     tlsVersions[t.MinimumVersion],
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.get() },
	}
	if t.Authority != "" {
		if cfg.ClientCAs, err = loadCertPool(t.Authority); err != nil {
			return nil, err
		}
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// ClientConfig returns the configuration of a client, or nil if TLS is disabled. If
// Authority is not set, the server's certificate is verified against the system's
// CA certificates.
func (t *TLS) ClientConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	reloader, err := newCertificateReloader(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:           tlsVersions[t.MinimumVersion],
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.get() },
	}
	if t.Authority != "" {
		if cfg.RootCAs, err = loadCertPool(t.Authority); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Errorf("read CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, merry.Errorf("read CA certificates from %s: %w", file, ErrNoCertificates)
	}
	return pool, nil
}

// A certificateReloader holds a certificate and its key, and reloads them when the
// certificate file changes.
type certificateReloader struct {
	certificateFile string
	keyFile         string

	mu          sync.Mutex
	certificate *tls.Certificate
	modTime     time.Time // of certificateFile when it was loaded
	lastCheck   time.Time
}

func newCertificateReloader(certificateFile, keyFile string) (*certificateReloader, error) {
	r := &certificateReloader{certificateFile: certificateFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *certificateReloader) load() error {
	info, err := os.Stat(r.certificateFile)
	if err != nil {
		return merry.Errorf("read certificate: %w", err)
	}
	certificate, err := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if err != nil {
		return merry.Errorf("read certificate: %w", err)
	}
	r.certificate, r.modTime = &certificate, info.ModTime()
	return nil
}

// get returns the certificate. If the files have changed but cannot be loaded, it
// returns the certificate that was loaded last.
func (r *certificateReloader) get() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) < certificateCheckInterval {
		return r.certificate, nil
	}
	r.lastCheck = time.Now()
	if info, err := os.Stat(r.certificateFile); err == nil && !info.ModTime().Equal(r.modTime) {
		_ = r.load()
	}
	return r.certificate, nil
}
