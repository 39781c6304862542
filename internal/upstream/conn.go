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

	"daisyslip.dev/daisyslip/internal/tcpreset"
)

// conn is a TCP connection to an endpoint. One exchange uses it at a time.
type conn struct {
	net.Conn
	pool   *Pool
	addr   string
	reader *bufio.Reader // reads from limit
	limit  *limitedReader
	// An idle connection may be reused until maxIdle after idleSince.
	idleSince time.Time
	maxIdle   time.Duration
	// hadResponse is set once the head of a response was read that is not interim.
	hadResponse bool
	carried     carriedIDs // ids of the requests that were sent on it

	mu          sync.Mutex // guards interrupted, so that no deadline is set after interrupt
	interrupted bool

	closeOnce    sync.Once
	bytesWritten atomic.Int64 // bytes of the current request that were written to the socket
}

// newConn returns a connection that belongs to p.
func newConn(p *Pool, addr string, raw net.Conn) *conn {
	limit := &limitedReader{conn: raw, remaining: unlimited, traffic: p.traffic}
	return &conn{Conn: raw, pool: p, addr: addr, limit: limit, reader: bufio.NewReaderSize(limit, readerBytes)}
}

// limitedReader reads from a connection until a number of bytes is reached, so that an
// endpoint that sends bytes without end does not fill the memory.
type limitedReader struct {
	conn      net.Conn
	remaining int64             // bytes that may still be read, or unlimited
	charge    func(n int) error // called for the bytes read, if it is set; its error ends the read
	traffic   Traffic           // nil without one
}

// unlimited is the value of limitedReader.remaining without a limit.
const unlimited = -1

// errTooManyBytes is returned by a limitedReader at its limit.
var errTooManyBytes = errors.New("endpoint sent too many bytes before its answer")

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errTooManyBytes
	}
	if r.remaining > 0 {
		b = b[:min(int64(len(b)), r.remaining)]
	}
	n, err := r.conn.Read(b)
	if r.traffic != nil && n > 0 {
		r.traffic.Read(n)
	}
	if r.remaining > 0 {
		r.remaining -= int64(n)
	}
	if r.charge != nil && n > 0 {
		if chargeErr := r.charge(n); chargeErr != nil {
			return 0, chargeErr
		}
	}
	return n, err
}

// interrupt resets the connection, which ends all reads and writes. It is called
// when the context of the exchange ends.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	c.reset()
}

// setReadDeadline sets the read deadline. It returns net.ErrClosed if the
// connection was interrupted.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return net.ErrClosed
	}
	return c.SetReadDeadline(t)
}

// reset ends the connection within an exchange. Bytes that have not arrived yet are dropped,
// and the endpoint's next write fails. After a regular close its first write would succeed,
// so that an endpoint that does not read would work on.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // if this fails, the connection is closed regularly
	}
	c.close()
}

// close closes the connection once. Errors are ignored, since the connection is not
// used any more in any case.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		c.pool.countClosed(c)
	})
}

// maxInlineBytes is the size of a request up to which it is written before the
// response is read. The send buffer of a connection accepts that much without
// blocking.
const maxInlineBytes = 8 << 10

// requestWrite is the write of a request, which may be in progress.
type requestWrite struct {
	done chan struct{} // closed at the end of the write
	err  error         // valid once done is closed
}

// writeRequest writes a request. A request of more than maxInlineBytes is written by
// another goroutine while the response is read, since an endpoint may respond before
// it has read the complete request.
func (c *conn) writeRequest(r *Request) *requestWrite {
	c.bytesWritten.Store(0)
	head := r.encode()
	w := &requestWrite{done: make(chan struct{})}
	write := func() {
		defer close(w.done)
		buffers := net.Buffers{head}
		if len(r.Body) > 0 {
			buffers = append(buffers, r.Body)
		}
		if len(head)+len(r.Body) <= maxInlineBytes {
			buffers = net.Buffers{append(head, r.Body...)}
		}
		n, err := c.writeBuffers(&buffers)
		c.bytesWritten.Store(n)
		if c.pool.traffic != nil && n > 0 {
			c.pool.traffic.Wrote(int(n))
		}
		w.err = err
	}
	if len(head)+len(r.Body) <= maxInlineBytes {
		write()
	} else {
		go write()
	}
	return w
}

// writeBuffers writes buffers to the connection.
func (c *conn) writeBuffers(buffers *net.Buffers) (int64, error) {
	if tcp, ok := c.Conn.(*tcpreset.Conn); ok {
		return tcp.WriteBuffers(buffers)
	}
	return buffers.WriteTo(c.Conn)
}

// writeCompleted reports whether the complete request has been written. It does not
// wait.
func (c *conn) writeCompleted(w *requestWrite) bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// nothingSent waits for the end of the write and reports whether no byte of the
// request was written. The connection must be closed, so that the write ends.
func (c *conn) nothingSent(w *requestWrite) bool {
	<-w.done
	return w.err != nil && c.bytesWritten.Load() == 0
}

// stale reports whether the endpoint has closed an idle connection, or sent bytes
// that belong to no request. It does not block.
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
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return stale || err != nil
}

// isConnectionError reports whether err means that the connection was broken off: it
// was reset or aborted, timed out or lost its route.
func isConnectionError(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EHOSTUNREACH)
}

// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
// closes the connection. It allows several retransmissions on a path with a delay of
// a few milliseconds.
const unackedTimeout = 3 * time.Second

// splitList yields the fields of a comma-separated header value without
// surrounding blanks.
func splitList(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for field := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(field)) {
				return
			}
		}
	}
}

// cut is strings.Cut with a separator of one byte.
func cut(s string, sep byte) (before, after string, found bool) {
	return strings.Cut(s, string(sep))
}
