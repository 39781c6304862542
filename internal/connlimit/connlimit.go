// Package connlimit bounds what a process keeps for the connections to its listeners: their number,
// the heads of requests, the time without progress and the buffers of the kernel.
package connlimit

import (
	"context"
	"errors"
	"fmt"
	"io"
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

type listener struct {
	net.Listener
	group     *Group
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next connection. At the bound of the group it closes another one for it, or the
// new one if that is impossible.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{Conn: nc, group: l.group, acceptedAt: now, phaseAt: now}
		c.progressAt.Store(now.UnixNano())
		if l.admit(c) {
			return c, nil
		}
		l.group.refuse(c)
	}
}

// Bounds of the refusals that are sent at the same time. Further connections are closed at once.
const (
	maxRefusing = 16
	refuseTime  = 250 * time.Millisecond
)

// refusal states that no request of the connection runs.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuse sends a refusal on c, without waiting for a request, and closes c.
func (g *Group) refuse(c *Conn) {
	if g.refusing.Add(1) > maxRefusing {
		g.refusing.Add(-1)
		_ = c.Conn.Close() // refused in any case
		return
	}
	go func() {
		defer g.refusing.Add(-1)
		defer c.Conn.Close()
		until := time.Now().Add(refuseTime)
		if c.Conn.SetDeadline(until) != nil {
			return
		}
		if _, err := io.WriteString(c.Conn, refusal); err == nil && c.CloseWrite() == nil {
			c.Discard(until)
		}
	}()
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit adds c to its group. While connections at the bound are too new to be closed, it waits.
func (l *listener) admit(c *Conn) bool {
	g := l.group
	for {
		victim, wait := g.add(c)
		switch {
		case victim != nil:
			if victim.end(ErrEvicted, byNumber) {
				_ = victim.Conn.Close() // its server calls Close once it has ended the request
				g.remove(victim)
			}
		case wait == 0:
			return g.holds(c)
		default:
			select {
			case <-l.closed:
				return false
			case <-time.After(wait):
			}
		}
	}
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

// Conn is a connection of a group. Methods of a nil Conn do nothing.
type Conn struct {
	net.Conn
	group      *Group
	acceptedAt time.Time
	progressAt atomic.Int64 // Unix ns

	mu        sync.Mutex // guards the fields below
	phase     phase
	phaseAt   time.Time
	served    bool
	ended     error // ErrEvicted or ErrStalled
	headBytes int
	unmarked  int                 // bytes read since progressAt
	account   *bytebudget.Account // of the head; nil while there is none
	large     bool                // counts in Group.large
	sendSize  int                 // of the send buffer, if it was changed
}

func (c *Conn) view(now time.Time) view {
	c.mu.Lock()
	defer c.mu.Unlock()
	return view{
		phase: c.phase, served: c.served, phaseAge: now.Sub(c.phaseAt), age: now.Sub(c.acceptedAt),
		stall: now.Sub(c.LastProgress()), headBytes: c.headBytes,
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		if ended := c.Err(); ended != nil && err != nil {
			return 0, ended
		}
		return n, err
	}
	if chargeErr := c.received(n); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// received accounts for n bytes that were read.
func (c *Conn) received(n int) error {
	account, charge, err := c.record(n)
	if err != nil || charge == 0 {
		return err
	}
	if err := account.Grow(charge); err != nil {
		c.end(ErrEvicted, byBytes)
		return fmt.Errorf("%w: %w", ErrEvicted, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account != account { // the connection was closed meanwhile
		account.Close()
	}
	return nil
}

// record records n bytes that were read, and returns how many to draw from the budget.
func (c *Conn) record(n int) (account *bytebudget.Account, charge int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return nil, 0, c.ended
	}
	if c.unmarked += n; c.unmarked >= progressBytes {
		c.markLocked(time.Now())
	}
	if c.phase == idle {
		c.setPhaseLocked(head)
	}
	if c.phase != head {
		return nil, 0, nil
	}
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += n
	if c.headBytes <= freeHeadBytes {
		return nil, 0, nil
	}
	if c.account == nil {
		c.account = c.group.budget.OpenCaller(c)
	}
	return c.account, headMemory * int64(c.headBytes-before), nil
}

func (c *Conn) setPhaseLocked(p phase) {
	c.phase, c.phaseAt = p, time.Now()
	c.markLocked(c.phaseAt)
}

func (c *Conn) markLocked(now time.Time) {
	c.unmarked = 0
	c.progressAt.Store(now.UnixNano())
}

// setState follows the states that the HTTP server reports. It reports StateActive once the head of a
// request is complete.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.setPhaseLocked(body)
		c.served, c.headBytes = true, 0
	case http.StateIdle:
		c.setPhaseLocked(idle)
		c.releaseLocked()
	}
}

// releaseLocked returns what the last request took.
func (c *Conn) releaseLocked() {
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
	if c.large {
		c.large = false
		c.group.large.Add(-1)
	}
}

// chooseSendBufferLocked gives the connection a large send buffer if there are not too many.
func (c *Conn) chooseSendBufferLocked() {
	size := smallSendBuffer
	if c.large = c.group.large.Add(1) <= int64(c.group.bounds.LargeSends); c.large {
		size = largeSendBuffer
	} else {
		c.group.large.Add(-1)
	}
	tcp, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error })
	if ok && size != c.sendSize {
		c.sendSize = size
		_ = tcp.SetWriteBuffer(size) // it fails only if the connection is closed
	}
}

// BeginServing records that a request was read and is passed on. From then until its response is
// complete, no limit closes the connection. It returns false if one has ended the request before.
func (c *Conn) BeginServing() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil || c.account != nil && !c.account.Protect() {
		return false
	}
	c.setPhaseLocked(serving)
	c.chooseSendBufferLocked()
	return true
}

// Release removes the connection from its group: its client is trusted from now on.
func (c *Conn) Release() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.setPhaseLocked(serving)
	c.mu.Unlock()
	c.group.remove(c)
}

// LastProgress implements bytebudget.Caller. Without a connection it is now.
func (c *Conn) LastProgress() time.Time {
	if c == nil {
		return time.Now()
	}
	return time.Unix(0, c.progressAt.Load())
}

// Evict implements bytebudget.Caller. It ends reads, so that a refusal can still be written.
func (c *Conn) Evict() {
	if c != nil {
		c.end(ErrEvicted, byBytes)
	}
}

// Err returns why a limit has ended the reading, or nil.
func (c *Conn) Err() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// end ends reads with err, unless a request is served, and reports whether reads have ended.
func (c *Conn) end(err error, why reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return false
	}
	if c.ended == nil {
		c.ended = err
		if c.account != nil {
			c.account.Revoke()
		}
		c.group.closed[why].Inc()
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it fails only if the connection is closed
	}
	return true
}

// Discard reads and drops what the client still sends after a limit has ended reads, until it closes
// the connection, stops for stalledAfter, or the time until is reached.
func (c *Conn) Discard(until time.Time) {
	if c == nil {
		return
	}
	buffer := make([]byte, freeHeadBytes)
	for now := time.Now(); now.Before(until); now = time.Now() {
		deadline := now.Add(stalledAfter)
		if until.Before(deadline) {
			deadline = until
		}
		if c.Conn.SetReadDeadline(deadline) != nil {
			return
		}
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// SetReadDeadline implements net.Conn. It has no effect once a limit has ended reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the sending side, which net/http does before it closes a connection whose client
// may still send.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.group.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
	return err
}
