package prepaid

import (
	"math"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// orphanBound is how much of an orphaned grant its holder could use by its extensions, in the
// version of its row: the greatest number if the replicas do not respond. The time
// without a heartbeat is another bound.
type orphanBound struct{ version, usable int64 }

const (
	// orphanFenceAttempts and orphanFenceInterval bound the attempts to ask the replicas
	// of an orphaned grant. A process that has just started may not know them yet.
	orphanFenceAttempts = 3
	orphanFenceInterval = 150 * time.Millisecond
)

// orphansBoundedLocked reports whether the replicas of all orphaned grants were asked.
func (a *account) orphansBoundedLocked() bool {
	for _, row := range a.orphanedGrants {
		if bound, found := a.orphanBounds[row.Key.Name]; !found || bound.version != row.Version {
			return false
		}
	}
	return true
}

// boundOrphansLocked asks the replicas of the orphaned grants how much of them is usable.
func (a *account) boundOrphansLocked() {
	if a.boundingOrphans || a.orphansBoundedLocked() {
		return
	}
	pool := a.holder.lends.Load()
	var asked []rowstore.Row
	for _, row := range a.orphanedGrants {
		var grant grantRow
		if decode(row, &grant) == nil && pool != nil && len(grant.Replicas) > 0 {
			asked = append(asked, row)
			continue
		}
		a.orphanBounds[row.Key.Name] = orphanBound{row.Version, math.MaxInt64}
	}
	if len(asked) > 0 {
		a.boundingOrphans = a.holder.tasks.Go(func() { a.boundOrphans(pool, asked) })
	}
}

// boundOrphans asks the replicas of orphaned grants how much of them is usable.
func (a *account) boundOrphans(pool *Pool, rows []rowstore.Row) {
	bounds := make(map[string]orphanBound)
	for _, row := range rows {
		bounds[row.Key.Name] = orphanBound{row.Version, pool.usableOfOrphan(a.workspace, row)}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, bound := range bounds {
		a.orphanBounds[name] = bound
	}
	a.boundingOrphans = false
	a.boundOrphansLocked() // rows can have changed meanwhile
	a.startWriterLocked()
}

// usableOfOrphan returns how much of an orphaned grant was usable by its extensions, or the
// greatest number if its replicas do not respond.
func (p *Pool) usableOfOrphan(workspace string, row rowstore.Row) int64 {
	var grant grantRow
	holder, ok := holderOf(row)
	if err := decode(row, &grant); err != nil || !ok {
		return math.MaxInt64
	}
	for attempt := range orphanFenceAttempts {
		if attempt > 0 && clock.Sleep(p.holder.ctx, p.options.Clock, orphanFenceInterval) != nil {
			break
		}
		if extended, _, err := p.lost.fence(grantID{workspace, holder}, grant); err == nil {
			return extended
		}
	}
	return math.MaxInt64
}
