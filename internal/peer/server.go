package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"daisyslip.dev/daisyslip/internal/connlimit"
)

// server accepts the connections of other routers. The zero value does nothing; a
// router without a peer listener uses that.
type server struct {
	link     *Link
	listener net.Listener
	http     *http.Server
}

// provision prepares the HTTP server for the listener. It is called before run.
func (s *server) provision(l *Link, listener net.Listener) {
	s.link, s.listener = l, listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+linkPath, s.accept)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: l.settings.DialTimeout,
		// These end when a connection is upgraded.
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: requestTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
	l.connections.Configure(s.http)
}

// Bounds of HTTP requests, of which other routers send only one, for the upgrade to WebSocket.
const (
	requestTimeout = 5 * time.Second
	maxHeadBytes   = 8 << 10
)

// run serves until close is called; it returns nil then.
func (s *server) run() error {
	if s.http == nil {
		return nil
	}
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve peers: %w", err)
}

// close closes the listener. Connections that have been upgraded to WebSocket
// stay open.
func (s *server) close() error {
	if s.http == nil {
		return nil
	}
	return s.http.Close()
}

// accept upgrades a connection to WebSocket and requires the dialing router to
// prove that it knows the secret. No request is read before that.
func (s *server) accept(w http.ResponseWriter, r *http.Request) {
	l := s.link
	if l.ctx.Err() != nil {
		http.Error(w, errStopped.Error(), http.StatusServiceUnavailable)
		return
	}
	if l.currentSecret() == "" {
		http.Error(w, errNoSecret.Error(), http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		l.log.Debug("peer connection could not be upgraded to WebSocket", "from", r.RemoteAddr, "err", err)
		return
	}
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.DialTimeout)
	defer cancel()
	peer, err := serverHandshake(ctx, ws, l.currentSecret(), l.Self())
	if err != nil {
		l.metrics.handshakesRefused.Inc()
		l.log.Warn("peer handshake failed, connection closed", "from", r.RemoteAddr, "err", err)
		ws.CloseNow()
		return
	}
	connlimit.FromContext(r.Context()).Release()
	if _, err := l.install(ws, peer); err != nil {
		l.log.Debug("authenticated peer connection closed, the link is stopping", "peer", peer.ID.String(), "err", err)
	}
}
