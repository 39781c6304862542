package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/websocket"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/internal/connlimit"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// linkPath is the HTTP path at which the peer listener accepts WebSocket
// connections.
const linkPath = "/peer/v1"

// The URL schemes of plain and of TLS connections.
const (
	schemePlain = "ws://"
	schemeTLS   = "wss://"
)

// Directory lists the members of the fleet and records which of them are reachable.
// Implementations are safe for concurrent use.
type Directory interface {
	// Live lists the members that are considered alive, without this one.
	Live() []bus.Peer
	// Lookup returns the entry of a member, with the address at which it
	// listens, or false if the member is not listed.
	Lookup(id bus.ID) (bus.Peer, bool)
	// MarkReachable is called when a connection with a member has been
	// authenticated, and Suspect when a member could not be dialed or did not
	// respond to a ping.
	MarkReachable(p bus.Peer)
	Suspect(id bus.ID)
}

// Dependencies are the components that a Link uses.
type Dependencies struct {
	Directory Directory
	Clock     *hlc.Clock
	Events    event.Recorder
	Metrics   *metrics.Set
	Log       *slog.Logger
	// Connections bounds the connections that are not authenticated yet; nil for no bound.
	Connections *connlimit.Group
}

// Link is the peer link of a router. It implements bus.Bus and keeps one
// connection per peer, which is dialed when a request needs it and closed when
// idle. It is safe for concurrent use.
type Link struct {
	settings    Settings
	directory   Directory
	hlc         *hlc.Clock
	events      event.Recorder
	metrics     *linkMetrics
	log         *slog.Logger
	server      server
	connections *connlimit.Group
	started     time.Time
	scheme      string       // of dialed URLs, set by Provision
	client      *http.Client // for dials; nil means http.DefaultClient
	goroutines  sync.WaitGroup

	ctx  context.Context // ends with the link
	stop context.CancelCauseFunc

	mu       sync.Mutex // guards all fields below; never held over a network call
	self     bus.Peer
	secret   string // of the fleet
	handlers map[bus.Kind]bus.Handler
	conns    map[bus.ID]*conn
	dialing  map[bus.ID]*dialing
	closed   bool
}

// dialing is a dial in progress, shared by all requests that wait for it. conn
// and err are set before done is closed.
type dialing struct {
	done chan struct{}
	conn *conn
	err  error
}

var _ bus.Bus = (*Link)(nil)

// New returns a link of the member self. It can dial at once. Provision makes it
// listen, and Run accepts connections.
func New(s Settings, self bus.Peer, d Dependencies) *Link {
	ctx, stop := context.WithCancelCause(context.Background())
	l := &Link{
		settings: s, self: self, secret: s.Secret, directory: d.Directory, hlc: d.Clock, events: d.Events, log: d.Log, connections: d.Connections,
		metrics: newLinkMetrics(d.Metrics), started: time.Now(), ctx: ctx, stop: stop, scheme: schemePlain,
		handlers: make(map[bus.Kind]bus.Handler), conns: make(map[bus.ID]*conn), dialing: make(map[bus.ID]*dialing),
	}
	d.Metrics.NewGauge("daisyslip_peer_connections", func() float64 { return float64(l.connectionCount()) })
	return l
}

// nanosSinceStart returns the monotonic time since the link was created, in
// nanoseconds.
func (l *Link) nanosSinceStart() int64 { return int64(time.Since(l.started)) }

// Self implements bus.Bus.
func (l *Link) Self() bus.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// Peers implements bus.Bus. It lists the live members of the directory.
func (l *Link) Peers() []bus.Peer { return l.directory.Live() }

// Handle implements bus.Bus.
func (l *Link) Handle(kind bus.Kind, handler bus.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handlers[kind] != nil {
		panic("second handler of " + string(kind))
	}
	l.handlers[kind] = handler
}

// handler returns the handler of a kind, or nil.
func (l *Link) handler(kind bus.Kind) bus.Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[kind]
}

