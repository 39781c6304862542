package connlimit

import (
	"io"
	"net"
	"sync"
	"time"
)

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
