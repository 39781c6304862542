package gateway

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

const (
	// uncounted is the number of routers assumed before the first count: more
	// than any fleet has.
	uncounted = 500
	// houseInterval is the pause between two looks at what is out of use.
	houseInterval = time.Second
)

// countRouters returns the number of routers that share what the fleet shares.
// One that died still counts: shares are then smaller, which is safe.
func (g *Gateway) countRouters() int {
	if n := g.prepaid.HolderCount(); n > 0 {
		return n
	}
	return uncounted
}

// keepHouse drops what is out of use and looks whether the settings changed.
func (g *Gateway) keepHouse(ctx context.Context) {
	for clock.Sleep(ctx, g.clock, houseInterval) == nil {
		g.upstream.Prune()
		g.endpoints.Prune()
		g.balancer.Prune()
		g.Reload("interval")
	}
}

// Reload reads the settings again and applies what may change while the router
// runs.
func (g *Gateway) Reload(trigger string) {
	id, err := g.platform.Reload()
	if err != nil {
		g.log.Error("settings are wrong, those before stay in force", "trigger", trigger, "err", err.Error())
		return
	}
	old := g.identity.Load()
	if *old == id {
		return
	}
	if old.CallerAddr != id.CallerAddr || old.ReadyAddr != id.ReadyAddr || old.MetricsAddr != id.MetricsAddr || old.VM != id.VM || old.Domain != id.Domain {
		g.log.Warn("addresses and names of the settings take effect at the next start", "trigger", trigger)
	}
	g.identity.Store(&id)
	g.retries.SetSettings(id.Retries)
	g.log.Info("settings reloaded", "trigger", trigger, "grace_ms", id.Grace.Milliseconds(), "retry_ratio", id.Retries.Ratio, "retry_allowance", id.Retries.Allowance)
}