// connectionCount returns the number of open connections.
func (l *Link) connectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Request implements bus.Bus. If ctx has no deadline, CallTimeout applies.
func (l *Link) Request(ctx context.Context, to bus.ID, kind bus.Kind, body []byte) ([]byte, error) {
	if _, set := ctx.Deadline(); !set {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.settings.CallTimeout)
		defer cancel()
	}
	c, err := l.connect(ctx, to)
	if err != nil {
		return nil, failure.Wrap(failure.PeerUnavailable, string(kind), to.String(), err)
	}
	return c.request(ctx, kind, body)
}

// connect returns the connection to a member. If there is none, it starts a dial
// or joins the one in progress, and waits for it until ctx ends.
func (l *Link) connect(ctx context.Context, to bus.ID) (*conn, error) {
	l.mu.Lock()
	if c := l.conns[to]; c != nil && c.ctx.Err() == nil {
		l.mu.Unlock()
		return c, nil
	}
	if l.closed {
		l.mu.Unlock()
		return nil, errStopped
	}
	d := l.dialing[to]
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		l.dialing[to] = d
		l.goroutines.Go(func() { l.dialShared(to, d) })
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the dial: %w", ctx.Err())
	}
}

// dialShared dials a member on behalf of all requests that wait for d. It is
// bounded by DialTimeout and not by the deadlines of these requests. A member
// that cannot be dialed is reported to the directory as suspect.
func (l *Link) dialShared(to bus.ID, d *dialing) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.DialTimeout)
	defer cancel()
	d.conn, d.err = l.dial(ctx, to)
	if d.err != nil {
		l.metrics.dialsFailed.Inc()
		l.directory.Suspect(to)
	}
	l.mu.Lock()
	delete(l.dialing, to)
	l.mu.Unlock()
	close(d.done)
}

// dial connects to a member at the address in the directory and checks that this
// member, and not a later incarnation or another one, listens there.
func (l *Link) dial(ctx context.Context, to bus.ID) (*conn, error) {
	peer, found := l.directory.Lookup(to)
	if !found {
		return nil, errors.New("the member is not known")
	}
	c, err := l.dialAndAuthenticate(ctx, peer.Addr)
	if err != nil {
		return nil, err
	}
	if c.peer.ID != to {
		return nil, fmt.Errorf("%s answers at the address of the member", c.peer.ID)
	}
	return c, nil
}

// DialAddress connects to an address, such as a seed, without knowing which
// member listens there. It returns the member that the handshake authenticated;
// requests to it use the new connection.
func (l *Link) DialAddress(ctx context.Context, addr string) (bus.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.DialTimeout)
	defer cancel()
	c, err := l.dialAndAuthenticate(ctx, addr)
	if err != nil {
		return bus.Peer{}, failure.Wrap(failure.PeerUnavailable, "introduce", addr, err)
	}
	return c.peer, nil
}

// dialAndAuthenticate dials an address, runs the handshake and installs the
// connection.
func (l *Link) dialAndAuthenticate(ctx context.Context, addr string) (*conn, error) {
	if l.currentSecret() == "" {
		return nil, errNoSecret
	}
	l.metrics.dials.Inc()
	ws, _, err := websocket.Dial(ctx, l.scheme+addr+linkPath, &websocket.DialOptions{HTTPClient: l.client})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	ws.SetReadLimit(maxHandshakeBytes)
	peer, err := clientHandshake(ctx, ws, l.currentSecret(), l.Self())
	if err != nil {
		ws.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", addr, err)
	}
	return l.install(ws, peer)
}

// install makes an authenticated connection the current one of its peer and
// serves it. A previous connection is closed only after CallTimeout, so that the
// requests on it can end. It returns errStopped if the link is closed.
func (l *Link) install(ws *websocket.Conn, peer bus.Peer) (*conn, error) {
	c := newConn(l, ws, peer)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		ws.CloseNow()
		return nil, errStopped
	}
	previous := l.conns[peer.ID]
	l.conns[peer.ID] = c
	l.goroutines.Go(func() { l.serve(c) })
	l.mu.Unlock()
	if previous != nil {
		time.AfterFunc(l.settings.CallTimeout, func() { previous.closeNormally(errReplaced) })
	}
	l.directory.MarkReachable(peer)
	l.events.Record(event.Event{Component: event.ComponentPeer, Kind: event.PeerConnected, Peer: peer.ID.String()})
	return c, nil
}

