package gateway

import (
	"daisyslip.dev/daisyslip/internal/gossip"
	"daisyslip.dev/daisyslip/internal/routerload"
)

// bytesPerMegabit converts Mbit to bytes.
const bytesPerMegabit = 1e6 / 8

// payloadShare is the share of a link that carries the bytes of callers and endpoints. The rest is
// for packet headers, handshakes, the store and other routers, which are not counted. Routers at a
// counted use of 0.64 to 0.8 had 220 to 364 requests in flight.
const payloadShare = 0.75

// newLoad creates the monitor of this router's load and subscribes to what it needs.
func (g *Gateway) newLoad(ps PlatformSettings) {
	var capacity routerload.Capacity
	if ps.LinkMbps > 0 && ps.CPUShare > 0 {
		capacity = routerload.Capacity{LinkBytes: payloadShare * ps.LinkMbps * bytesPerMegabit, Cores: ps.Cores, MemoryBytes: float64(ps.MemoryBytes), FileDescriptors: float64(ps.MaxFDs)}
	}
	log := g.componentLog("load")
	g.load = routerload.New(routerload.Options{
		Settings: g.settings.RouterLoad, Capacity: capacity, Self: g.members.Self(), Domain: ps.Domain,
		Fleet: func() routerload.Fleet {
			return routerload.Fleet{Listed: g.members.Listed(), DomainSize: g.members.DomainSize()}
		},
		Serving: g.serving,
		Publish: func(n routerload.Notice) { g.gossip.Publish(topicLoad, "", gossip.Encode(n)) },
		Clock:   g.clock, Log: log, Metrics: g.metrics,
	})
	g.members.IgnoreSuspicions(g.load.Doubtful)
	subscribeFor(g.gossip, topicLoad, routerload.NoticeRetention, log, func(o gossip.Observation, n routerload.Notice) {
		g.load.Receive(o.Origin, n, o.At)
	})
}
