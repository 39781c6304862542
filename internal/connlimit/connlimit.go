// Package connlimit bounds what a process keeps for the connections to its listeners: their number,
// the heads of requests, the time without progress and the buffers of the kernel.
package connlimit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/internal/bytebudget"
)

// Errors of reads from a connection that a limit has ended.
var (
	// ErrEvicted: the connection made room for others.
	ErrEvicted = errors.New("connection gave way to others at a limit")
	// ErrStalled: a request was incomplete and had no progress for too long.
	ErrStalled = errors.New("no progress of an incomplete request")
)

// Bounds of a connection.
const (
	// receiveBuffer is the size of the kernel's buffer for received bytes. It allows a connection
	// about 16 KiB for each round trip, 6.5 Mbit/s at 20 ms. The kernel uses up to twice the size.
	receiveBuffer = 16 << 10
	// smallSendBuffer and largeSendBuffer are sizes of the kernel's buffer for sent bytes, which
	// also uses up to twice as much. On the loopback interface, 4 MiB take 1 to 1.7 s through
	// buffers of 8 to 32 KiB, whose segments are as large as the buffer, and 5 ms through 64 KiB.
	smallSendBuffer = 16 << 10
	largeSendBuffer = 64 << 10
	// ConnBytes is what a connection takes besides the head and body of its request: the kernel's
	// buffers, and 20 KiB for stacks and buffers of net/http. LargeSendBytes is what a large
	// send buffer takes beyond that.
	ConnBytes      = 2*receiveBuffer + 2*smallSendBuffer + 20<<10
	LargeSendBytes = 2*largeSendBuffer - 2*smallSendBuffer
	// freeHeadBytes of a head are part of ConnBytes. For each byte beyond it, headMemory bytes are
	// drawn from the budget: 1,200 heads of 60,000 bytes in short lines took a process from 17 MB
	// to 237 to 263 MB, 3.1 to 3.4 times their size.
	freeHeadBytes = 4 << 10
	headMemory    = 4
	// progressBytes must arrive so that the time without progress begins anew.
	progressBytes = 1 << 10
	// stallLimit is the time without progress after which the reading of a body ends. Idle
	// connections and heads have the timeouts of the HTTP server.
	stallLimit = 10 * time.Second
)

// Group has the connections of one listener. Methods of a nil Group set no bound.
type Group struct {
	bounds Bounds
	name   string
	budget *bytebudget.Budget
	log    *slog.Logger
	closed [len(reasons)]*metrics.Counter
	logged uint64       // connections closed by limits that the log has; used by Sweep only
	large  atomic.Int64 // served connections with a large send buffer
	// refusing is the number of connections to which a refusal is being sent.
	refusing atomic.Int64

	mu    sync.Mutex // guards the field below; taken before that of a connection
	conns map[*Conn]struct{}
}

// Bounds are those of the connections of a group.
type Bounds struct {
	// Conns is the number of connections at the same time; 0 stands for no bound.
	Conns int
	// LargeSends is the number of connections that have a large send buffer for their responses.
	LargeSends int
	// Grace is the time in which a connection is not closed for the number of connections.
	Grace time.Duration
}

// reason is why a connection was closed.
type reason int

const (
	byNumber reason = iota
	byBytes
	byStall
	refused // no other connection could be closed for it
)

var reasons = [...]string{byNumber: "number", byBytes: "bytes", byStall: "stalled", refused: "refused"}

// NewGroup returns a group that registers its metrics in set. Heads of requests draw on the budget.
func NewGroup(name string, b Bounds, budget *bytebudget.Budget, log *slog.Logger, set *metrics.Set) *Group {
	g := &Group{name: name, bounds: b, budget: budget, log: log, conns: make(map[*Conn]struct{})}
	for i, r := range reasons {
		g.closed[i] = set.NewCounter(fmt.Sprintf("daisyslip_connections_closed_total{listener=%q,reason=%q}", name, r))
	}
	set.NewGauge(fmt.Sprintf("daisyslip_connections{listener=%q}", name), func() float64 { return float64(g.count()) })
	set.NewGauge(fmt.Sprintf("daisyslip_connections_limit{listener=%q}", name), func() float64 { return float64(g.bounds.Conns) })
	return g
}

func (g *Group) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Listen listens on addr, as host:port, for connections of the group whose buffers in the kernel are
// bounded.
func (g *Group) Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { // accepted connections inherit the options
			optErr = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, smallSendBuffer))
		})
		return errors.Join(err, optErr)
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return g.Wrap(l), nil
}

// Wrap returns a listener that accepts the connections of l into the group.
func (g *Group) Wrap(l net.Listener) net.Listener {
	if g == nil {
		return l
	}
	return &listener{Listener: l, group: g, closed: make(chan struct{})}
}

// Configure makes the server report the states of its connections to the group. The server's
// listener is one of the group's.
func (g *Group) Configure(s *http.Server) {
	if g == nil {
		return
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := unwrap(nc); c != nil {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, unwrap(nc))
	}
}

// contextKey is the key of a connection in the context of its requests.
type contextKey struct{}

// FromContext returns the connection of a request, or nil if it belongs to no group.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// unwrap returns the connection of the group below nc, or nil.
func unwrap(nc net.Conn) *Conn {
	for nc != nil {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		outer, ok := nc.(interface{ NetConn() net.Conn }) // as *tls.Conn
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
	return nil
}

// add adds c to the group if there is room. Otherwise it returns the connection to close, or the time
// to wait for one. If it returns neither and c was not added, c is refused.
func (g *Group) add(c *Conn) (victim *Conn, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bounds.Conns == 0 || len(g.conns) < g.bounds.Conns {
		g.conns[c] = struct{}{}
		return nil, 0
	}
	now := time.Now()
	conns, views := make([]*Conn, 0, len(g.conns)), make([]view, 0, len(g.conns))
	for other := range g.conns {
		conns, views = append(conns, other), append(views, other.view(now))
	}
	index, wait := choose(views, g.bounds.Grace)
	if index >= 0 {
		return conns[index], 0
	}
	if wait == 0 {
		g.closed[refused].Inc()
	}
	return nil, wait
}

func (g *Group) holds(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, found := g.conns[c]
	return found
}

func (g *Group) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// Sweep ends the reading of bodies without progress, and logs how many connections limits have closed
// since the last call. It is called about once a second.
func (g *Group) Sweep() {
	if g == nil {
		return
	}
	now := time.Now()
	var stalled []*Conn
	g.mu.Lock()
	for c := range g.conns {
		if v := c.view(now); v.phase == body && v.stall >= stallLimit {
			stalled = append(stalled, c)
		}
	}
	open := len(g.conns)
	g.mu.Unlock()
	for _, c := range stalled {
		c.end(ErrStalled, byStall)
	}
	total := uint64(0)
	attrs := []slog.Attr{slog.String("listener", g.name), slog.Int("open", open), slog.Int("limit", g.bounds.Conns)}
	for i, r := range reasons {
		total += g.closed[i].Get()
		attrs = append(attrs, slog.Uint64(r+"_total", g.closed[i].Get()))
	}
	if total > g.logged {
		g.logged = total
		g.log.LogAttrs(context.Background(), slog.LevelWarn, "connections closed by limits", attrs...)
	}
}
