package gateway

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

const (
	// uncounted is the number of routers assumed before the first count: more
	// than any fleet has.
	assumedRouters = 500
	// houseInterval is the pause between two looks at what is out of use.
	maintenanceInterval = time.Second
)

// countRouters returns the number of routers that share what the fleet shares.
// One that died still counts: shares are then smaller, which is safe.
func (g *Gateway) countRouters() int {
	if n := g.prepaid.Holders(); n > 0 {
		return n
	}
	return assumedRouters
}

// keepHouse drops what is out of use and looks whether the settings changed.
func (g *Gateway) runMaintenance(ctx context.Context) {
	for clock.Sleep(ctx, g.clock, maintenanceInterval) == nil {
		g.upstream.Prune()
		g.endpoints.Forget()
		g.balancer.Forget()
		g.Reload("interval")
	}
}

// Reload reads the settings again and applies what may change while the router
// runs.
func (g *Gateway) Reload(trigger string) {
	ps, err := g.platform.Reload()
	if err != nil {
		g.log.Error("settings are wrong, those before stay in force", "trigger", trigger, "err", err.Error())
		return
	}
	old := g.platformSettings.Load()
	if *old == ps {
		return
	}
	if old.CallerAddr != ps.CallerAddr || old.ReadyAddr != ps.ReadyAddr || old.MetricsAddr != ps.MetricsAddr || old.VM != ps.VM || old.Domain != ps.Domain {
		g.log.Warn("addresses and names of the settings take effect at the next start", "trigger", trigger)
	}
	g.platformSettings.Store(&ps)
	g.retries.SetSettings(ps.Retries)
	g.log.Info("settings reloaded", "trigger", trigger, "grace_ms", ps.Grace.Milliseconds(), "retry_ratio", ps.Retries.Ratio, "retry_allowance", ps.Retries.Allowance)
}
