// Package clock abstracts time and timers, so that tests can control them.
package clock

import (
	"context"
	"time"
)

// Clock returns the current time and starts timers. Implementations are safe for
// concurrent use.
type Clock interface {
	// Now returns the current time. The difference of two values of one clock
	// is the elapsed time.
	Now() time.Time
	// After returns a channel that receives the current time once d has
	// elapsed.
	After(d time.Duration) <-chan time.Time
}

// Real is the system clock. Its values contain a monotonic reading, so that
// differences between them do not depend on changes of the wall clock.
type Real struct{}

// Now returns time.Now.
func (Real) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits for d by the clock c. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}

// Elapsed returns the time between two values of a clock by the monotonic clock or
// by the wall clock, whichever is longer. The monotonic clock can stop while a VM is
// suspended, and the wall clock can be set back. It is used for time bounds that must
// never be exceeded.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
