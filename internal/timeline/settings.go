// Package timeline records the events of a router in a bounded ring buffer,
// sends copies of the important ones to a peer, and merges the events of all
// routers into one timeline in causal order.
package timeline

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings configure the timeline of a router.
type Settings struct {
	// Events is the number of request events that a router keeps.
	Events int `json:"events"`
	// RetainedEvents is the number of events that a router keeps of the kinds
	// that are rare and matter for longer: configuration, members, leases,
	// drains, ejected endpoints and in-doubt grants.
	RetainedEvents int `json:"lasting_events"`
	// CopiedEvents is the number of other routers' events that a router stores
	// as copies.
	CopiedEvents int `json:"copied_events"`
	// CopyInterval is the time between two batches of copies that a router
	// sends to its peer.
	CopyInterval time.Duration `json:"copy_interval"`
	// MaxCopyBytesPerSecond bounds the average rate of the copies that a router
	// sends; 0 sends none. The bytes that were not sent accumulate over at most
	// copyBurstTime and may then be sent at once.
	MaxCopyBytesPerSecond float64 `json:"copy_bytes_per_second"`
}

// copyBurstTime is the longest time over which unused copy bytes accumulate.
const copyBurstTime = 2 * time.Minute

// copyBurst returns the largest number of bytes of copies sent at once.
func (s Settings) copyBurst() int { return int(s.MaxCopyBytesPerSecond * copyBurstTime.Seconds()) }

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Events: 32768, RetainedEvents: 4096,
		CopiedEvents: 16384, CopyInterval: 250 * time.Millisecond, MaxCopyBytesPerSecond: 1000,
	}
}

// Validate adds every invalid setting to l, with its key below path.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".events", int64(s.Events))
	l.Positive(path+".lasting_events", int64(s.RetainedEvents))
	l.Positive(path+".copied_events", int64(s.CopiedEvents))
	l.Duration(path+".copy_interval", s.CopyInterval, 10*time.Millisecond, time.Minute)
	if s.MaxCopyBytesPerSecond < 0 {
		l.Add(path+".copy_bytes_per_second", s.MaxCopyBytesPerSecond, "a number from 0; 0 sends no copies")
	}
}
