package connlimit

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/internal/bytebudget"
)

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

// Release removes the connection from its group: its other side is trusted from now on.
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

// Discard reads and drops what the caller still sends after a limit has ended reads, until it closes
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

// CloseWrite closes the sending side, which net/http does before it closes a connection whose caller
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
