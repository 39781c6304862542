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

// refreshPerMember stretches the time between two reads of all rows, so that
// the rows read in a second stay bounded as the fleet grows.
const refreshIntervalPerMember = 200 * time.Millisecond

// Listing is a directory's content, as one member hands it to another that
// then need not read the table.
type Listing struct {
	Members []ListedMember `cbor:"1,keyasint"`
	VMs     []ListedVM     `cbor:"2,keyasint,omitempty"`
}

// Listed is a member with a row.
type ListedMember struct {
	Peer   bus.Peer `cbor:"1,keyasint"`
	Silent bool     `cbor:"2,keyasint,omitempty"`
}

// ListedVM is a VM that is leaving or gone.
type ListedVM struct {
	ID         string `cbor:"1,keyasint"`
	Terminated bool   `cbor:"2,keyasint,omitempty"`
}

// Listing returns the members with a row, this one included, and the VMs that
// are leaving or gone.
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

// Digest is equal for equal listings.
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

// Merge takes over another member's listing, as if it had been read from the
// table.
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

// NoteCurrent notes that another member's listing has the digest of the own.
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

// refreshPause returns the time until the table is read again, and whether a
// read can be left out since another member's listing is fresh.
func (d *Directory) nextRefresh() (interval time.Duration, skip bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	interval = max(d.settings.RefreshInterval, time.Duration(len(d.entries))*refreshIntervalPerMember)
	return interval, !d.lastListing.IsZero() && now.Sub(d.lastListing) <= d.settings.RefreshInterval
}
