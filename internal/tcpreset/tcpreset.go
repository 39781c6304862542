// Package tcpreset makes connections that tell their reader of a broken connection, also
// if a concurrent write was told first. The kernel reports a reset, or a timeout of sent bytes, to one
// call only: if that is a write, the read that follows gets the end of file, and what was received
// looks complete.
package tcpreset

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended its side.
type Conn struct {
	*net.TCPConn

	mu sync.Mutex // guards all below
	// writes are those under way; written is closed once there is none, and nil before.
	writes  int
	written chan struct{}
	// broken is the first error that a write got from the kernel.
	broken       error
	readDeadline time.Time
}

// Wrap returns c as a Conn if it is a TCP connection, or else c.
func Wrap(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}
	}
	return c
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a function that dials with dial and wraps the connections.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// Read implements net.Conn. After the end of file it returns the error that a write got, if the peer
// has not ended its side before.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, io.EOF) {
		if broken := c.brokenBy(); broken != nil {
			err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: broken}
		}
	}
	return n, err
}

// brokenBy returns how the connection was broken, or nil if the peer has ended its side.
func (c *Conn) brokenBy() error {
	c.mu.Lock()
	written, broken, deadline := c.written, c.broken, c.readDeadline
	c.mu.Unlock()
	if written == nil || broken != nil || endedByPeer(c.TCPConn) {
		return broken
	}
	// The connection is closed in both directions, so that the write ends now. Where the state of
	// connections is not known, it can take until the peer has read all.
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-written:
	case <-expired:
		return os.ErrDeadlineExceeded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// beginWrite notes a write.
func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes == 0 {
		c.written = make(chan struct{})
	}
	c.writes++
}

// endWrite notes the end of a write. EPIPE means that the peer had ended its side before the
// connection was reset.
func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errno syscall.Errno
	if c.broken == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.broken = errno
	}
	if c.writes--; c.writes == 0 {
		close(c.written)
		c.written = nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.beginWrite()
	n, err := c.TCPConn.Write(b)
	c.endWrite(err)
	return n, err
}

// WriteBuffers writes buffers with one call to the kernel where it can.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.beginWrite()
	n, err := buffers.WriteTo(c.TCPConn)
	c.endWrite(err)
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	c.beginWrite()
	n, err := c.TCPConn.ReadFrom(r)
	c.endWrite(err)
	return n, err
}

// WriteTo implements io.WriterTo.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.noteReadDeadline(t)
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.noteReadDeadline(t)
	return c.TCPConn.SetDeadline(t)
}

// noteReadDeadline notes until when a read may wait.
func (c *Conn) noteReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
}
