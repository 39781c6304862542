package gateway

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// Times of following the store.
const (
	// configWait is the longest wait of one feed call of the configuration: a
	// connection that went silent is noticed well within the 2 s in which a
	// configuration must be in force.
	configWait = time.Second
	// endpointInterval is the pause between two looks at the endpoints: a
	// quarter of the 2 s in which a leaving one must get no more work. Entries
	// change all the time, so that a waiting feed would return at once.
	endpointInterval = 500 * time.Millisecond
	// startPause is the pause between looks for the first configuration.
	startPause = 50 * time.Millisecond
)

// follower returns a follower of a table of the platform's store.
func (g *Gateway) follower(table string, wait time.Duration) *rowstore.Watcher {
	return &rowstore.Watcher{Store: g.platform.Store, Table: table, Wait: wait, Clock: g.clock, Log: g.log}
}

func (g *Gateway) followConfig(ctx context.Context) {
	take := func(rows []rowstore.Row) {
		for _, row := range rows {
			if row.Key.Name == g.platform.ConfigName && !row.Removed {
				g.takeConfig(row)
			}
		}
	}
	f := g.follower(g.platform.ConfigTable, configWait)
	f.OnSnapshot, f.OnChange = take, take
	for ctx.Err() == nil {
		f.Step(ctx)
		if g.tables.Load() == nil {
			_ = clock.Sleep(ctx, g.clock, startPause) // the loop looks at ctx
		}
	}
}

// takeConfig puts a configuration in force.
func (g *Gateway) takeConfig(row rowstore.Row) {
	table, err := g.platform.DecodeConfig(row.Value)
	if err != nil {
		g.log.Error("configuration is unreadable, the one before stays in force", "row_version", row.Version, "err", err)
		return
	}
	if !g.tables.StoreIfNewer(table) {
		g.log.Info("older configuration ignored", "config", table.Revision, "row_version", row.Version)
		return
	}
	g.log.Info("configuration in force", "config", table.Revision, "row_version", row.Version, "routes", table.RouteCount())
	g.prepaid.LimitsChanged()
	g.prepaid.PrepareWorkspaces(table.PrepaidWorkspaces())
}

func (g *Gateway) followEndpoints(ctx context.Context) {
	f := g.follower(g.platform.EndpointTable, 0)
	f.OnDisconnect, f.OnRead = g.endpoints.MarkListUnreadable, g.endpoints.Read
	f.OnSnapshot = func(rows []rowstore.Row) {
		var list []endpoints.Endpoint
		for _, row := range rows {
			if e, ok := g.decodeEndpoint(row); ok {
				list = append(list, e)
			}
		}
		g.endpoints.Replace(list)
	}
	f.OnChange = func(rows []rowstore.Row) {
		for _, row := range rows {
			if row.Removed {
				g.endpoints.Remove(row.Key.Name, "entry removed")
				continue
			}
			if e, ok := g.decodeEndpoint(row); ok {
				g.endpoints.Set(e)
			} else {
				g.endpoints.Remove(row.Key.Name, "entry unreadable")
			}
		}
	}
	for ctx.Err() == nil {
		f.Step(ctx)
		_ = clock.Sleep(ctx, g.clock, endpointInterval) // the loop looks at ctx
	}
}

func (g *Gateway) decodeEndpoint(row rowstore.Row) (endpoints.Endpoint, bool) {
	e, err := g.platform.DecodeEndpoint(row.Key.Name, row.Value)
	if err != nil {
		g.log.Warn("entry of an endpoint is not used", "endpoint", row.Key.Name, "row_version", row.Version, "err", err.Error())
		return e, false
	}
	return e, true
}
