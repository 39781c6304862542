package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// follower reads a table of the store and then its changes.
type follower struct {
	gateway *Gateway
	table   string
	wait    time.Duration
	// whole takes over the rows of the whole table, changed those that changed.
	whole   func(rows []rowstore.Row)
	changed func(rows []rowstore.Row)
	// lost and read note whether the table can be read.
	lost func()
	read func()

	since int64
	pause time.Duration
	away  time.Time // since when calls fail; zero while they succeed
}

// step makes one call.
func (f *follower) step(ctx context.Context) {
	var snap rowstore.Snapshot
	var err error
	first := f.since == 0
	if first {
		snap, err = f.gateway.platform.Store.Read(ctx, f.table, "")
	} else {
		snap, err = f.gateway.platform.Store.Changes(ctx, f.table, f.since, f.wait)
	}
	switch {
	case errors.Is(err, rowstore.ErrCompacted):
		f.gateway.log.Info("history of the store is gone, table is read anew", "table", f.table, "since", f.since)
		f.since = 0
		return
	case err != nil:
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	if first {
		f.whole(snap.Rows)
	} else {
		f.changed(snap.Rows)
	}
	f.since = max(f.since, snap.Version)
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.away.IsZero() {
		f.away = time.Now()
		f.gateway.log.Warn("store lost", "table", f.table, "version", f.since, "err", err.Error())
		f.lost()
	}
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	// An end of the pause is no news; the loop looks at ctx.
	_ = clock.Sleep(ctx, f.gateway.clock, f.pause/2+rand.N(f.pause/2))
}

func (f *follower) succeeded() {
	if !f.away.IsZero() {
		f.gateway.log.Info("store regained", "table", f.table, "away_ms", time.Since(f.away).Milliseconds(), "version", f.since)
		f.away, f.pause = time.Time{}, 0
	}
	f.read()
}

func (g *Gateway) followConfig(ctx context.Context) {
	take := func(rows []rowstore.Row) {
		for _, row := range rows {
			if row.Key.Name == g.platform.ConfigName && !row.Removed {
				g.takeConfig(row)
			}
		}
	}
	nothing := func() {}
	f := &follower{gateway: g, table: g.platform.ConfigTable, wait: configWait, whole: take, changed: take, lost: nothing, read: nothing}
	for ctx.Err() == nil {
		f.step(ctx)
		if g.tables.Load() == nil {
			_ = clock.Sleep(ctx, g.clock, firstPause) // the loop looks at ctx
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
	if !g.tables.Offer(table) {
		g.log.Info("older configuration ignored", "config", table.Revision, "row_version", row.Version)
		return
	}
	g.log.Info("configuration in force", "config", table.Revision, "row_version", row.Version, "routes", table.Routes())
	g.prepaid.LimitsChanged()
}

func (g *Gateway) followEndpoints(ctx context.Context) {
	f := &follower{gateway: g, table: g.platform.EndpointTable, lost: g.endpoints.Lost, read: g.endpoints.Read}
	f.whole = func(rows []rowstore.Row) {
		var list []endpoints.Endpoint
		for _, row := range rows {
			if e, ok := g.decodeEndpoint(row); ok {
				list = append(list, e)
			}
		}
		g.endpoints.Replace(list)
	}
	f.changed = func(rows []rowstore.Row) {
		for _, row := range rows {
			if row.Removed {
				g.endpoints.Drop(row.Key.Name, "entry removed")
				continue
			}
			if e, ok := g.decodeEndpoint(row); ok {
				g.endpoints.Set(e)
			} else {
				g.endpoints.Drop(row.Key.Name, "entry unreadable")
			}
		}
	}
	for ctx.Err() == nil {
		f.step(ctx)
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
