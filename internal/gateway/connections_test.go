package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/connlimit"
)

// TestConnectionBoundsFitTheMachine guards against bounds that ordinary clients meet, several hundred connections to
// one router, and against bounds whose sum exceeds the memory or takes the descriptors of endpoints.
func TestConnectionBoundsFitTheMachine(t *testing.T) {
	const smallest, baseMB = 144, 24
	for _, mb := range []int64{smallest, 284, 536} {
		ps := PlatformSettings{MemoryBytes: mb << 20, MaxFDs: 4100}
		callers, probes, peers := connectionBounds(ps)
		assert.Assert(t, callers.Conns >= 500, "%d connections with %d MB", callers.Conns, mb)
		assert.Assert(t, peers.Conns >= 380)
		fds := callers.Conns + 2*probes.Conns + peers.Conns
		assert.Assert(t, fds <= 6*4100/10, "%d descriptors", fds)
		bytes := int64(callers.Conns)*connlimit.ConnBytes + int64(callers.LargeSends)*connlimit.LargeSendBytes + int64(keptBytesShare*float64(ps.MemoryBytes))
		assert.Assert(t, bytes+baseMB<<20 <= ps.MemoryBytes, "%d MB with %d MB", bytes>>20, mb)
	}
	callers, _, peers := connectionBounds(PlatformSettings{})
	assert.Equal(t, callers.Conns, 0)
	assert.Equal(t, peers.Conns, 0)
}
