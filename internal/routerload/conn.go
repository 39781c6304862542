package routerload

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and calls on connections. It is safe for concurrent use.
type Traffic struct{ in, out, calls atomic.Int64 }

// Read records a read of n bytes.
func (t *Traffic) Read(n int) {
	t.in.Add(int64(n))
	t.calls.Add(1)
}

// Wrote records a write of n bytes.
func (t *Traffic) Wrote(n int) {
	t.out.Add(int64(n))
	t.calls.Add(1)
}

// Listen returns a listener whose connections are counted.
func (t *Traffic) Listen(l net.Listener) net.Listener { return &listener{Listener: l, traffic: t} }

type listener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, traffic: l.traffic}, nil
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.traffic.Read(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.traffic.Wrote(n)
	}
	return n, err
}

// NetConn returns the connection that is counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side. The HTTP server uses it, so that a caller that still
// sends gets the response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
