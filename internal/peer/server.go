package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/coder/websocket"
)

// server takes the connections of other routers.
type server struct {
	link     *Link
	listener net.Listener
	http     *http.Server
}

func (s *server) provision(l *Link, listener net.Listener) {
	s.link, s.listener = l, listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+linkPath, s.accept)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: l.settings.DialTimeout,
		ErrorLog:          slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
}

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

func (s *server) close() error {
	if s.http == nil {
		return nil
	}
	return s.http.Close()
}

// accept upgrades a connection and has the other side prove the secret
// before anything else is read.
func (s *server) accept(w http.ResponseWriter, r *http.Request) {
	l := s.link
	if l.ctx.Err() != nil {
		http.Error(w, errStopped.Error(), http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		l.log.Debug("Upgrade failed.", "from", r.RemoteAddr, "err", err)
		return
	}
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.DialTimeout)
	defer cancel()
	peer, err := serverHandshake(ctx, ws, l.settings.Secret, l.Self())
	if err != nil {
		l.metrics.handshakesRefused.Inc()
		l.log.Warn("Handshake refused.", "from", r.RemoteAddr, "err", err)
		ws.CloseNow()
		return
	}
	if _, err := l.install(ws, peer); err != nil {
		l.log.Debug("Connection refused.", "peer", peer.ID.String(), "err", err)
	}
}
