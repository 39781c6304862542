package upstream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/tcpalive"
)

// Settings are the settings of a pool of connections.
type Settings struct {
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration `json:"connect_timeout"`
	// IdleUnsaid is how long a connection is kept whose endpoint did not say
	// how long it keeps it.
	DefaultIdleTimeout time.Duration `json:"idle_unsaid"`
	// IdleOnce is how long a connection may have been idle to carry a request
	// that must not be lost on a stale one.
	AtMostOnceMaxIdle time.Duration `json:"idle_once"`
	// MaxIdle bounds the idle connections to one endpoint.
	MaxIdle int `json:"max_idle"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		ConnectTimeout:     400 * time.Millisecond, // many times a path's delay, below a client's objective
		DefaultIdleTimeout: 4 * time.Second,        // below the usual 5 s of HTTP servers
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

// keepShare is the part of an endpoint's own idle timeout that is used, so that
// a request does not cross its close.
const keepShare = 0.8

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings
	clock    clock.Clock
	made     *metrics.Counter
	reused   *metrics.Counter

	mu   sync.Mutex // guards all below
	idle map[string][]*conn
	shut bool
	open int // connections, idle and in use
}

// NewPool returns an empty pool that counts in set.
func NewPool(s Settings, c clock.Clock, set *metrics.Set) *Pool {
	p := &Pool{settings: s, clock: c, idle: make(map[string][]*conn),
		made:   set.NewCounter(`daisyslip_upstream_connections_total{how="made"}`),
		reused: set.NewCounter(`daisyslip_upstream_connections_total{how="reused"}`),
	}
	set.NewGauge("daisyslip_upstream_connections_open", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.open)
	})
	return p
}

// take returns an idle connection that is not stale, or a new one.
func (p *Pool) take(ctx context.Context, addr string, once bool) (*conn, error) {
	for {
		c := p.pop(addr, once)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.stale() {
			c.close()
			continue
		}
		p.reused.Inc()
		return c, nil
	}
}

// pop returns the connection that was in use last, if it may be used.
func (p *Pool) pop(addr string, once bool) *conn {
	p.mu.Lock()
	list := p.idle[addr]
	if len(list) == 0 {
		p.mu.Unlock()
		return nil
	}
	c := list[len(list)-1]
	idle := clock.Elapsed(c.idleSince, p.clock.Now())
	if once && idle > p.settings.AtMostOnceMaxIdle {
		p.mu.Unlock()
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	p.mu.Unlock()
	if idle > c.idleFor {
		c.close()
		return p.pop(addr, once)
	}
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := tcpalive.Dialer(p.settings.ConnectTimeout, silentAfter).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	p.made.Inc()
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return &conn{Conn: raw, pool: p, addr: addr, reader: newReader(raw)}, nil
}

// put keeps a connection for the next exchange. keep is the endpoint's own idle
// timeout, or unsaid.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleFor = p.settings.DefaultIdleTimeout
	if keep != unsaid {
		c.idleFor = time.Duration(keepShare * float64(keep))
	}
	if err := c.setReadDeadline(time.Time{}); err != nil {
		c.close()
		return
	}
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	full := p.shut || len(p.idle[c.addr]) >= p.settings.MaxIdle
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// gone counts a connection that was closed.
func (p *Pool) gone(*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Prune closes connections that were idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	var old []*conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if clock.Elapsed(c.idleSince, p.clock.Now()) > c.idleFor {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Drop closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Close closes the idle connections; those in use close when their exchange
// ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.shut = true
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
