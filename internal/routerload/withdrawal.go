package routerload

import "time"

// Times of a withdrawal.
const (
	// minWithdrawn is the least of Settings.MinWithdrawn: two checks of the load balancer, one
	// second apart, and a margin. maxWithdrawn is the most of Settings.MaxWithdrawn.
	minWithdrawn = 2500 * time.Millisecond
	maxWithdrawn = 10 * time.Second
	// minReady is how long a router stays ready after a withdrawal.
	minReady = 2 * time.Second
	// claimTime is the time in which a withdrawal ends at once if it turns out to exceed the
	// quota, because others began at the same time. The load balancer checks once per second
	// and needs two misses, so it has not taken the router out by then. Notices take some tens
	// of milliseconds.
	claimTime = 800 * time.Millisecond
	// repeatWithin is the time after a return in which a further withdrawal lasts twice as
	// long at least: the callers have come back at once, and the low load of the router while
	// it was withdrawn shows nothing.
	repeatWithin = 6 * time.Second
)

// Withdrawal tells whether the readiness of a router is withdrawn. The zero Withdrawal is
// that of a router that starts.
type Withdrawal struct {
	Withdrawn bool
	// Since is when Withdrawn changed last.
	Since time.Time
	// Hold is how long the withdrawal lasts at least, or how long the last one did.
	Hold time.Duration
	// Order is Notice.Order.
	Order uint32
}

// Next returns the withdrawal at a later time. Allowed tells whether the quota permits that
// this router is withdrawn, and order is that of a withdrawal that begins now.
func (w Withdrawal) Next(settings Settings, now time.Time, level Level, allowed bool, order uint32) Withdrawal {
	lasted := now.Sub(w.Since)
	switch {
	case w.Withdrawn && !allowed && lasted <= claimTime:
		return Withdrawal{Since: now} // it has moved no callers
	case w.Withdrawn && (lasted >= settings.MaxWithdrawn || lasted >= w.Hold && level == Normal || lasted >= settings.MinWithdrawn && !allowed):
		return Withdrawal{Since: now, Hold: w.Hold}
	case !w.Withdrawn && level == Overloaded && allowed && (w.Since.IsZero() || lasted >= minReady):
		hold := settings.MinWithdrawn
		if !w.Since.IsZero() && lasted < repeatWithin {
			hold = min(max(2*w.Hold, hold), settings.MaxWithdrawn)
		}
		return Withdrawal{Withdrawn: true, Since: now, Hold: hold, Order: order}
	}
	return w
}
