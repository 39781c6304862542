package gateway

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// Waits and intervals of the watched tables.
const (
	// minConfigFeedWait and maxConfigFeedWait bound the time that one call for
	// changes of the configuration waits for a change. It is half of the time in
	// which a configuration must be applied, so that a connection on which the store
	// no longer responds is noticed before.
	minConfigFeedWait = time.Second
	maxConfigFeedWait = 3 * time.Second
	// minEndpointReadInterval and maxEndpointReadInterval bound the time between two
	// reads of the endpoint table, which is a quarter of the time in which a leaving
	// endpoint must get no more requests. The rows change with every heartbeat, so a
	// call that waits for a change would return at once.
	minEndpointReadInterval = 500 * time.Millisecond
	maxEndpointReadInterval = time.Second
	// startupInterval is the time between two reads while there is no
	// configuration yet.
	startupInterval = 50 * time.Millisecond
)

// configFeedWait returns how long one call for changes of the configuration waits. The
// feed also has the evacuations.
func (ps *PlatformSettings) configFeedWait() time.Duration {
	within := ps.ConfigWithin
	if ps.EvacuateWithin > 0 {
		within = min(within, ps.EvacuateWithin)
	}
	return min(max(within/2, minConfigFeedWait), maxConfigFeedWait)
}

// endpointReadInterval returns the time between two reads of the endpoint table.
func (ps *PlatformSettings) endpointReadInterval() time.Duration {
	return min(max(ps.LeaveWithin/4, minEndpointReadInterval), maxEndpointReadInterval)
}

// newWatcher returns a watcher of a table of the platform's store, whose calls
// for changes wait for up to wait.
func (g *Gateway) newWatcher(table string, wait time.Duration) *rowstore.Watcher {
	return &rowstore.Watcher{Store: g.platform.Store, Table: table, Wait: wait, Clock: g.clock, Log: g.log}
}

// watchConfig applies the newest configuration and the evacuations until ctx ends. The
// router is ready only after a configuration, so the evacuations of a snapshot go first.
func (g *Gateway) watchConfig(ctx context.Context) {
	apply := func(rows []rowstore.Row, complete bool) {
		g.updateEvacuations(rows, complete)
		for _, row := range rows {
			if row.Key.Name == g.platform.ConfigName && !row.Removed {
				g.applyConfig(row)
			}
		}
	}
	watcher := g.newWatcher(g.platform.ConfigTable, g.platformSettings.Load().configFeedWait())
	watcher.OnSnapshot = func(rows []rowstore.Row) { apply(rows, true) }
	watcher.OnChange = func(rows []rowstore.Row) { apply(rows, false) }
	for ctx.Err() == nil {
		watcher.Step(ctx)
		if g.tables.Load() == nil {
			_ = clock.Sleep(ctx, g.clock, startupInterval) // the loop condition checks ctx
		}
	}
}

// applyConfig applies the configuration in row. A configuration that can't be
// decoded, or that Apply refuses, is logged and ignored.
func (g *Gateway) applyConfig(row rowstore.Row) {
	table, err := g.platform.DecodeConfig(row.Value)
	if err != nil {
		g.log.Error("configuration cannot be decoded, the previous one stays applied", "row_version", row.Version, "err", err)
		return
	}
	old := g.ConfigRevision()
	if !g.tables.Apply(table) {
		g.log.Info("configuration ignored, it is not newer than the applied one", "config", table.Revision, "applied", old, "row_version", row.Version)
		return
	}
	if table.Revision == old {
		g.log.Warn("configuration has the revision of the applied one and other content", "config", table.Revision, "row_version", row.Version)
	}
	g.log.Info("configuration applied", "config", table.Revision, "row_version", row.Version, "routes", table.RouteCount())
	g.pace.SetActive(table.PoolsWithColdStart())
	g.prepaid.LimitsChanged()
	g.prepaid.SetWorkspaces(table.PrepaidWorkspaces())
}

// watchEndpoints keeps the endpoint registry in line with the endpoint table
// until ctx ends. An endpoint whose row can't be decoded is removed.
func (g *Gateway) watchEndpoints(ctx context.Context) {
	watcher := g.newWatcher(g.platform.EndpointTable, 0)
	watcher.OnDisconnect, watcher.OnRead = g.endpoints.MarkListUnreadable, g.endpoints.MarkListRead
	watcher.OnNewEra = func(int64, int64) { g.endpoints.MarkListRestored() }
	watcher.OnSnapshot = func(rows []rowstore.Row) {
		var list []endpoints.Endpoint
		for _, row := range rows {
			if e, ok := g.decodeEndpoint(row); ok {
				list = append(list, e)
			}
		}
		g.pace.Replace(list)
		g.endpoints.Replace(list)
	}
	watcher.OnChange = func(rows []rowstore.Row) {
		for _, row := range rows {
			if row.Removed {
				g.pace.Remove(row.Key.Name)
				g.endpoints.Remove(row.Key.Name, "entry removed")
				continue
			}
			if e, ok := g.decodeEndpoint(row); ok {
				g.pace.Set(e)
				g.endpoints.Set(e)
			} else {
				g.pace.Remove(row.Key.Name)
				g.endpoints.Remove(row.Key.Name, "entry unreadable")
			}
		}
	}
	for ctx.Err() == nil {
		watcher.Step(ctx)
		g.logUnknownDomains()
		_ = clock.Sleep(ctx, g.clock, g.platformSettings.Load().endpointReadInterval()) // the loop condition checks ctx
	}
}

// decodeEndpoint decodes the row of an endpoint. If the row can't be decoded, it logs
// that and returns false.
func (g *Gateway) decodeEndpoint(row rowstore.Row) (endpoints.Endpoint, bool) {
	e, err := g.platform.DecodeEndpoint(row.Key.Name, row.Value)
	if err != nil {
		g.log.Warn("endpoint row ignored, it cannot be decoded", "endpoint", row.Key.Name, "row_version", row.Version, "err", err.Error())
		return e, false
	}
	return e, true
}
