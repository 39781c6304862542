// Package timeline records the events of a router in a bounded ring, and
// merges the rings of all routers into one time line.
package timeline

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the time line.
type Settings struct {
	// Events is the number of events of requests that a router keeps.
	Events int `json:"events"`
	// LastingEvents is the number of events that a router keeps of what is
	// rare and matters longer: configuration, members, leases, drains,
	// endpoints ejected and tokens in doubt.
	RetainedEvents int `json:"lasting_events"`
	// CopiedEvents is the number of other routers' events that a router
	// keeps for them.
	CopiedEvents int `json:"copied_events"`
	// CopyInterval is the time between two batches of copies that a router
	// sends to a peer.
	CopyInterval time.Duration `json:"copy_interval"`
	// CopyBytesPerSecond bounds the copies over time. What was saved in
	// quiet times, up to copyBurstTime, may be spent at once.
	MaxCopyBytesPerSecond float64 `json:"copy_bytes_per_second"`
}

// copyBurstTime is the time whose unspent share of the network is saved.
const copyBurstTime = 2 * time.Minute

// copyBurst is the most bytes that may be sent at once.
func (s Settings) copyBurst() int { return int(s.MaxCopyBytesPerSecond * copyBurstTime.Seconds()) }

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Events: 32768, RetainedEvents: 4096,
		CopiedEvents: 16384, CopyInterval: 250 * time.Millisecond, MaxCopyBytesPerSecond: 1000,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".events", int64(s.Events))
	l.Positive(path+".lasting_events", int64(s.RetainedEvents))
	l.Positive(path+".copied_events", int64(s.CopiedEvents))
	l.Duration(path+".copy_interval", s.CopyInterval, 10*time.Millisecond, time.Minute)
	if s.MaxCopyBytesPerSecond < 0 {
		l.Add(path+".copy_bytes_per_second", s.MaxCopyBytesPerSecond, "a number from 0; 0 sends no copies")
	}
}
