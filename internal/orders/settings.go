// Package orders gives orders to endpoints: to load models, adapters and
// versions, to change role and to drain.
//
// An order is given under a lease on its endpoint and carries the lease's
// fencing number. Endpoints that check it refuse the order of an earlier
// holder. For those that don't, the order is sent only by the holder that the
// table has named just before, with a deadline inside its time, and an order
// without a clear outcome keeps the lease until that time is over.
package orders

import (
	"time"

	"daisyslip.dev/daisyslip/coord/lease"
	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the orders duty.
type Settings struct {
	// CallTimeout bounds the sending of one order.
	CallTimeout time.Duration `json:"call_timeout"`
	// LeaseDuration is the time for which one router may give orders to an
	// endpoint; it is the same on all routers.
	LeaseDuration time.Duration `json:"lease_duration"`
	// WeightLoads is the number of loads from the weight store that the whole
	// fleet starts in a minute, and WeightBurst how many at once.
	WeightLoadsPerMinute float64 `json:"weight_loads"`
	WeightBurst          float64 `json:"weight_burst"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{CallTimeout: 3 * time.Second, LeaseDuration: 10 * time.Second, WeightLoadsPerMinute: 60, WeightBurst: 10}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".lease_duration", s.LeaseDuration, 100*time.Millisecond, 10*time.Minute)
	l.Duration(path+".call_timeout", s.CallTimeout, time.Millisecond, s.LeaseDuration/2)
	if s.WeightLoadsPerMinute <= 0 {
		l.Add(path+".weight_loads", s.WeightLoadsPerMinute, "a number above 0")
	}
	if s.WeightBurst < 1 {
		l.Add(path+".weight_burst", s.WeightBurst, "1 or more")
	}
}

// LeaseSettings returns the settings of the leases on endpoints.
func (s Settings) LeaseSettings() lease.Settings {
	return lease.Settings{Duration: s.LeaseDuration, Margin: s.LeaseDuration / 10, PollInterval: s.LeaseDuration / 20}
}
