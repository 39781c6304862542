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
	granted, activated         int64
	grantVersion, totalVersion int64
	// shared says that it expects the total's version, too.
	expectsTotal bool
}

// dead reports whether the write can no longer be applied.
func (p pendingWrite) superseded(total, grant rowstore.Row) bool {
	return grant.Version != p.grantVersion || p.expectsTotal && total.Version != p.totalVersion
}

// settlePendingLocked forgets the writes that the rows show to be over.
func (a *account) dropSupersededLocked() {
	a.pendingWrites = slices.DeleteFunc(a.pendingWrites, func(p pendingWrite) bool { return p.superseded(a.storedTotal, a.storedGrant) })
}

// leastLocked is what is surely granted and cleared, whatever becomes of the
// pending writes.
func (a *account) guaranteedLocked() (granted, activated int64) {
	granted, activated = math.MaxInt64, math.MaxInt64
	for _, p := range a.pendingWrites {
		granted, activated = min(granted, p.granted), min(activated, p.activated)
	}
	return min(granted, a.granted), min(activated, a.activated)
}

// addPendingLocked notes a write before it is sent.
func (a *account) addPendingWriteLocked(grant grantRow, expectsTotal bool) {
	a.pendingWrites = append(a.pendingWrites, pendingWrite{
		granted: grant.Granted, activated: grant.Activated, grantVersion: a.storedGrant.Version, totalVersion: a.storedTotal.Version, expectsTotal: expectsTotal,
	})
}

// refused takes back the write that was noted last, which the store did not do.
func (a *account) dropLastPendingWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.pendingWrites); n > 0 {
		a.pendingWrites = a.pendingWrites[:n-1]
	}
}
