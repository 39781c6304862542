package conf

import (
	"testing"

	"gotest.tools/v3/assert"
)

// startReplaced stops the third router as planned, so that its row is gone,
// and starts it anew, known to nobody.
func startReplaced(f *fleet, away bool) *router {
	f.t.Helper()
	assert.NilError(f.t, f.routers[2].members.Deregister(f.t.Context()))
	f.step()
	f.unknown = true
	f.restart(2, away)
	f.unknown = false
	for _, r := range f.routers[:2] {
		assert.NilError(f.t, r.members.Refresh(f.t.Context()))
	}
	return f.routers[2]
}

// TestViewFromBeforeTheRowIsNotTaken: the committer reads the members, then a
// router registers and hears from a peer that has not got the change yet, then
// that peer acknowledges it.
func TestViewFromBeforeTheRowIsNotTaken(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	late := startReplaced(f, false)
	committer, peer := f.routers[0], f.routers[1]
	f.clock.Advance(1)
	f.mustCommit(committer)
	f.clock.Advance(1)
	members, err := committer.required(t.Context())
	assert.NilError(t, err)
	f.clock.Advance(1)

	assert.NilError(t, late.members.Register(t.Context()))
	late.askView(t.Context(), peer.id, testSettings().ViewBound) // fails: the view is from before the row
	assert.Equal(t, late.Catalog().Revision, int64(1))
	assert.Assert(t, late.Keeper.view.confirmed.IsZero())

	committer.pushTo(t.Context(), members, 2, 0)
	committer.settle(members, 2)
	assert.Equal(t, ruleOurs.violations(f, 2), 0)
	revision, serves := late.serves()
	assert.Assert(t, serves && revision == 2)
}

// TestPeerAnswersForARouterWithoutARow: a router starts without the table,
// takes a peer's view and is then cut off from all.
func TestPeerAnswersForARouterWithoutARow(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	late := startReplaced(f, true)
	committer, peer := f.routers[0], f.routers[1]
	_, err := late.askView(t.Context(), peer.id, testSettings().ViewBound)
	assert.NilError(t, err)
	late.setCut(true)
	f.mustCommit(committer)
	committer.pushOnce(t.Context(), 0)
	revision, serves := late.serves()
	assert.Assert(t, serves && revision == 1, "the router is to serve what the peer gave it")
	result, _ := committer.accept.result(2)
	assert.Assert(t, !result.Accepted, "accepted without the router that a peer answers for")
	assert.Equal(t, ruleOurs.violations(f, 2), 0)
	assert.Assert(t, ruleNaive.violations(f, 2) > 0)

	late.setCut(false)
	committer.pushOnce(t.Context(), 0)
	result, _ = committer.accept.result(2)
	assert.Assert(t, result.Accepted, "%v", result)
}

// TestPeerRestartedInPlaceAnswersOn: the peer that gave its view crashes and
// starts anew on its VM, so that nobody remembers the router without a row.
func TestPeerRestartedInPlaceAnswersOn(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	late := startReplaced(f, true)
	_, err := late.askView(t.Context(), f.routers[1].id, testSettings().ViewBound)
	assert.NilError(t, err)
	late.setCut(true)
	f.restart(1, false)
	f.routers[1].loop()
	f.mustCommit(f.routers[0])
	f.routers[0].pushOnce(t.Context(), 0)
	_, serves := late.serves()
	assert.Assert(t, serves)
	assert.Equal(t, ruleOurs.violations(f, 2), 0)

	f.clock.Advance(f.routers[1].holdTime() + 1)
	f.routers[0].pushOnce(t.Context(), 0)
	assert.Equal(t, f.said(), int64(2))
	_, serves = late.serves()
	assert.Assert(t, !serves)
}
