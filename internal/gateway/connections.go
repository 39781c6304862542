package gateway

import (
	"math"
	"time"

	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/connlimit"
)

// Shares of the platform's limits for connections to the router's listeners. The descriptors that
// are left, 0.44 of them, are for endpoints, authenticated peers and the store.
const (
	// connMemoryShare is the share of the memory limit for connections of callers, at
	// connlimit.ConnBytes each. Most of it is for buffers of the kernel, outside of the Go heap.
	connMemoryShare = 0.35
	// largeSendShare is the share of the memory limit for large send buffers of callers.
	largeSendShare = 0.1
	callerFDShare  = 0.4
	// peerFDShare is for connections of peers that are not authenticated yet: all routers of the
	// largest fleet, 380, may connect at once on a VM with 4,100 descriptors.
	peerFDShare = 0.1
	// probeFDShare is for each of the listeners of readiness and metrics, with a bound of
	// maxProbeConns.
	probeFDShare  = 0.03
	maxProbeConns = 64
)

// Times in which a connection is not closed for the number of connections, so that its first bytes
// can be read. Processors of VMs run a tenth of the time, in periods of 100 ms.
const (
	callerGrace = 250 * time.Millisecond
	probeGrace  = 100 * time.Millisecond
)

// connectionGroups are the connections to the listeners of a router.
type connectionGroups struct{ callers, ready, metrics, peers *connlimit.Group }

func (g *Gateway) newConnectionGroups(ps PlatformSettings, budget *bytebudget.Budget) connectionGroups {
	group := func(name string, b connlimit.Bounds) *connlimit.Group {
		return connlimit.NewGroup(name, b, budget, g.componentLog("connections"), g.metrics)
	}
	callers, probes, peers := connectionBounds(ps)
	return connectionGroups{callers: group("callers", callers), ready: group("ready", probes), metrics: group("metrics", probes), peers: group("peers", peers)}
}

// connectionBounds returns the bounds that follow from the platform's limits, of which those that
// are 0 are unknown.
func connectionBounds(ps PlatformSettings) (callers, probes, peers connlimit.Bounds) {
	memory, fds := float64(ps.MemoryBytes), float64(ps.MaxFDs)
	callers = connlimit.Bounds{Conns: int(connMemoryShare * memory / connlimit.ConnBytes), LargeSends: int(largeSendShare * memory / connlimit.LargeSendBytes), Grace: callerGrace}
	probes = connlimit.Bounds{Conns: maxProbeConns, Grace: probeGrace}
	peers = connlimit.Bounds{Grace: callerGrace}
	if memory == 0 {
		callers.LargeSends = math.MaxInt
	}
	if fds == 0 {
		return callers, probes, peers
	}
	if n := max(int(callerFDShare*fds), 1); callers.Conns == 0 || n < callers.Conns {
		callers.Conns = n
	}
	probes.Conns = min(max(int(probeFDShare*fds), 1), maxProbeConns)
	peers.Conns = max(int(peerFDShare*fds), 1)
	return callers, probes, peers
}

// sweep is called about once a second.
func (c connectionGroups) sweep() {
	for _, group := range []*connlimit.Group{c.callers, c.ready, c.metrics, c.peers} {
		group.Sweep()
	}
}
