// Package tlsfile serves TLS from a certificate and a key in PEM files, and
// takes up new files without a restart.
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

// recheckInterval is the least time between two looks at the files.
const recheckInterval = 10 * time.Second

// Settings name the files. Both empty is no TLS.
type Settings struct {
	// CertFile holds the certificate and its chain, KeyFile its private key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Enabled reports whether TLS is on.
func (s Settings) Enabled() bool { return s.CertFile != "" || s.KeyFile != "" }

// Scheme returns the URL scheme of a listener with these settings.
func (s Settings) Scheme() string {
	if s.Enabled() {
		return "https"
	}
	return "http"
}

// Validate adds every problem of the settings to l. Files that cannot be
// loaded are a problem.
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

// Wrap returns a listener that speaks TLS over inner, or inner itself if TLS
// is off.
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

// store keeps the certificate that was last loaded.
type reloader struct {
	settings Settings

	mu         sync.Mutex // guards all below
	current    *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

// load reads the files. The caller holds no lock or is the only user.
func (s *reloader) load() error {
	info, err := os.Stat(s.settings.CertFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	pair, err := tls.LoadX509KeyPair(s.settings.CertFile, s.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	s.current, s.modifiedAt, s.checkedAt = &pair, info.ModTime(), time.Now()
	return nil
}

// certificate returns the certificate for a handshake. Files that cannot be
// loaded leave the earlier certificate in use: they may be half written.
func (s *reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < recheckInterval {
		return s.current, nil
	}
	s.checkedAt = time.Now()
	if info, err := os.Stat(s.settings.CertFile); err == nil && !info.ModTime().Equal(s.modifiedAt) {
		_ = s.load()
	}
	return s.current, nil
}
