// Package admission queues generations by priority and deadline while their pool
// is full, and refuses generations early if they can't be completed by their
// deadline.
package admission

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings configure Queues.
type Settings struct {
	// MaxWaiting is the maximum number of requests that wait for one pool.
	MaxWaiting int `json:"max_waiting"`
	// Overcommit is the share of a pool's slots by which the admitted requests may
	// exceed the slots, so that an engine always has a next request waiting.
	Overcommit float64 `json:"headroom"`
	// Margin is a safety factor. The expected wait and duration of a request are
	// multiplied by it when they are compared with its deadline before the request
	// enters the queue.
	Margin float64 `json:"margin"`
	// LookAhead is the number of waiters, from the head of the queue, among which
	// a request is preferred whose prompt the free endpoint has cached.
	LookAhead int `json:"look_ahead"`
	// MaxWait is the longest expected wait of a request that may enter the queue.
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
