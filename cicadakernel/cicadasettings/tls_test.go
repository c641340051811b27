package cicadasettings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// An authority signs certificates for tests, and writes them to files.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.file = a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue writes a certificate for 127.0.0.1 that ends at a time.
func (a *authority) issue(name string, serial int64, end time.Time) TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: end, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	return TLS{
		Certificate: a.write(name+".pem", "CERTIFICATE", der),
		Key:         a.write(name+".key", "EC PRIVATE KEY", keyDER),
		Authority:   a.file,
	}
}

// handshake connects a client to a server and returns the first error of either
// side.
func handshake(t *testing.T, server, client *tls.Config) error {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	var serverErr error
	var tasks conc.WaitGroup
	tasks.Go(func() {
		conn := tls.Server(theirs, server)
		if serverErr = conn.HandshakeContext(t.Context()); serverErr != nil {
			_ = theirs.Close()
			return
		}
		_, _ = conn.Write([]byte("x"))
	})
	conn := tls.Client(ours, client)
	_, clientErr := conn.Read(make([]byte, 1))
	_ = ours.Close()
	tasks.Wait()
	if serverErr != nil {
		return serverErr
	}
	return clientErr
}

func configs(t *testing.T, server, client TLS) (*tls.Config, *tls.Config) {
	s, err := server.Server()
	assert.NilError(t, err)
	c, err := client.Client()
	assert.NilError(t, err)
	return s, c
}

func TestMutualTLS(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	good, peer := a.issue("entry", 2, hour), a.issue("agent", 3, hour)
	s, c := configs(t, good, peer)
	assert.NilError(t, handshake(t, s, c))
	assert.Equal(t, s.MinVersion, uint16(tls.VersionTLS13))

	foreign := other.issue("foreign", 4, hour)
	foreign.Authority = a.file
	s, c = configs(t, good, foreign)
	assert.ErrorContains(t, handshake(t, s, c), "certificate", "signed by another authority")

	s, c = configs(t, good, a.issue("late", 5, time.Now().Add(-time.Minute)))
	assert.ErrorContains(t, handshake(t, s, c), "certificate", "expired")

	s, c = configs(t, good, peer)
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	assert.ErrorContains(t, handshake(t, s, c), "certificate", "missing")

	old := good
	old.MinimumVersion = "1.3"
	s, c = configs(t, old, peer)
	c.MinVersion, c.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	assert.ErrorContains(t, handshake(t, s, c), "version")
}

// A renewed certificate is served without a restart, and a broken file leaves
// the last good one in use.
func TestCertificateReload(t *testing.T) {
	a := newAuthority(t)
	files := a.issue("entry", 2, time.Now().Add(time.Hour))
	r, err := newReloader(files.Certificate, files.Key)
	assert.NilError(t, err)
	serial := func() int64 {
		r.checked = time.Time{}
		pair, err := r.get()
		assert.NilError(t, err)
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		assert.NilError(t, err)
		return leaf.SerialNumber.Int64()
	}
	assert.Equal(t, serial(), int64(2))
	a.issue("entry", 9, time.Now().Add(time.Hour))
	assert.NilError(t, os.Chtimes(files.Certificate, time.Now(), time.Now().Add(time.Minute)))
	assert.Equal(t, serial(), int64(9))
	assert.NilError(t, os.WriteFile(files.Certificate, []byte("broken"), 0o600))
	assert.NilError(t, os.Chtimes(files.Certificate, time.Now(), time.Now().Add(2*time.Minute)))
	assert.Equal(t, serial(), int64(9))
}
