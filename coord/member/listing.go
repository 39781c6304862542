package member

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
)

// refreshIntervalPerMember is the shortest time between two reads of all rows,
// per member. It bounds the rows that a member reads in a second, 5 on average,
// however large the fleet is.
const refreshIntervalPerMember = 200 * time.Millisecond

// Listing is the content of a directory. Members send it to each other, so that
// the receiver need not read the table.
type Listing struct {
	Members []ListedMember `cbor:"1,keyasint"`
	VMs     []ListedVM     `cbor:"2,keyasint,omitempty"`
}

// ListedMember is a member that has a row.
type ListedMember struct {
	Peer   bus.Peer `cbor:"1,keyasint"`
	Silent bool     `cbor:"2,keyasint,omitempty"`
}

// ListedVM is a VM that is leaving or terminated.
type ListedVM struct {
	ID         string `cbor:"1,keyasint"`
	Terminated bool   `cbor:"2,keyasint,omitempty"`
}

// Listing returns the members that have a row, this one included, and the VMs
// that are leaving or terminated. Both are sorted, so that equal content gives
// equal digests.
func (d *Directory) Listing() Listing {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var l Listing
	if d.rowVersion != 0 {
		l.Members = append(l.Members, ListedMember{Peer: d.self})
	}
	for _, e := range d.entries {
		if e.rowVersion != 0 {
			l.Members = append(l.Members, ListedMember{Peer: e.peer, Silent: now.Sub(e.heartbeatSeenAt) > d.settings.SilentAfter})
		}
	}
	for id := range d.vms {
		if d.leavingLocked(id) {
			l.VMs = append(l.VMs, ListedVM{ID: id, Terminated: d.terminatedLocked(id, now)})
		}
	}
	slices.SortFunc(l.Members, func(a, b ListedMember) int { return cmp.Compare(a.Peer.ID.VM, b.Peer.ID.VM) })
	slices.SortFunc(l.VMs, func(a, b ListedVM) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Digest returns a hash of the members' ids, addresses and silence, and of the
// VMs. Members compare digests to find out whether a listing must be transferred.
func (l Listing) Digest() uint64 {
	h := fnv.New64a()
	put := func(s string, flag bool) {
		var size [9]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		if flag {
			size[8] = 1
		}
		h.Write(size[:])
		h.Write([]byte(s))
	}
	for _, m := range l.Members {
		put(m.Peer.ID.VM, false)
		put(m.Peer.ID.Incarnation, false)
		put(m.Peer.Addr, m.Silent)
	}
	put("", false)
	for _, vm := range l.VMs {
		put(vm.ID, vm.Terminated)
	}
	return h.Sum64()
}

// MergeListing replaces the members and VMs by those of another member's listing,
// as if they had been read from the table. Members without a row are kept.
func (d *Directory) MergeListing(l Listing) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastListing = now
	listed := make(map[string]bool, len(l.Members))
	for _, m := range l.Members {
		listed[m.Peer.ID.VM] = true
		d.mergeListed(m, now)
	}
	for vm, e := range d.entries {
		if !listed[vm] && e.rowVersion != 0 {
			delete(d.entries, vm)
			d.recordEvent(event.MemberLeft, e.peer.ID)
		}
	}
	d.vms = make(map[string]*vmEntry, len(l.VMs))
	for _, vm := range l.VMs {
		d.vms[vm.ID] = &vmEntry{leaving: true}
		if vm.Terminated {
			d.vms[vm.ID].missingSince = now.Add(-d.settings.TerminatedAfter)
		}
	}
}

// mergeListed adds or updates one other member. The caller holds d.mu.
func (d *Directory) mergeListed(m ListedMember, now time.Time) {
	if m.Peer.ID.VM == d.self.ID.VM {
		return
	}
	e := d.entries[m.Peer.ID.VM]
	if e == nil || e.peer.ID != m.Peer.ID {
		e = &entry{}
		d.entries[m.Peer.ID.VM] = e
		d.recordEvent(event.MemberJoined, m.Peer.ID)
	}
	e.peer, e.rowVersion, e.heartbeatSeenAt = m.Peer, max(e.rowVersion, 1), now
	if m.Silent {
		e.heartbeatSeenAt = now.Add(-d.settings.SilentAfter - 1)
	}
}

// MarkListingCurrent is called when another member's listing has the same digest
// as this one. It has the effect of a merge of that listing.
func (d *Directory) MarkListingCurrent() {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastListing = now
	for _, e := range d.entries {
		if e.rowVersion != 0 && now.Sub(e.heartbeatSeenAt) <= d.settings.SilentAfter {
			e.heartbeatSeenAt = now
		}
	}
}

// nextRefresh returns the time between two reads of the table, and whether the
// read can be skipped because another member's listing was merged, or found
// equal, within RefreshInterval.
func (d *Directory) nextRefresh() (interval time.Duration, skip bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	interval = max(d.settings.RefreshInterval, time.Duration(len(d.entries))*refreshIntervalPerMember)
	return interval, !d.lastListing.IsZero() && now.Sub(d.lastListing) <= d.settings.RefreshInterval
}
