// Package hlc implements a hybrid logical clock. Its timestamps are close to the wall
// time, never decrease, and respect the order of messages between processes.
package hlc

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Time is a timestamp of a Clock. The timestamps of one clock strictly increase.
// After a process has received a message and observed its timestamp, its own
// timestamps are later than that.
type Time struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical orders timestamps with equal Wall.
	Logical uint32 `json:"logical" cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 if t is before, equal to or after u.
func (t Time) Compare(u Time) int {
	if c := cmp.Compare(t.Wall, u.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// String returns the UTC time of day, in microseconds, and the logical counter.
func (t Time) String() string {
	return fmt.Sprintf("%s+%d", time.Unix(0, t.Wall).UTC().Format("15:04:05.000000"), t.Logical)
}

// Clock issues timestamps. It is safe for concurrent use.
type Clock struct {
	source clock.Clock

	mu   sync.Mutex // guards last
	last Time
}

// New returns a hybrid logical clock whose wall time is that of source.
func New(source clock.Clock) *Clock { return &Clock{source: source} }

// Now returns a timestamp later than all that this clock has issued or observed.
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

// Observe advances the clock to the timestamp of a received message, if that is
// later.
func (c *Clock) Observe(t Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Compare(c.last) > 0 {
		c.last = t
	}
}
