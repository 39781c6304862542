package members

import "time"

// unlistedGrace is how long a member that a restored store does not list is kept. In
// this time routers write their rows again.
const unlistedGrace = 5 * time.Second

// removeMissing removes the members without a row. If the store was restored, it keeps
// them for unlistedGrace: they may have started after the copy was made.
func (d *Directory) removeMissing(present map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for vm, m := range d.members {
		switch {
		case present[rowPrefix+vm]:
		case d.restored:
			m.keptUntil = now.Add(unlistedGrace)
			d.log.Info("router is not listed by the restored store, kept for a while", "vm", vm, "incarnation", m.ID.Incarnation)
		case m.keptUntil.IsZero():
			delete(d.members, vm)
		}
	}
	d.available = nil
}

// dropUnlisted drops the members that have not written their rows again in time.
func (d *Directory) dropUnlisted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for vm, m := range d.members {
		if !m.keptUntil.IsZero() && !now.Before(m.keptUntil) {
			delete(d.members, vm)
			d.available = nil
			d.log.Info("router that the restored store does not list is dropped", "vm", vm, "incarnation", m.ID.Incarnation)
		}
	}
}
