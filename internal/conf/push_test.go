package conf

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

// TestPushEndsAmongMutualDependents lets every router have given its view to
// every other one, as after a start of the whole fleet in an outage. A push is
// passed on a bounded number of times, and each router still acknowledges.
func TestPushEndsAmongMutualDependents(t *testing.T) {
	f := newFleet(t, 4)
	revision := f.mustCommit(f.routers[0])
	pushes := 0
	for _, r := range f.routers {
		for _, other := range f.routers {
			if other != r {
				r.offers.note(other.id, f.clock.Now())
			}
		}
	}
	entries, whole := f.routers[0].recentAfter(revision - 1)
	assert.Assert(t, whole)
	observer := f.network.Join(bus.Peer{ID: bus.ID{VM: "observer"}})
	answer, err := bus.Call[pushRequest, pushAnswer](context.Background(), observer, f.routers[1].id, kindPush, pushRequest{Entries: entries})
	assert.NilError(t, err)
	for _, a := range answer.Acks {
		assert.Equal(t, a.Revision, revision, "%v", a.ID)
		pushes++
	}
	assert.Equal(t, pushes, 1)
	for _, r := range f.routers {
		assert.Equal(t, r.Catalog().Revision, revision)
	}
}
