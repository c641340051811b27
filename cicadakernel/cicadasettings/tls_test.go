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

// A testCA issues certificates and writes them to files.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newTestCA(t *testing.T) *testCA {
	ca := &testCA{t: t, dir: t.TempDir()}
	var err error
	ca.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &ca.key.PublicKey, ca.key)
	assert.NilError(t, err)
	ca.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	ca.file = ca.write("authority.pem", "CERTIFICATE", der)
	return ca
}

func (ca *testCA) write(name, kind string, der []byte) string {
	file := filepath.Join(ca.dir, name)
	assert.NilError(ca.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue writes a certificate for 127.0.0.1 with the given expiry time, and returns
// the TLS settings that use it.
func (ca *testCA) issue(name string, serial int64, expiry time.Time) TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(ca.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: expiry, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	assert.NilError(ca.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(ca.t, err)
	return TLS{
		Certificate: ca.write(name+".pem", "CERTIFICATE", der),
		Key:         ca.write(name+".key", "EC PRIVATE KEY", keyDER),
		Authority:   ca.file,
	}
}

// handshake performs a TLS handshake between a client and a server. It returns the
// server's error, or the client's if the server had none.
func handshake(t *testing.T, server, client *tls.Config) error {
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	var serverErr error
	var tasks conc.WaitGroup
	tasks.Go(func() {
		conn := tls.Server(serverConn, server)
		if serverErr = conn.HandshakeContext(t.Context()); serverErr != nil {
			_ = serverConn.Close()
			return
		}
		_, _ = conn.Write([]byte("x"))
	})
	conn := tls.Client(clientConn, client)
	_, clientErr := conn.Read(make([]byte, 1))
	_ = clientConn.Close()
	tasks.Wait()
	if serverErr != nil {
		return serverErr
	}
	return clientErr
}

func tlsConfigs(t *testing.T, server, client TLS) (*tls.Config, *tls.Config) {
	s, err := server.ServerConfig()
	assert.NilError(t, err)
	c, err := client.ClientConfig()
	assert.NilError(t, err)
	return s, c
}

func TestMutualTLS(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	hour := time.Now().Add(time.Hour)
	server, client := ca.issue("entry", 2, hour), ca.issue("agent", 3, hour)
	s, c := tlsConfigs(t, server, client)
	assert.NilError(t, handshake(t, s, c))
	assert.Equal(t, s.MinVersion, uint16(tls.VersionTLS13))

	foreign := otherCA.issue("foreign", 4, hour)
	foreign.Authority = ca.file
	s, c = tlsConfigs(t, server, foreign)
	assert.ErrorContains(t, handshake(t, s, c), "certificate", "issued by another CA")

	s, c = tlsConfigs(t, server, ca.issue("late", 5, time.Now().Add(-time.Minute)))
	assert.ErrorContains(t, handshake(t, s, c), "certificate", "expired")

	s, c = tlsConfigs(t, server, client)
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	assert.ErrorContains(t, handshake(t, s, c), "certificate", "missing")

	tls13Only := server
	tls13Only.MinimumVersion = "1.3"
	s, c = tlsConfigs(t, tls13Only, client)
	c.MinVersion, c.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	assert.ErrorContains(t, handshake(t, s, c), "version")
}

// A renewed certificate is used without a restart. If the new file is invalid, the
// previous certificate stays in use.
func TestCertificateReload(t *testing.T) {
	ca := newTestCA(t)
	files := ca.issue("entry", 2, time.Now().Add(time.Hour))
	r, err := newCertificateReloader(files.Certificate, files.Key)
	assert.NilError(t, err)
	serial := func() int64 {
		r.lastCheck = time.Time{}
		certificate, err := r.get()
		assert.NilError(t, err)
		leaf, err := x509.ParseCertificate(certificate.Certificate[0])
		assert.NilError(t, err)
		return leaf.SerialNumber.Int64()
	}
	assert.Equal(t, serial(), int64(2))
	ca.issue("entry", 9, time.Now().Add(time.Hour))
	assert.NilError(t, os.Chtimes(files.Certificate, time.Now(), time.Now().Add(time.Minute)))
	assert.Equal(t, serial(), int64(9))
	assert.NilError(t, os.WriteFile(files.Certificate, []byte("broken"), 0o600))
	assert.NilError(t, os.Chtimes(files.Certificate, time.Now(), time.Now().Add(2*time.Minute)))
	assert.Equal(t, serial(), int64(9))
}
