package platformhttp

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on the connections to the platform.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// dialFunc makes a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// count returns dial with its connections counted.
func (t *Traffic) countBytes(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

// countedConn counts what passes over a connection.
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
