// Package timeline records the events of a router in a bounded ring, and
// merges the rings of all routers into one time line.
package timeline

import "daisyslip.dev/daisyslip/internal/check"

// Settings are the settings of the time line.
type Settings struct {
	// Events is the number of events of requests that a router keeps.
	Events int `json:"events"`
	// LastingEvents is the number of events that a router keeps of what is
	// rare and matters longer: configuration, members, leases, drains,
	// endpoints ejected and tokens in doubt.
	LastingEvents int `json:"lasting_events"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{Events: 32768, LastingEvents: 4096} }

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".events", int64(s.Events))
	l.Positive(path+".lasting_events", int64(s.LastingEvents))
}
