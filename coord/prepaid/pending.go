package prepaid

import (
	"math"
	"slices"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// pendingWrite is a write whose outcome is not known: it may be applied at any
// time while the rows have the versions that it expects. Reading them unchanged
// does not end it; only a version that moved on does.
type pendingWrite struct {
	granted, cleared int64
	own, total       int64
	// shared says that it expects the total's version, too.
	shared bool
}

// dead reports whether the write can no longer be applied.
func (p pendingWrite) dead(total, own rowstore.Row) bool {
	return own.Version != p.own || p.shared && total.Version != p.total
}

// settlePendingLocked forgets the writes that the rows show to be over.
func (a *account) settlePendingLocked() {
	a.pending = slices.DeleteFunc(a.pending, func(p pendingWrite) bool { return p.dead(a.total, a.own) })
}

// leastLocked is what is surely granted and cleared, whatever becomes of the
// pending writes.
func (a *account) leastLocked() (granted, cleared int64) {
	granted, cleared = math.MaxInt64, math.MaxInt64
	for _, p := range a.pending {
		granted, cleared = min(granted, p.granted), min(cleared, p.cleared)
	}
	return min(granted, a.granted), min(cleared, a.cleared)
}

// addPendingLocked notes a write before it is sent.
func (a *account) addPendingLocked(grant grantRow, shared bool) {
	a.pending = append(a.pending, pendingWrite{
		granted: grant.Granted, cleared: grant.Cleared, own: a.own.Version, total: a.total.Version, shared: shared,
	})
}

// refused takes back the write that was noted last, which the store did not do.
func (a *account) refused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.pending); n > 0 {
		a.pending = a.pending[:n-1]
	}
}
