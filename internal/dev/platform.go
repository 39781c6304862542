package dev

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"daisyslip.dev/daisyslip/internal/gateway"
	"daisyslip.dev/daisyslip/internal/onplatform"
	"daisyslip.dev/daisyslip/platform/standin"
)

// Site is a router and a stand-in of the users' platform that it runs on, in one process.
type Site struct {
	site        *standin.Site
	router      *onplatform.Router
	settingsDir string // temporary directory of the settings file, removed by Close
	stop        context.CancelFunc
	results     chan error
}

// routerPorts is the number of listeners of a router. They use consecutive ports.
const routerPorts = 4

// StartSite starts the stand-in and the router, and waits until the router is ready. The
// first of the router's listeners uses port, or a free port if that is 0. ctx bounds the
// start only; the site runs until Close.
func StartSite(ctx context.Context, port int, log *slog.Logger) (*Site, error) {
	if port == 0 {
		freePort, err := freePorts(routerPorts)
		if err != nil {
			return nil, err
		}
		port = freePort
	}
	directory, err := os.MkdirTemp("", "daisyslip-dev")
	if err != nil {
		return nil, fmt.Errorf("create a directory for the settings: %w", err)
	}
	s := &Site{settingsDir: directory}
	if err := s.start(ctx, port, log); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// start starts the stand-in and the router. After an error, Close stops what has been
// started.
func (s *Site) start(ctx context.Context, port int, log *slog.Logger) error {
	var err error
	if s.site, err = standin.StartSite("127.0.0.1:0"); err != nil {
		return err
	}
	path := filepath.Join(s.settingsDir, "router.toml")
	if err := os.WriteFile(path, []byte(s.site.SettingsFile("dev-1", port)), 0o600); err != nil {
		return fmt.Errorf("write the settings of the router: %w", err)
	}
	if s.router, err = onplatform.New(path, gateway.DefaultSettings(), log); err != nil {
		return err
	}
	if err := s.router.Provision(); err != nil {
		return fmt.Errorf("provision the router: %w", err)
	}
	runCtx, stop := context.WithCancel(context.Background())
	s.stop, s.results = stop, make(chan error, 2)
	go func() { s.results <- s.site.Run(runCtx) }()
	go func() { s.results <- s.router.Run(runCtx) }()
	return s.waitReady(ctx)
}

// waitReady waits until the router is ready, for readyTimeout at most.
func (s *Site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !s.router.Ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the router to be ready: %w", ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// CallerAddr returns the address at which the router serves callers, as host:port.
func (s *Site) CallerAddr() string { return s.router.Addresses().Callers }

// Close drains the router, stops it and the stand-in, and removes the settings.
func (s *Site) Close() error {
	var err error
	if s.stop != nil {
		s.stop()
		err = errors.Join(<-s.results, <-s.results)
	}
	if s.router != nil {
		s.router.Close()
	}
	if s.site != nil {
		err = errors.Join(err, s.site.Close())
	}
	return errors.Join(err, os.RemoveAll(s.settingsDir))
}

// freePorts returns the first of n consecutive ports that are free on loopback. Another
// process may take them before the caller listens on them.
func freePorts(n int) (int, error) {
	const maxAttempts = 50
	for range maxAttempts {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, fmt.Errorf("find free ports: %w", err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		listeners := []net.Listener{first}
		for i := 1; i < n; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			if err := l.Close(); err != nil {
				return 0, fmt.Errorf("release a free port: %w", err)
			}
		}
		if len(listeners) == n {
			return port, nil
		}
	}
	return 0, fmt.Errorf("found no %d consecutive free ports on loopback", n)
}
