// Package member keeps the directory of a fleet's members in the platform's
// table.
//
// Each member writes one row, whose key is its VM, with its incarnation and a
// heartbeat counter. The row is a record and not a lease: if heartbeats stop, or
// another member suspects this one, nothing that it holds becomes free. Rows are
// written rarely, so that the writes of a large fleet stay within the capacity of
// the table. Whether a member can be reached right now is decided by each other
// member from its own connections.
package member

import (
	"errors"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// rowPrefix is the key prefix of the members' rows; the VM follows.
const rowPrefix = "member/"

// rowsPerRead is the number of rows read by one call of the store.
const rowsPerRead = 1024

// Settings configure the membership.
type Settings struct {
	// HeartbeatInterval is the time between two writes of a member's row.
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// RefreshInterval is the shortest time between two reads of all rows. It
	// is longer in a large fleet; see refreshIntervalPerMember.
	RefreshInterval time.Duration `json:"refresh_interval"`
	// ListInterval is the time between two reads of the platform's VM list.
	ListInterval time.Duration `json:"list_interval"`
	// SuspectFor is how long a member that could not be reached is left out of
	// Live, unless a connection with it is established before.
	SuspectFor time.Duration `json:"suspect_for"`
	// SilentAfter is the time without a heartbeat after which a member is
	// left out of Live.
	SilentAfter time.Duration `json:"silent_after"`
	// RemoveAfter is the time without a heartbeat after which other members
	// remove the row. Whatever a member may do without a successful heartbeat
	// must end earlier than that.
	RemoveAfter time.Duration `json:"remove_after"`
	// TerminatedAfter is how long a VM that was listed before must be missing
	// from the platform's list before it counts as terminated.
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

// Problem describes a setting that is out of its bounds, both inclusive.
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

// ErrSuperseded is returned if a newer incarnation has taken over this VM's row.
// The process must stop accepting work.
var ErrSuperseded = errors.New("a newer incarnation runs on this VM")

// Status is the state of one other member as this member sees it.
type Status struct {
	Peer bus.Peer `json:"peer"`
	// Suspected is true if this member could not reach it within the last
	// Settings.SuspectFor.
	Suspected bool `json:"suspected,omitempty"`
	// Silent is true if its heartbeat has not changed for
	// Settings.SilentAfter.
	Silent bool `json:"silent,omitempty"`
	// Leaving is true if the platform lists its VM as leaving or no longer
	// lists it.
	Leaving bool `json:"leaving,omitempty"`
	// Terminated is true if the platform has not listed its VM for
	// Settings.TerminatedAfter.
	Terminated bool `json:"gone,omitempty"`
	// Unregistered is true if it has connected but its row has not been read
	// yet.
	Unregistered bool `json:"unregistered,omitempty"`
}

// record is the content of a member's row. Heartbeat grows with each write.
type record struct {
	Peer      bus.Peer `json:"peer"`
	Heartbeat int64    `json:"beat"`
}

// entry is the cached state of another member.
type entry struct {
	peer           bus.Peer
	rowVersion     int64 // 0 if it has no row
	heartbeatCount int64
	// heartbeatSeenAt is when heartbeatCount was last seen to change, by this
	// process's clock. Without a row, it is when the member last connected.
	heartbeatSeenAt time.Time
	// suspectUntil is when the member is listed as live again after it could
	// not be reached.
	suspectUntil time.Time
}

// Flags returns the names of the states that apply, or "live" if none does.
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
