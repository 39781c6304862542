// Package member keeps the address book of a fleet in the platform's table.
//
// Each member writes one row, named by its VM, with its fresh incarnation and
// a heartbeat counter. The row is a record, not a lease: a heartbeat that
// stops, or a member that another suspects, never frees what it holds. Rows
// are written rarely, so that a large fleet fits the table's writes; whether a
// member can be reached now is judged by each member for itself, from its own
// connections.
package member

import (
	"errors"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// rowPrefix starts the key of every member's row.
const rowPrefix = "member/"

// rangeLimit is the number of rows read at once.
const rowsPerRead = 1024

// Settings are the settings of membership.
type Settings struct {
	// HeartbeatInterval is the time between two writes of a member's row.
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// RefreshInterval is the shortest time between two reads of all rows.
	RefreshInterval time.Duration `json:"refresh_interval"`
	// ListInterval is the time between two reads of the platform's VM list.
	ListInterval time.Duration `json:"list_interval"`
	// SuspectFor is how long a member that could not be reached is left out
	// of Live, unless it gets in touch before.
	SuspectFor time.Duration `json:"suspect_for"`
	// SilentAfter is the time without a heartbeat after which a member is
	// left out of Live.
	SilentAfter time.Duration `json:"silent_after"`
	// RemoveAfter is the time without a heartbeat after which the row is
	// removed. Work that a member may do unseen must be bounded by less.
	RemoveAfter time.Duration `json:"remove_after"`
	// GoneAfter is the time for which the platform's list must have lacked a
	// VM that it listed before, until the VM counts as gone.
	TerminatedAfter time.Duration `json:"gone_after"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatInterval: 30 * time.Second,
		RefreshInterval:   5 * time.Second,
		ListInterval:      time.Second,
		SuspectFor:        3 * time.Second,
		SilentAfter:       100 * time.Second,
		RemoveAfter:       30 * time.Minute,
		TerminatedAfter:   15 * time.Second,
	}
}

// Problem is a setting that is out of its bounds.
type Problem struct {
	// Name is the JSON name of the setting.
	Name  string
	Value time.Duration
	Low   time.Duration
	High  time.Duration
}

// Validate returns the settings that are out of their bounds.
func (s Settings) Validate() []Problem {
	settings := []Problem{
		{"heartbeat_interval", s.HeartbeatInterval, 10 * time.Millisecond, time.Hour},
		{"refresh_interval", s.RefreshInterval, 10 * time.Millisecond, time.Hour},
		{"list_interval", s.ListInterval, 10 * time.Millisecond, s.RefreshInterval},
		{"suspect_for", s.SuspectFor, time.Millisecond, time.Hour},
		{"silent_after", s.SilentAfter, 2 * s.HeartbeatInterval, 24 * time.Hour},
		{"remove_after", s.RemoveAfter, 2 * s.SilentAfter, 30 * 24 * time.Hour},
		{"gone_after", s.TerminatedAfter, time.Millisecond, time.Hour},
	}
	var problems []Problem
	for _, p := range settings {
		if p.Value < p.Low || p.Value > p.High {
			problems = append(problems, p)
		}
	}
	return problems
}

// ErrSuperseded says that a newer incarnation has taken over this VM's row.
// The process must stop taking work.
var ErrSuperseded = errors.New("a newer incarnation runs on this VM")

// Status is what is known of one registered member.
type Status struct {
	Peer bus.Peer `json:"peer"`
	// Suspected is true if this member could not reach it lately.
	Suspected bool `json:"suspected,omitempty"`
	// Silent is true if its heartbeat has stopped.
	Silent bool `json:"silent,omitempty"`
	// Leaving is true if the platform lists its VM as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Gone is true if the platform no longer lists its VM.
	Terminated bool `json:"gone,omitempty"`
	// Unregistered is true if it has been in touch but has no row yet.
	Unregistered bool `json:"unregistered,omitempty"`
}

// record is the content of a row.
type record struct {
	Peer      bus.Peer `json:"peer"`
	Heartbeat int64    `json:"beat"`
}

// entry is what a directory holds of one VM's member.
type entry struct {
	peer           bus.Peer
	rowVersion     int64 // of the row; 0 if there is none
	heartbeatCount int64
	// beatSeen is when the heartbeat was last seen to move, by this
	// process's clock.
	heartbeatSeenAt time.Time
	// suspectUntil is when a failed attempt to reach it is forgotten.
	suspectUntil time.Time
}

// Flags names the states that hold, or "live".
func (s Status) Flags() []string {
	var flags []string
	for _, f := range []struct {
		set  bool
		name string
	}{
		{s.Suspected, "suspected"}, {s.Silent, "silent"}, {s.Leaving, "leaving"}, {s.Terminated, "gone"}, {s.Unregistered, "unregistered"},
	} {
		if f.set {
			flags = append(flags, f.name)
		}
	}
	if len(flags) == 0 {
		return []string{"live"}
	}
	return flags
}
