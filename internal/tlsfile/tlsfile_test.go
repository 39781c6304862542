package tlsfile

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/check"
)

// generateFiles writes a certificate for 127.0.0.1 and its key to dir, and
// replaces earlier ones.
func generateFiles(t *testing.T, dir string) Settings {
	t.Helper()
	for _, name := range []string{CertFileName, KeyFileName} {
		err := os.Remove(filepath.Join(dir, name))
		assert.Assert(t, err == nil || os.IsNotExist(err), "%v", err)
	}
	s, err := Generate(dir, []string{"127.0.0.1", "peer.example"}, time.Hour)
	assert.NilError(t, err)
	return s
}

// TestWrapServesTLS connects to a wrapped listener with a client that trusts the
// generated certificate.
func TestWrapServesTLS(t *testing.T) {
	s := generateFiles(t, t.TempDir())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := s.Wrap(inner)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	defer server.Close()
	go server.Serve(listener)
	config, err := ClientConfig(s.CertFile, "")
	assert.NilError(t, err)
	client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + inner.Addr().String())
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
}

// currentCertificate returns the certificate, in DER, that r uses for a
// handshake.
func currentCertificate(t *testing.T, r *reloader) string {
	t.Helper()
	pair, err := r.certificate(nil)
	assert.NilError(t, err)
	return string(pair.Certificate[0])
}

// TestChangedFilesAreReloaded replaces the files. The new certificate must be used
// after recheckInterval and not before. A file that is partly written must leave
// the previous certificate in use.
func TestChangedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	r := &reloader{settings: generateFiles(t, dir)}
	assert.NilError(t, r.load())
	first := currentCertificate(t, r)
	generateFiles(t, dir)
	assert.Assert(t, currentCertificate(t, r) == first, "reloaded before recheckInterval")
	r.checkedAt, r.modifiedAt = time.Time{}, time.Time{}
	second := currentCertificate(t, r)
	assert.Assert(t, second != first)
	assert.NilError(t, os.WriteFile(r.settings.CertFile, []byte("half"), 0o600))
	r.checkedAt, r.modifiedAt = time.Time{}, time.Time{}
	assert.Assert(t, currentCertificate(t, r) == second)
}

// TestGenerateDoesNotOverwriteFiles guards against the loss of a key: Generate must
// fail if the files exist.
func TestGenerateDoesNotOverwriteFiles(t *testing.T) {
	dir := t.TempDir()
	generateFiles(t, dir)
	_, err := Generate(dir, []string{"127.0.0.1"}, time.Hour)
	assert.ErrorContains(t, err, "exists")
}

// TestValidate checks that settings with one file only, or with files that cannot be
// loaded, are one problem.
func TestValidate(t *testing.T) {
	dir := t.TempDir()
	good := generateFiles(t, dir)
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
