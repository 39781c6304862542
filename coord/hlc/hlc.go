// Package hlc is a hybrid logical clock: time stamps close to wall time that
// never run backwards and respect the order of messages between processes.
package hlc

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Time is a stamp of the clock. Stamps of one clock are strictly increasing;
// a message's receiver stamps later than its sender did.
type Time struct {
	// Wall is nanoseconds since the Unix epoch.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical orders stamps of equal Wall.
	Logical uint32 `json:"logical" cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 as t is before, equal to or after u.
func (t Time) Compare(u Time) int {
	if c := cmp.Compare(t.Wall, u.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// String formats the stamp as UTC time and logical counter.
func (t Time) String() string {
	return fmt.Sprintf("%s+%d", time.Unix(0, t.Wall).UTC().Format("15:04:05.000000"), t.Logical)
}

// Clock issues stamps. It is safe for concurrent use.
type Clock struct {
	source clock.Clock

	mu   sync.Mutex // guards last
	last Time
}

// New returns a hybrid clock over source.
func New(source clock.Clock) *Clock { return &Clock{source: source} }

// Now returns a stamp later than all that the clock has issued or observed.
func (c *Clock) Now() Time {
	wall := c.source.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = Time{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe moves the clock past a stamp that came with a message.
func (c *Clock) Observe(t Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Compare(c.last) > 0 {
		c.last = t
	}
}
