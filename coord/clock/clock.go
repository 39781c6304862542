// Package clock abstracts the passage of time, so that tests can drive it.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and makes timers. Implementations are safe for
// concurrent use.
type Clock interface {
	// Now returns the current time. Values returned by one clock can be
	// subtracted to measure elapsed time.
	Now() time.Time
	// After returns a channel that receives the time once d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// Real is the clock of the machine. Durations between its values are
// monotonic.
type Real struct{}

// Now returns time.Now.
func (Real) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits for d on c. It returns the context's error if ctx ends first.
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

// Elapsed is the time between two moments by the monotonic clock or by the
// wall clock, whichever says more. A monotonic clock may stand still while a
// VM is suspended, and a wall clock may be set back; a bound that must not be
// overrun is measured by this.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
