package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Store is the part of the platform that membership uses.
type Store interface {
	platform.Table
	platform.VMs
}

// Directory is the state of the fleet as one member sees it, and keeps the row of
// this member. It is safe for concurrent use.
type Directory struct {
	settings Settings
	store    Store
	clock    clock.Clock
	events   event.Recorder

	// heartbeatMu serializes the heartbeats of this member. It is held over
	// calls of the store; only other heartbeats wait for it.
	heartbeatMu sync.Mutex

	mu                    sync.Mutex // guards all below; never held over a call of the store
	self                  bus.Peer
	deregistered          bool  // Deregister was called; there are no more heartbeats
	rowVersion            int64 // of this member's row, 0 while it has none
	heartbeatCount        int64
	lastHeartbeat         time.Time           // start of the last successful write of this member's row
	predecessorReplacedAt time.Time           // when another incarnation's row was overwritten, or zero
	rowPresentSince       time.Time           // end of the write since which the row has always existed
	lastListing           time.Time           // when another member's listing was last merged or found equal
	entries               map[string]*entry   // other members by VM
	vms                   map[string]*vmEntry // by VM
}

// NewDirectory returns an empty directory of the member self. Its row is written
// by Register or by Run.
func NewDirectory(s Settings, self bus.Peer, store Store, c clock.Clock, events event.Recorder) *Directory {
	return &Directory{
		settings: s, self: self, store: store, clock: c, events: events,
		entries: make(map[string]*entry), vms: make(map[string]*vmEntry),
	}
}

// SetAddrs sets the host:port at which this member listens for other members and
// the base URL of its operator API. It is called before Register.
func (d *Directory) SetAddrs(addr, operator string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Addr, d.self.Operator = addr, operator
}

// recordEvent records an event about another member.
func (d *Directory) recordEvent(kind event.Kind, id bus.ID) {
	d.events.Record(event.Event{Component: event.ComponentMember, Kind: kind, Peer: id.String()})
}

// Live lists the other members that are considered alive, in order of VM: those
// that are not suspected, silent or terminated.
func (d *Directory) Live() []bus.Peer {
	var peers []bus.Peer
	for _, s := range d.Members() {
		if !s.Suspected && !s.Silent && !s.Terminated {
			peers = append(peers, s.Peer)
		}
	}
	return peers
}

// Members lists all other members in the directory, in order of VM.
func (d *Directory) Members() []Status {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Status, 0, len(d.entries))
	for vm, e := range d.entries {
		all = append(all, Status{
			Peer:         e.peer,
			Suspected:    now.Before(e.suspectUntil),
			Silent:       now.Sub(e.heartbeatSeenAt) > d.settings.SilentAfter,
			Leaving:      d.leavingLocked(vm),
			Terminated:   d.terminatedLocked(vm, now),
			Unregistered: e.rowVersion == 0,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Peer.ID.VM, b.Peer.ID.VM) })
	return all
}

// Lookup returns the entry of a member, with the address at which it listens, or
// false if this incarnation is not in the directory.
func (d *Directory) Lookup(id bus.ID) (bus.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id.VM]
	if e == nil || e.peer.ID != id {
		return bus.Peer{}, false
	}
	return e.peer, true
}

// MarkReachable is called when a connection with a member is established. It ends
// a suspicion. A member without a row is added, and removed if it does not connect
// again within SilentAfter.
func (d *Directory) MarkReachable(p bus.Peer) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.ID.VM == d.self.ID.VM {
		return
	}
	e := d.entries[p.ID.VM]
	if e == nil || e.rowVersion == 0 && e.peer.ID != p.ID {
		d.entries[p.ID.VM] = &entry{peer: p, heartbeatSeenAt: now}
		d.recordEvent(event.MemberJoined, p.ID)
		return
	}
	if e.peer.ID == p.ID {
		e.suspectUntil = time.Time{}
		if e.rowVersion == 0 {
			e.heartbeatSeenAt = now
		}
	}
}

// Suspect is called when a member could not be reached. Its only effect is that
// Live leaves the member out for SuspectFor.
func (d *Directory) Suspect(id bus.ID) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id.VM]
	if e == nil || e.peer.ID != id {
		return
	}
	if !now.Before(e.suspectUntil) {
		d.recordEvent(event.MemberSuspected, id)
	}
	e.suspectUntil = now.Add(d.settings.SuspectFor)
}
