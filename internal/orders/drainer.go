package orders

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// drainInterval is the time between two looks at the endpoints that leave.
const drainInterval = 500 * time.Millisecond

// Drainer tells endpoints that are marked as leaving to drain, so that their
// own reports say so also to routers that have not heard of the change. One
// router, chosen by hash among those alive, sees to each endpoint.
type Drainer struct {
	sender *Sender
	bus    bus.Bus
	clock  clock.Clock
	log    *slog.Logger
	done   map[string]bool // endpoints that took the order; of the Run goroutine
}

// NewDrainer returns a drainer that orders through sender.
func NewDrainer(sender *Sender, b bus.Bus, c clock.Clock, log *slog.Logger) *Drainer {
	return &Drainer{sender: sender, bus: b, clock: c, log: log, done: make(map[string]bool)}
}

// Run orders until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	for {
		d.pass(ctx)
		if clock.Sleep(ctx, d.clock, drainInterval) != nil {
			return nil
		}
	}
}

// pass orders each leaving endpoint that is this router's to see to, and
// forgets those that no longer leave.
func (d *Drainer) pass(ctx context.Context) {
	index := d.sender.duties.Config.Catalog()
	leaving := make(map[string]bool)
	for _, m := range index.Members() {
		if !m.Leaving {
			continue
		}
		leaving[m.Name] = true
		if !d.done[m.Name] && d.mine(m) {
			drain := Order{ID: fmt.Sprintf("drain/%s/%d", m.Name, index.Revision), Kind: engine.OrderDrain}
			d.done[m.Name] = d.order(ctx, m, drain)
		}
	}
	for name := range d.done {
		if leaving[name] {
			continue
		}
		delete(d.done, name)
		if m := index.Endpoint(name); m != nil {
			d.order(ctx, m, Order{ID: fmt.Sprintf("return/%s/%d", name, index.Revision), Kind: engine.OrderDrain, Target: engine.DrainCancel})
		}
	}
}

// order sends one order and reports whether that is settled.
func (d *Drainer) order(ctx context.Context, m *catalog.Member, o Order) bool {
	ctx, cancel := context.WithTimeout(ctx, d.sender.settings.CallTimeout)
	defer cancel()
	_, err := d.sender.Send(ctx, m.Name, o)
	if err != nil {
		d.log.Warn("Drain not ordered.", "endpoint", m.Name, "order", o.ID, "err", err)
	}
	return err == nil || failure.CodeOf(err) == failure.Conflict
}

// mine reports whether this router ranks first for the endpoint.
func (d *Drainer) mine(m *catalog.Member) bool {
	rank := func(id bus.ID) uint64 { return xxhash.Sum64String(id.String() + "/" + m.Name) }
	own := rank(d.bus.Self().ID)
	for _, p := range d.bus.Peers() {
		if rank(p.ID) < own {
			return false
		}
	}
	return true
}
