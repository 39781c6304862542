package gateway

import (
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// coldStart returns how long an endpoint of a pool is cold after its start in the applied
// configuration, or 0 if endpoints of the pool have no limit while they are cold.
func (g *Gateway) coldStart(pool string) time.Duration {
	table := g.tables.Load()
	if table == nil {
		return 0
	}
	p := table.Pools[pool]
	if p.ColdStart <= 0 || p.ColdPerSecond <= 0 {
		return 0
	}
	return p.ColdStart
}

// coldRate implements endpointlimit.ColdOptions.Rate.
func (g *Gateway) coldRate(endpoint string) (perSecond float64, cold, known bool) {
	pool, found := g.endpoints.PoolOf(endpoint)
	if !found || g.coldStart(pool) == 0 {
		return 0, false, false
	}
	bounds := g.platformSettings.Load().Cold
	_, cold = g.endpoints.Cold(endpoints.Endpoint{ID: endpoint, Pool: pool})
	return endpointlimit.ColdRate(g.tables.Load().Pools[pool].ColdPerSecond, bounds.Overshoot, bounds.Slack), cold, true
}

// coldGovernorOf implements endpointlimit.ColdOptions.Governor. It chooses among the routers
// in the list of the store, whether they respond or not. Before the list was read, a router
// would choose itself, so there is none. A router that stops has left the list, of which
// it does not read that itself.
func (g *Gateway) coldGovernorOf(endpoint string) (bus.ID, bool) {
	if !g.members.Synced() {
		return bus.ID{}, false
	}
	listed := g.members.Listed()
	if g.draining.Load() && len(listed) > 1 {
		listed = slices.DeleteFunc(listed, func(id bus.ID) bool { return id == g.members.Self() })
	}
	return chosenFor(endpoint, listed), true
}

// ColdBounds bound the requests to a cold endpoint in any second: as many as the endpoint
// tolerates times Overshoot, and Slack more.
type ColdBounds struct{ Overshoot, Slack float64 }

// NewColdBounds returns the bounds that the platform states. Without them, an endpoint gets
// no more than it tolerates.
func NewColdBounds(overshoot, slack float64) ColdBounds {
	if !(overshoot > 0) {
		overshoot = 1
	}
	return ColdBounds{Overshoot: overshoot, Slack: max(slack, 0)}
}
