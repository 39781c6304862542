package upstream

import (
	"bufio"
	"errors"
	"iter"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	pool   *Pool
	addr   string
	reader *bufio.Reader
	// idleSince and idleFor say until when the connection may be taken again.
	idleSince time.Time
	maxIdle   time.Duration

	mu          sync.Mutex // guards interrupted against deadlines set later
	interrupted bool

	closeOnce    sync.Once
	bytesWritten atomic.Int64 // bytes of the present request that the kernel took
}

// interrupt ends all reads and writes.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.close()
}

func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return net.ErrClosed
	}
	return c.SetReadDeadline(t)
}

// close closes the connection. An error is of no use: the connection is given
// up in any case.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		c.pool.countClosed(c)
	})
}

// inlineBytes is the size of a request up to which it is written before the
// answer is read: the send buffer of a connection takes that much at once.
const maxInlineBytes = 8 << 10

// sending is a request on its way.
type requestWrite struct {
	done chan struct{}
	err  error
}

// send writes a request. A large one is written while its answer is read, since
// an endpoint may answer before it has read it.
func (c *conn) writeRequest(r *Request) *requestWrite {
	c.bytesWritten.Store(0)
	head := r.encode()
	s := &requestWrite{done: make(chan struct{})}
	write := func() {
		defer close(s.done)
		buffers := net.Buffers{head}
		if len(r.Body) > 0 {
			buffers = append(buffers, r.Body)
		}
		if len(head)+len(r.Body) <= maxInlineBytes {
			buffers = net.Buffers{append(head, r.Body...)}
		}
		n, err := buffers.WriteTo(c.Conn)
		c.bytesWritten.Store(n)
		s.err = err
	}
	if len(head)+len(r.Body) <= maxInlineBytes {
		write()
	} else {
		go write()
	}
	return s
}

// sendDone reports whether the whole request was written.
func (c *conn) writeCompleted(s *requestWrite) bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// nothingSent reports whether no byte has left; the connection is closed.
func (c *conn) nothingSent(s *requestWrite) bool {
	<-s.done
	return s.err != nil && c.bytesWritten.Load() == 0
}

// stale reports whether the endpoint has closed the connection or sent bytes
// that belong to no request.
func (c *conn) stale() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return stale || err != nil
}

// isReset reports whether the peer broke the connection off.
func isConnectionError(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EHOSTUNREACH)
}

// silentAfter is how long sent bytes may stay unacknowledged: several
// retransmissions on a path of some milliseconds.
const unackedTimeout = 3 * time.Second

// splitList yields the fields of a comma-separated header value.
func splitList(v string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for field := range strings.SplitSeq(v, ",") {
			if !yield(strings.TrimSpace(field)) {
				return
			}
		}
	}
}

func cut(s string, sep byte) (before, after string, found bool) {
	return strings.Cut(s, string(sep))
}
