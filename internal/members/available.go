package members

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/prepaid"
)

// Synced reports whether all rows were read at least once.
func (d *Directory) Synced() bool { return d.synced.Load() }

// Count returns the number of routers with a row, this one included.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members) + 1
}

// Available implements prepaid.Fleet.
func (d *Directory) Available() ([]prepaid.Member, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.available == nil || !d.validUntil.IsZero() && !now.Before(d.validUntil) {
		d.computeAvailableLocked(now)
	}
	return d.available, d.version
}

// computeAvailableLocked sets the fields that Available returns.
func (d *Directory) computeAvailableLocked(now time.Time) {
	d.validUntil = time.Time{}
	available := make([]prepaid.Member, 0, len(d.members)+1)
	if !d.leaving.Load() {
		available = append(available, d.self.Member)
	}
	for _, m := range d.members {
		if now.Before(m.suspectedUntil) {
			if d.validUntil.IsZero() || m.suspectedUntil.Before(d.validUntil) {
				d.validUntil = m.suspectedUntil
			}
			continue
		}
		available = append(available, m.Member)
	}
	slices.SortFunc(available, func(a, b prepaid.Member) int { return cmp.Compare(a.ID.VM, b.ID.VM) })
	digest := fnv.New64a()
	for _, m := range available {
		fmt.Fprintf(digest, "%s\n", m.ID)
	}
	d.available, d.version = available, int64(digest.Sum64())
}

// Live implements peer.Directory.
func (d *Directory) Live() []bus.Peer {
	available, _ := d.Available()
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []bus.Peer
	for _, m := range available {
		if other := d.members[m.ID.VM]; other != nil && m.ID != d.self.ID {
			live = append(live, other.peer())
		}
	}
	return live
}

// peer returns the member as the peer link addresses it.
func (m *member) peer() bus.Peer { return bus.Peer{ID: m.ID, Domain: m.Domain, Addr: m.addr} }

// Lookup implements peer.Directory.
func (d *Directory) Lookup(id bus.ID) (bus.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[id.VM]
	if m == nil || m.ID != id {
		return bus.Peer{}, false
	}
	return m.peer(), true
}

// MarkReachable implements peer.Directory.
func (d *Directory) MarkReachable(p bus.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.members[p.ID.VM]; m != nil && m.ID == p.ID && m.suspicions > 0 {
		m.suspicions, m.suspectedUntil = 0, time.Time{}
		d.available = nil
	}
}

// Suspect implements prepaid.Fleet and peer.Directory: the member is not used for a
// while.
func (d *Directory) Suspect(id bus.ID) {
	if d.doubtful != nil && d.doubtful() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m, now := d.members[id.VM], d.clock.Now()
	if m == nil || m.ID != id || now.Before(m.suspectedUntil) {
		return
	}
	if now.Sub(m.suspectedUntil) > suspicionMemory {
		m.suspicions = 0
	}
	duration := min(minSuspicion<<min(m.suspicions, maxSuspicionDoublings), maxSuspicion)
	m.suspicions++
	m.suspectedUntil = now.Add(duration)
	d.available = nil
	d.log.Info("router does not respond", "vm", id.VM, "incarnation", id.Incarnation, "for_ms", duration.Milliseconds(), "streak", m.suspicions)
}

// maxSuspicionDoublings bounds how often the duration of a suspicion is doubled, so
// that its computation does not overflow.
const maxSuspicionDoublings = 8
