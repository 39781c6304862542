// Package orders sends orders to endpoints: to load models, adapters and versions,
// to change their role and to drain.
//
// An order is sent under a lease on its endpoint and carries the fencing number of
// the lease. Endpoints that check the number refuse orders of an earlier holder. For
// endpoints that do not, the holder renews the lease in the table just before it
// sends the order, sends it with a deadline before the end of the lease, and does
// not release the lease after an order with an unknown outcome.
package orders

import (
	"time"

	"daisyslip.dev/daisyslip/coord/lease"
	"daisyslip.dev/daisyslip/internal/check"
)

// Settings configure a Sender and its WeightLimiter.
type Settings struct {
	// CallTimeout bounds the request that sends one order.
	CallTimeout time.Duration `json:"call_timeout"`
	// LeaseDuration is the duration of the lease under which one router sends
	// orders to an endpoint. It must be the same on all routers.
	LeaseDuration time.Duration `json:"lease_duration"`
	// WeightLoadsPerMinute is the number of loads from the weight store that the
	// whole fleet may start in a minute, and WeightBurst how many it may start at
	// once.
	WeightLoadsPerMinute float64 `json:"weight_loads"`
	WeightBurst          float64 `json:"weight_burst"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{CallTimeout: 3 * time.Second, LeaseDuration: 10 * time.Second, WeightLoadsPerMinute: 60, WeightBurst: 10}
}

// Validate adds every invalid setting to l. The path is the prefix of the
// settings' names in the messages.
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
