package platformhttp

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on the connections to the platform, including HTTP
// headers. It is safe for concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes sent so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// dialFunc opens a connection; net.Dialer.DialContext is one.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countBytes wraps dial so that t counts the bytes on its connections.
func (t *Traffic) countBytes(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
