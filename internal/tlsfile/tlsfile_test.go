package tlsfile

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/check"
)

// writePair writes a self-signed certificate of the serial number for
// 127.0.0.1 and returns its files.
func writePair(t *testing.T, dir string, serial int64) Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	s := Settings{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	assert.NilError(t, os.WriteFile(s.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	assert.NilError(t, os.WriteFile(s.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return s
}

func TestWrapServesTLS(t *testing.T) {
	s := writePair(t, t.TempDir(), 1)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := s.Wrap(inner)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	defer server.Close()
	go server.Serve(listener)
	pool := x509.NewCertPool()
	data, err := os.ReadFile(s.CertFile)
	assert.NilError(t, err)
	assert.Assert(t, pool.AppendCertsFromPEM(data))
	client := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + inner.Addr().String())
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
}

// serialOf returns the serial number of the certificate in use.
func serialOf(t *testing.T, s *store) int64 {
	t.Helper()
	pair, err := s.certificate(nil)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	assert.NilError(t, err)
	return cert.SerialNumber.Int64()
}

// TestNewFilesAreTakenUp replaces the files; a half-written one changes
// nothing.
func TestNewFilesAreTakenUp(t *testing.T) {
	dir := t.TempDir()
	s := &store{settings: writePair(t, dir, 1)}
	assert.NilError(t, s.load())
	writePair(t, dir, 2)
	assert.Equal(t, serialOf(t, s), int64(1), "looked again before the interval")
	s.checked, s.modified = time.Time{}, time.Time{}
	assert.Equal(t, serialOf(t, s), int64(2))
	assert.NilError(t, os.WriteFile(s.settings.CertFile, []byte("half"), 0o600))
	s.checked, s.modified = time.Time{}, time.Time{}
	assert.Equal(t, serialOf(t, s), int64(2))
}

func TestValidate(t *testing.T) {
	dir := t.TempDir()
	good := writePair(t, dir, 1)
	cases := map[string]struct {
		settings Settings
		problems int
	}{
		"off":        {Settings{}, 0},
		"good":       {good, 0},
		"no key":     {Settings{CertFile: good.CertFile}, 1},
		"no such":    {Settings{CertFile: "none", KeyFile: "none"}, 1},
		"wrong file": {Settings{CertFile: good.KeyFile, KeyFile: good.KeyFile}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l check.List
			c.settings.Validate(&l, "tls")
			assert.Equal(t, len(l.Problems), c.problems, "%v", l.Problems)
		})
	}
}
