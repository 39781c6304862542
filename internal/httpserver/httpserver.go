// Package httpserver holds the life cycle that the HTTP listeners of a router
// share.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// Server is an HTTP server on one address.
type Server struct {
	name     string
	address  string
	tls      tlsfile.Settings
	http     *http.Server
	listener net.Listener
}

// New returns a server that does not listen yet. The name says in errors for
// whom it serves; h holds the handler and the bounds.
func New(name, address string, tls tlsfile.Settings, h *http.Server, log *slog.Logger) *Server {
	h.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	return &Server{name: name, address: address, tls: tls, http: h}
}

// Provision opens the listener.
func (s *Server) Provision() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	wrapped, err := s.tls.Wrap(listener)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for %s: %w", s.name, err), listener.Close())
	}
	s.listener = wrapped
	return nil
}

// URL returns the base URL, after Provision.
func (s *Server) URL() string { return s.tls.Scheme() + "://" + s.listener.Addr().String() }

// Run serves until Shutdown or Cleanup.
func (s *Server) Run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}

// Shutdown stops listening and waits for the requests in flight, until ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Cleanup closes all connections at once.
func (s *Server) Cleanup() error { return s.http.Close() }
