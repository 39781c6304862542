package fleetconfig

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

// TestRelayCountAndLoadAreBounded guards against too many relays, which all read the
// table, and against relays that are the first choice of too many routers. It checks
// all fleet sizes up to 60.
func TestRelayCountAndLoadAreBounded(t *testing.T) {
	for n := 1; n <= 60; n++ {
		var peers []bus.Peer
		for i := range n {
			peers = append(peers, bus.Peer{ID: bus.ID{VM: fmt.Sprint(i)}, Domain: "a"})
		}
		ids := relayOrder(append(peers, bus.Peer{ID: bus.ID{VM: "x"}, Domain: "b"}), "a")
		assert.Equal(t, len(ids), n)
		routersOf, relayCount := make(map[bus.ID]int), 0
		for position, id := range ids {
			relays := relaysFor(ids, position)
			for i, r := range relays {
				assert.Assert(t, r != id && i < 2)
			}
			if len(relays) == 0 {
				relayCount++
			} else {
				routersOf[relays[0]]++
			}
		}
		assert.Assert(t, relayCount <= n/maxRoutersPerRelay+1, "%d of %d routers are relays", relayCount, n)
		for id, count := range routersOf {
			assert.Assert(t, count <= maxRoutersPerRelay+1, "%d routers prefer relay %s in a fleet of %d", count, id, n)
		}
	}
}
