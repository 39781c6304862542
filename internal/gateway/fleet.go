package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// routerTable has a row for each VM that runs or ran a router. A router that
// died leaves its row: routers then take smaller shares of what they share,
// which is safe.
const routerTable = "routers"

// routerRow is the row of a VM.
type routerRow struct {
	Incarnation string `json:"incarnation"`
}

const (
	// countInterval is the pause between two counts of the routers.
	countInterval = 5 * time.Second
	// uncounted is the number of routers assumed before the first count: more
	// than any fleet has.
	uncounted = 500
	// houseInterval is the pause between two looks at what is out of use.
	houseInterval = time.Second
	// fleetCallTimeout bounds one call.
	fleetCallTimeout = time.Second
)

func (g *Gateway) countRouters() int {
	if n := g.routers.Load(); n > 0 {
		return int(n)
	}
	return uncounted
}

func (g *Gateway) routerKey() rowstore.Key {
	return rowstore.Key{Table: routerTable, Name: g.identity.Load().VM}
}

// announce writes the own row and counts the others.
func (g *Gateway) announce(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		if !written {
			written = g.writeRouter(ctx) == nil
		}
		g.count(ctx)
		pause := countInterval
		if g.routers.Load() == 0 || !written {
			pause = time.Second
		}
		_ = clock.Sleep(ctx, g.clock, pause/2+rand.N(pause)) // the loop looks at ctx
	}
}

func (g *Gateway) writeRouter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	value, err := json.Marshal(routerRow{Incarnation: g.incarnation})
	if err != nil {
		return fmt.Errorf("encode router row: %w", err)
	}
	_, err = g.platform.Store.Commit(ctx, rowstore.Tx{Put: []rowstore.Put{{Key: g.routerKey(), Value: value}}})
	if err != nil {
		g.log.Warn("router row not written", "err", err.Error())
	}
	return err
}

func (g *Gateway) count(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	snap, err := g.platform.Store.Read(ctx, routerTable, "")
	if err != nil {
		g.log.Warn("routers not counted", "known", g.routers.Load(), "err", err.Error())
		return
	}
	if old := g.routers.Swap(int64(len(snap.Rows))); old != int64(len(snap.Rows)) {
		g.log.Info("routers counted", "routers", len(snap.Rows), "before", old, "store_version", snap.Version)
	}
}

// withdraw removes the own row.
func (g *Gateway) withdraw(ctx context.Context) error {
	if _, err := g.platform.Store.Commit(ctx, rowstore.Tx{Remove: []rowstore.Key{g.routerKey()}}); err != nil {
		return fmt.Errorf("remove the router's row: %w", err)
	}
	return nil
}

// keepHouse drops what is out of use and looks whether the settings changed.
func (g *Gateway) keepHouse(ctx context.Context) {
	for clock.Sleep(ctx, g.clock, houseInterval) == nil {
		g.upstream.Prune()
		g.endpoints.Forget()
		g.balancer.Forget()
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
