// Package httpserver implements the life cycle that the HTTP servers of a router
// share: Provision, Run, then Shutdown or Cleanup.
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

// Server is an HTTP or HTTPS server on one address.
type Server struct {
	name     string
	address  string
	tls      tlsfile.Settings
	http     *http.Server
	listener net.Listener
}

// New returns a server that does not listen yet. The name says in errors whom the
// server serves, such as "operators". h holds the handler and the limits; its
// errors are logged to log at the debug level.
func New(name, address string, tls tlsfile.Settings, h *http.Server, log *slog.Logger) *Server {
	h.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	return &Server{name: name, address: address, tls: tls, http: h}
}

// Provision opens the listener and loads the TLS certificate, if there is one.
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

// URL returns the base URL of the server. It may be called after Provision.
func (s *Server) URL() string { return s.tls.Scheme() + "://" + s.listener.Addr().String() }

// Run serves until Shutdown or Cleanup is called, and then returns nil.
func (s *Server) Run() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}

// Shutdown closes the listener and waits for the requests in flight. If ctx ends
// before they have, it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Cleanup closes the listener and all connections immediately.
func (s *Server) Cleanup() error { return s.http.Close() }
