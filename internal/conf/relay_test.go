package conf

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

func TestRelaysAreFewAndShared(t *testing.T) {
	for n := 1; n <= 60; n++ {
		var peers []bus.Peer
		for i := range n {
			peers = append(peers, bus.Peer{ID: bus.ID{VM: fmt.Sprint(i)}, Domain: "a"})
		}
		ids := ranked(append(peers, bus.Peer{ID: bus.ID{VM: "x"}, Domain: "b"}), "a")
		assert.Equal(t, len(ids), n)
		followers, without := make(map[bus.ID]int), 0
		for place, id := range ids {
			relays := relaysOf(ids, place)
			for i, r := range relays {
				assert.Assert(t, r != id && i < 2)
			}
			if len(relays) == 0 {
				without++
			} else {
				followers[relays[0]]++
			}
		}
		assert.Assert(t, without <= n/maxFollowers+1, "%d of %d read the table", without, n)
		for id, count := range followers {
			assert.Assert(t, count <= maxFollowers+1, "%d follow %s of %d", count, id, n)
		}
	}
}
