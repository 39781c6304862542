package upstream

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/tcpalive"
	"daisyslip.dev/daisyslip/internal/tcpreset"
)

// Settings configure a Pool.
type Settings struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration `json:"connect_timeout"`
	// DefaultIdleTimeout is how long an idle connection is kept if the endpoint
	// sends no idle timeout of its own.
	DefaultIdleTimeout time.Duration `json:"idle_unsaid"`
	// AtMostOnceMaxIdle is how long a connection may have been idle to be used
	// for a request with Request.AtMostOnce.
	AtMostOnceMaxIdle time.Duration `json:"idle_once"`
	// MaxIdle is the maximum number of idle connections to one endpoint.
	MaxIdle int `json:"max_idle"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		ConnectTimeout:     400 * time.Millisecond, // many times the network delay, but below clients' latency objectives
		DefaultIdleTimeout: 4 * time.Second,        // below the 5 s that are usual for HTTP servers
		AtMostOnceMaxIdle:  4 * time.Second,
		MaxIdle:            16,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".connect_timeout", s.ConnectTimeout, time.Millisecond, time.Minute)
	l.Duration(path+".idle_unsaid", s.DefaultIdleTimeout, 0, time.Hour)
	l.Duration(path+".idle_once", s.AtMostOnceMaxIdle, 0, time.Hour)
	l.Positive(path+".max_idle", int64(s.MaxIdle))
}

// keepAliveShare is the share of an endpoint's idle timeout for which a connection
// is kept, so that no request is sent while the endpoint closes the connection.
const keepAliveShare = 0.8

// Pool keeps idle connections for each address. It is safe for concurrent use.
type Pool struct {
	settings    Settings
	clock       clock.Clock
	newConns    *metrics.Counter
	reusedConns *metrics.Counter
	passedOver  *metrics.Counter // idle connections that had carried the id of a request
	traffic     Traffic          // nil without one

	mu        sync.Mutex         // guards all below
	idle      map[string][]*conn // by address, most recently used last
	closed    bool
	openConns int // idle connections and those in use
}

// NewPool returns an empty pool that registers its metrics in set.
func NewPool(s Settings, c clock.Clock, set *metrics.Set) *Pool {
	p := &Pool{settings: s, clock: c, idle: make(map[string][]*conn),
		newConns:    set.NewCounter(`daisyslip_upstream_connections_total{how="made"}`),
		reusedConns: set.NewCounter(`daisyslip_upstream_connections_total{how="reused"}`),
		passedOver:  set.NewCounter("daisyslip_upstream_connections_passed_over_total"),
	}
	set.NewGauge("daisyslip_upstream_connections_open", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.openConns)
	})
	return p
}

// Traffic counts the reads and writes of the connections to endpoints. It is called by several
// goroutines.
type Traffic interface {
	Read(n int)
	Wrote(n int)
}

// SetTraffic sets what counts the traffic. It is called before the first request.
func (p *Pool) SetTraffic(t Traffic) { p.traffic = t }

// acquire returns an idle connection that is not stale and has not carried the id of the
// request, or else a new one.
func (p *Pool) acquire(ctx context.Context, addr string, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(addr, r)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.stale() {
			c.close()
			continue
		}
		p.reusedConns.Inc()
		return c, nil
	}
}

// takeIdle removes and returns the most recently used idle connection to an address that
// may carry the request, or returns nil if there is none. It closes connections that have
// been idle for longer than their maxIdle.
func (p *Pool) takeIdle(addr string, r *Request) *conn {
	now := p.clock.Now()
	var taken *conn
	var expired []*conn
	p.mu.Lock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0 && taken == nil; i-- {
		c := list[i]
		idleTime := clock.Elapsed(c.idleSince, now)
		if r.AtMostOnce && idleTime > p.settings.AtMostOnceMaxIdle {
			break // the others have been idle for longer
		}
		switch {
		case idleTime > c.maxIdle:
			expired = append(expired, c)
		case c.carried.contains(r.ID):
			p.passedOver.Inc()
			continue
		default:
			taken = c
		}
		list = slices.Delete(list, i, i+1)
	}
	p.idle[addr] = list
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
	return taken
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := tcpreset.Dial(tcpalive.Dialer(p.settings.ConnectTimeout, unackedTimeout).DialContext)(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	p.newConns.Inc()
	p.mu.Lock()
	p.openConns++
	p.mu.Unlock()
	return newConn(p, addr, raw), nil
}

// Connect opens a connection to an address and keeps it for the next request. The error
// wraps that of the dial.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	p.release(c, keepAliveUnspecified)
	return nil
}

// release makes a connection available for the next exchange, or closes it if the pool is
// closed or full, or the connection has carried maxCarried requests. keepAlive is the
// endpoint's idle timeout, or keepAliveUnspecified.
func (p *Pool) release(c *conn, keepAlive time.Duration) {
	c.maxIdle = p.settings.DefaultIdleTimeout
	if keepAlive != keepAliveUnspecified {
		c.maxIdle = time.Duration(keepAliveShare * float64(keepAlive))
	}
	if err := c.setReadDeadline(time.Time{}); err != nil {
		c.close()
		return
	}
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	full := p.closed || len(p.idle[c.addr]) >= p.settings.MaxIdle || c.carried.full()
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// countClosed updates the number of open connections. Each connection calls it once,
// when it is closed.
func (p *Pool) countClosed(*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// Prune closes the connections that have been idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	var expired []*conn
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if clock.Elapsed(c.idleSince, p.clock.Now()) > c.maxIdle {
				expired = append(expired, c)
				continue
			}
			remaining = append(remaining, c)
		}
		if p.idle[addr] = remaining; len(remaining) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Close closes the idle connections. Connections in use are closed at the end of
// their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var all []*conn
	for _, list := range p.idle {
		all = append(all, list...)
	}
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}
