package fleetconfig

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

// TestPushTerminatesAmongMutualLessees guards against a push that is forwarded
// endlessly when every router holds a view lease of every other one, as after a
// start of the whole fleet during an outage of the store. The push is forwarded a
// bounded number of times and is still acknowledged.
func TestPushTerminatesAmongMutualLessees(t *testing.T) {
	f := newFleet(t, 4)
	revision := f.mustCommit(f.routers[0])
	ackCount := 0
	for _, r := range f.routers {
		for _, other := range f.routers {
			if other != r {
				r.viewLeases.grant(other.id, f.clock.Now())
			}
		}
	}
	entries, complete := f.routers[0].recentAfter(revision - 1)
	assert.Assert(t, complete)
	observer := f.network.Join(bus.Peer{ID: bus.ID{VM: "observer"}})
	resp, err := bus.Call[pushRequest, pushResponse](context.Background(), observer, f.routers[1].id, kindPush, pushRequest{Entries: entries})
	assert.NilError(t, err)
	for _, a := range resp.Acks {
		assert.Equal(t, a.Revision, revision, "%v", a.ID)
		ackCount++
	}
	assert.Equal(t, ackCount, 1)
	for _, r := range f.routers {
		assert.Equal(t, r.Catalog().Revision, revision)
	}
}
