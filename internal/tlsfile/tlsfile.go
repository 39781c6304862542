// Package tlsfile serves TLS with a certificate and a key from PEM files, and
// reloads changed files without a restart.
package tlsfile

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// recheckInterval is the minimum time between two checks whether the certificate
// file has changed.
const recheckInterval = 10 * time.Second

// Settings name the PEM files. If both are empty, TLS is off.
type Settings struct {
	// CertFile holds the certificate and its chain, KeyFile its private key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Enabled reports whether the settings name a certificate or a key.
func (s Settings) Enabled() bool { return s.CertFile != "" || s.KeyFile != "" }

// Scheme returns the URL scheme of a listener with these settings.
func (s Settings) Scheme() string {
	if s.Enabled() {
		return "https"
	}
	return "http"
}

// Validate adds every problem of the settings to l. Files that cannot be loaded are
// a problem, too. path is the JSON path of the settings in their document.
func (s Settings) Validate(l *check.List, path string) {
	if !s.Enabled() {
		return
	}
	l.Required(path+".cert_file", s.CertFile)
	l.Required(path+".key_file", s.KeyFile)
	if s.CertFile == "" || s.KeyFile == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile); err != nil {
		l.Add(path, s.CertFile, "a certificate with its key in PEM files: "+err.Error())
	}
}

// Wrap returns a listener that serves TLS on the connections of inner, or inner
// itself if TLS is off.
func (s Settings) Wrap(inner net.Listener) (net.Listener, error) {
	if !s.Enabled() {
		return inner, nil
	}
	reloader := &reloader{settings: s}
	if err := reloader.load(); err != nil {
		return nil, err
	}
	return tls.NewListener(inner, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: reloader.certificate}), nil
}

// reloader holds the certificate that was loaded last, and reloads it at a
// handshake if its file has changed.
type reloader struct {
	settings Settings

	mu         sync.Mutex // guards the fields below
	current    *tls.Certificate
	modifiedAt time.Time // modification time of the loaded certificate file
	checkedAt  time.Time // time of the last check of the certificate file
}

// load reads the files. The caller holds mu, or no other goroutine uses r yet.
func (r *reloader) load() error {
	info, err := os.Stat(r.settings.CertFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	pair, err := tls.LoadX509KeyPair(r.settings.CertFile, r.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	r.current, r.modifiedAt, r.checkedAt = &pair, info.ModTime(), time.Now()
	return nil
}

// certificate returns the certificate for a handshake; it is a
// tls.Config.GetCertificate function. If changed files cannot be loaded, the
// previous certificate stays in use, since the files may be partly written. The
// next check loads them again.
func (r *reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) < recheckInterval {
		return r.current, nil
	}
	r.checkedAt = time.Now()
	if info, err := os.Stat(r.settings.CertFile); err == nil && !info.ModTime().Equal(r.modifiedAt) {
		_ = r.load()
	}
	return r.current, nil
}
