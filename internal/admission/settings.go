// Package admission queues generations by priority and deadline while their
// pool is full, and refuses early those that cannot be on time.
package admission

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the admission duty.
type Settings struct {
	// MaxWaiting bounds the requests that wait for one pool.
	MaxWaiting int `json:"max_waiting"`
	// Headroom is the share of a pool's slots that may be used beyond them,
	// so that an engine finds its next request waiting.
	Overcommit float64 `json:"headroom"`
	// Margin multiplies expected times when they are compared with a deadline.
	Margin float64 `json:"margin"`
	// LookAhead is the number of waiters among which the one is taken whose
	// prompt a free endpoint has cached.
	LookAhead int `json:"look_ahead"`
	// MaxWait bounds the expected wait of a request that is let into the
	// queue.
	MaxWait time.Duration `json:"max_wait"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{MaxWaiting: 4096, Overcommit: 0, Margin: 1.3, LookAhead: 32, MaxWait: 5 * time.Minute}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".max_waiting", int64(s.MaxWaiting))
	if s.Overcommit < 0 {
		l.Add(path+".headroom", s.Overcommit, "0 or more")
	}
	if s.Margin < 1 {
		l.Add(path+".margin", s.Margin, "1 or more")
	}
	l.Positive(path+".look_ahead", int64(s.LookAhead))
	l.Duration(path+".max_wait", s.MaxWait, time.Millisecond, time.Hour)
}
