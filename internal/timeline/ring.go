// Package timeline records the events of a router in a bounded ring and
// merges the rings of all routers into one time line.
package timeline

import (
	"sync"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the time line.
type Settings struct {
	// Events is the number of events that a router keeps.
	Events int `json:"events"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{Events: 16384} }

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".events", int64(s.Events))
}

// Ring keeps the latest events of one process. It implements event.Recorder
// and is safe for concurrent use.
type Ring struct {
	self  bus.ID
	clock *hlc.Clock

	mu     sync.Mutex // guards all below
	events []event.Event
	seq    uint64
}

var _ event.Recorder = (*Ring)(nil)

// NewRing returns an empty ring.
func NewRing(s Settings, self bus.ID, clock *hlc.Clock) *Ring {
	return &Ring{self: self, clock: clock, events: make([]event.Event, s.Events)}
}

// Record implements event.Recorder. The oldest event is dropped if the ring
// is full.
func (r *Ring) Record(e event.Event) {
	e.VM, e.Incarnation = r.self.VM, r.self.Incarnation
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Seq = r.seq
	e.Time = r.clock.Now()
	r.events[int((r.seq-1)%uint64(len(r.events)))] = e
}

// Since returns the kept events with a number above seq, in order.
func (r *Ring) Since(seq uint64) []event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	first := seq
	if r.seq > size {
		first = max(first, r.seq-size)
	}
	var events []event.Event
	for s := first; s < r.seq; s++ {
		events = append(events, r.events[int(s%size)])
	}
	return events
}
