package fleetconfig

import (
	"testing"

	"gotest.tools/v3/assert"
)

// restartUnregistered stops the third router as planned, so that its member row is
// removed, and starts a new incarnation that has no row and that no other router
// knows.
func restartUnregistered(f *fleet, storeOutage bool) *router {
	f.t.Helper()
	assert.NilError(f.t, f.routers[2].members.Deregister(f.t.Context()))
	f.step()
	f.hideStarting = true
	f.restart(2, storeOutage)
	f.hideStarting = false
	for _, r := range f.routers[:2] {
		assert.NilError(f.t, r.members.Refresh(f.t.Context()))
	}
	return f.routers[2]
}

// TestViewOlderThanRegistrationIsRejected guards against a router that serves a
// revision under a view from before its registration. The committer reads the
// members, then a router registers and requests the view of a peer that has not
// received the change yet, then that peer acknowledges the change.
func TestViewOlderThanRegistrationIsRejected(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	restarted := restartUnregistered(f, false)
	committer, peer := f.routers[0], f.routers[1]
	f.clock.Advance(1)
	f.mustCommit(committer)
	f.clock.Advance(1)
	members, err := committer.requiredRouters(t.Context())
	assert.NilError(t, err)
	f.clock.Advance(1)

	assert.NilError(t, restarted.members.Register(t.Context()))
	restarted.confirmFromPeer(t.Context(), peer.id, testSettings().ViewBound) // fails: the view is older than the row
	assert.Equal(t, restarted.Catalog().Revision, int64(1))
	assert.Assert(t, restarted.Keeper.view.confirmedAt.IsZero())

	committer.pushLatest(t.Context(), members, 2, 0)
	committer.updateAcceptance(members, 2)
	assert.Equal(t, keeperRule.violations(f, 2), 0)
	revision, serves := restarted.serves()
	assert.Assert(t, serves && revision == 2)
}

// TestAcceptanceWaitsForUnregisteredLessee guards against acceptance of a change
// while a router without a member row can still serve the previous revision. That
// router starts while the table is unreachable, obtains a view lease from a peer
// and is then cut off from all routers.
func TestAcceptanceWaitsForUnregisteredLessee(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	unregistered := restartUnregistered(f, true)
	committer, peer := f.routers[0], f.routers[1]
	_, err := unregistered.confirmFromPeer(t.Context(), peer.id, testSettings().ViewBound)
	assert.NilError(t, err)
	unregistered.setPartitioned(true)
	f.mustCommit(committer)
	committer.pushOnce(t.Context(), 0)
	revision, serves := unregistered.serves()
	assert.Assert(t, serves && revision == 1, "the router should serve under the view lease")
	result, _ := committer.acceptance.status(2)
	assert.Assert(t, !result.Accepted, "accepted without waiting for the unregistered lessee")
	assert.Equal(t, keeperRule.violations(f, 2), 0)
	assert.Assert(t, naiveRule.violations(f, 2) > 0)

	unregistered.setPartitioned(false)
	committer.pushOnce(t.Context(), 0)
	result, _ = committer.acceptance.status(2)
	assert.Assert(t, result.Accepted, "%v", result)
}

// TestRestartedLessorWithholdsAck guards against acceptance of a change after a
// crash and restart of the lessor of an unregistered router on its VM: the new
// incarnation does not know the lease and must wait until it has expired.
func TestRestartedLessorWithholdsAck(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	unregistered := restartUnregistered(f, true)
	_, err := unregistered.confirmFromPeer(t.Context(), f.routers[1].id, testSettings().ViewBound)
	assert.NilError(t, err)
	unregistered.setPartitioned(true)
	f.restart(1, false)
	f.routers[1].runOnce()
	f.mustCommit(f.routers[0])
	f.routers[0].pushOnce(t.Context(), 0)
	_, serves := unregistered.serves()
	assert.Assert(t, serves)
	assert.Equal(t, keeperRule.violations(f, 2), 0)

	f.clock.Advance(f.routers[1].grantedLeaseDuration() + 1)
	f.routers[0].pushOnce(t.Context(), 0)
	assert.Equal(t, f.acceptedRevision(), int64(2))
	_, serves = unregistered.serves()
	assert.Assert(t, !serves)
}
