package prepaid

import (
	"slices"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// pendingWrite is a write whose outcome is unknown: it may be applied at any time
// while the rows have the versions that it expects. Reading those rows unchanged
// does not rule it out; only a newer version does.
type pendingWrite struct {
	guarantee
	grantVersion, totalVersion int64
	// expectsTotal is set if the write also expects totalVersion, not only
	// grantVersion.
	expectsTotal bool
}

// superseded reports whether the write can no longer be applied because a row that
// it expects has changed.
func (p pendingWrite) superseded(storedTotal, storedGrant rowstore.Row) bool {
	return storedGrant.Version != p.grantVersion || p.expectsTotal && storedTotal.Version != p.totalVersion
}

// dropSupersededLocked removes the pending writes that the rows show to be
// superseded.
func (a *account) dropSupersededLocked() {
	a.pendingWrites = slices.DeleteFunc(a.pendingWrites, func(p pendingWrite) bool { return p.superseded(a.storedTotal, a.storedGrant) })
}

// guarantee is what a grant allows whatever the outcome of the pending writes.
type guarantee struct {
	granted, activated int64
	unlockRate         float64
	// seq is the number of the row, and replicas are those that it names; they are not
	// set if the guarantee is that of several rows.
	seq      int64
	replicas []bus.ID
}

// guaranteeOf returns the guarantee of a row.
func guaranteeOf(grant grantRow) guarantee {
	return guarantee{granted: grant.Granted, activated: grant.Activated, unlockRate: grant.UnlockRate, seq: grant.Seq, replicas: grant.Replicas}
}

// storedGuaranteeLocked returns the guarantee of the stored row as last known.
func (a *account) storedGuaranteeLocked() guarantee {
	return guarantee{granted: a.granted, activated: a.activated, unlockRate: a.unlockRate, seq: a.rowSeq, replicas: a.rowReplicas}
}

// guaranteedLocked returns the least of the stored grant and the pending writes.
func (a *account) guaranteedLocked() guarantee {
	g := guarantee{granted: a.granted, activated: a.activated, unlockRate: a.unlockRate}
	for _, p := range a.pendingWrites {
		g.granted, g.activated, g.unlockRate = min(g.granted, p.granted), min(g.activated, p.activated), min(g.unlockRate, p.unlockRate)
	}
	return g
}

// possiblyGrantedLocked returns the most that the grant can be, whatever the outcome of the
// pending writes.
func (a *account) possiblyGrantedLocked() int64 {
	most := a.granted
	for _, p := range a.pendingWrites {
		most = max(most, p.granted)
	}
	return most
}

// addPendingWriteLocked records a write before it is sent.
func (a *account) addPendingWriteLocked(grant grantRow, expectsTotal bool) {
	a.pendingWrites = append(a.pendingWrites, pendingWrite{
		guarantee:    guaranteeOf(grant),
		grantVersion: a.storedGrant.Version, totalVersion: a.storedTotal.Version, expectsTotal: expectsTotal,
	})
}

// dropLastPendingWrite removes the write that was recorded last, after the store
// has reported that it was not applied.
func (a *account) dropLastPendingWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.pendingWrites); n > 0 {
		a.pendingWrites = a.pendingWrites[:n-1]
	}
}