// reportLoss records that a connection was lost. It reports the peer to the directory as
// suspect if it did not respond to a ping.
func (l *Link) reportLoss(peer bus.ID, cause error) {
	l.metrics.connectionsLost.Inc()
	l.log.Debug("peer connection lost", "peer", peer.String(), "err", cause)
	l.events.Record(event.Event{Component: event.ComponentPeer, Kind: event.PeerDisconnected, Peer: peer.String(), Detail: cause.Error()})
	if errors.Is(cause, errPingTimeout) {
		l.directory.Suspect(peer)
	}
}

// serve runs a connection until it ends and removes it from the link.
func (l *Link) serve(c *conn) {
	c.run()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[c.peer.ID] == c {
		delete(l.conns, c.peer.ID)
	}
}

// isExpectedClose reports whether either side closed the connection on purpose.
func isExpectedClose(cause error) bool {
	return errors.Is(cause, errIdle) || errors.Is(cause, errReplaced) || errors.Is(cause, errStopped) ||
		websocket.CloseStatus(cause) == websocket.StatusNormalClosure
}

// SetSecret sets the secret of the fleet. A link without a secret neither dials nor
// accepts connections.
func (l *Link) SetSecret(secret string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secret = secret
}

// currentSecret returns the secret of the fleet, or "" before it is known.
func (l *Link) currentSecret() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secret
}

// SetOperatorURL sets the base URL of this member's operator API, which the
// handshake sends to other members. It is called before Provision.
func (l *Link) SetOperatorURL(url string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Operator = url
}

// Provision opens the listener, if the settings name one, and sets up TLS. The
// advertised address is the listener's unless the settings name another.
func (l *Link) Provision() error {
	if l.settings.Listen == "" {
		return nil
	}
	if err := l.provisionTLS(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", l.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	wrapped, err := l.settings.TLS.Wrap(l.connections.Wrap(listener))
	if err != nil {
		return errors.Join(fmt.Errorf("listen for peers: %w", err), listener.Close())
	}
	l.server.provision(l, wrapped)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Addr = listener.Addr().String()
	if l.settings.Advertise != "" {
		l.self.Addr = l.settings.Advertise
	}
	return nil
}

// provisionTLS configures TLS for dials if the settings enable it.
func (l *Link) provisionTLS() error {
	if !l.settings.TLS.Enabled() {
		return nil
	}
	config, err := tlsfile.ClientConfig(l.settings.CAFile, CertName)
	if err != nil {
		return fmt.Errorf("dial peers: %w", err)
	}
	l.scheme = schemeTLS
	l.client = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return nil
}

// Run accepts connections until Cleanup. It returns at once if the link does not
// listen.
func (l *Link) Run() error { return l.server.run() }

// Cleanup closes the listener and all connections, and waits for all goroutines
// of the link, handlers included.
func (l *Link) Cleanup() error {
	err := l.server.close()
	l.mu.Lock()
	l.closed = true
	conns := slices.Collect(maps.Values(l.conns))
	l.mu.Unlock()
	l.closeConns(conns)
	l.stop(errStopped)
	l.goroutines.Wait()
	return err
}

// closeConns closes connections with the normal WebSocket status. After
// PingTimeout it closes the remaining ones without a close handshake.
func (l *Link) closeConns(conns []*conn) {
	done := make(chan struct{}, len(conns))
	for _, c := range conns {
		l.goroutines.Go(func() {
			c.closeNormally(errStopped)
			done <- struct{}{}
		})
	}
	timeout := time.After(l.settings.PingTimeout)
	for range conns {
		select {
		case <-done:
		case <-timeout:
			for _, c := range conns {
				c.ws.CloseNow()
			}
			return
		}
	}
}
