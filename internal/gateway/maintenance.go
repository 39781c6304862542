package gateway

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

const (
	// assumedRouters is the number of routers that is assumed before the first
	// count. It is more than any fleet has, so that no router takes more than its
	// share.
	assumedRouters = 500
	// maintenanceInterval is the time between two rounds of runMaintenance.
	maintenanceInterval = time.Second
)

// countRouters returns the number of routers among which the retry budget is
// divided. A router that has died still counts: shares are then too small, which
// is safe.
func (g *Gateway) countRouters() int {
	if g.members.Synced() {
		return g.members.Count()
	}
	return assumedRouters
}

// runMaintenance closes unused connections, drops the state of endpoints that are no
// longer used, and applies changes of the platform's settings. It repeats this every
// maintenanceInterval until ctx ends.
func (g *Gateway) runMaintenance(ctx context.Context) {
	for clock.Sleep(ctx, g.clock, maintenanceInterval) == nil {
		g.upstream.Prune()
		g.endpoints.Prune()
		g.balancer.Prune()
		g.pace.Prune()
		g.limits.Prune()
		g.connections.sweep()
		g.Reload("interval")
	}
}

// Reload reads the platform's settings again and applies those that can change
// while the router runs, which are the grace period and the retry budget. If they
// can't be read or are invalid, the previous ones stay applied. The trigger is only
// logged.
func (g *Gateway) Reload(trigger string) {
	ps, err := g.platform.Reload()
	if err != nil {
		g.log.Error("settings cannot be reloaded, the previous ones stay applied", "trigger", trigger, "err", err.Error())
		return
	}
	old := g.platformSettings.Load()
	if *old == ps {
		return
	}
	if old.CallerAddr != ps.CallerAddr || old.ReadyAddr != ps.ReadyAddr || old.MetricsAddr != ps.MetricsAddr || old.VM != ps.VM || old.Domain != ps.Domain {
		g.log.Warn("changed addresses and names take effect at the next start", "trigger", trigger)
	}
	g.platformSettings.Store(&ps)
	g.retries.SetSettings(ps.Retries)
	g.log.Info("settings reloaded", "trigger", trigger, "grace_ms", ps.Grace.Milliseconds(), "retry_ratio", ps.Retries.Ratio, "retry_allowance", ps.Retries.Allowance)
}
