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
	sender  *Sender
	bus     bus.Bus
	clock   clock.Clock
	log     *slog.Logger
	ordered map[string]bool // endpoints that took the order; of the Run goroutine
}

// NewDrainer returns a drainer that orders through sender.
func NewDrainer(sender *Sender, b bus.Bus, c clock.Clock, log *slog.Logger) *Drainer {
	return &Drainer{sender: sender, bus: b, clock: c, log: log, ordered: make(map[string]bool)}
}

// Run orders until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	for {
		d.runOnce(ctx)
		if clock.Sleep(ctx, d.clock, drainInterval) != nil {
			return nil
		}
	}
}

// pass orders each leaving endpoint that is this router's to see to, and
// forgets those that no longer leave.
func (d *Drainer) runOnce(ctx context.Context) {
	index := d.sender.deps.Config.Catalog()
	leaving := make(map[string]bool)
	for _, m := range index.Members() {
		if !m.Leaving {
			continue
		}
		leaving[m.Name] = true
		if !d.ordered[m.Name] && d.responsibleFor(m) {
			drain := Order{ID: fmt.Sprintf("drain/%s/%d", m.Name, index.Revision), Kind: engine.OrderDrain}
			d.ordered[m.Name] = d.sendOrder(ctx, m, drain)
		}
	}
	for name := range d.ordered {
		if leaving[name] {
			continue
		}
		delete(d.ordered, name)
		if m := index.Endpoint(name); m != nil {
			d.sendOrder(ctx, m, Order{ID: fmt.Sprintf("return/%s/%d", name, index.Revision), Kind: engine.OrderDrain, Target: engine.DrainCancel})
		}
	}
}

// order sends one order and reports whether that is settled.
func (d *Drainer) sendOrder(ctx context.Context, m *catalog.Member, o Order) bool {
	ctx, cancel := context.WithTimeout(ctx, d.sender.settings.CallTimeout)
	defer cancel()
	_, err := d.sender.Send(ctx, m.Name, o)
	if err != nil {
		d.log.Warn("Drain not ordered.", "endpoint", m.Name, "order", o.ID, "err", err)
	}
	return err == nil || failure.CodeOf(err) == failure.Conflict
}

// mine reports whether this router ranks first for the endpoint.
func (d *Drainer) responsibleFor(m *catalog.Member) bool {
	rank := func(id bus.ID) uint64 { return xxhash.Sum64String(id.String() + "/" + m.Name) }
	localRank := rank(d.bus.Self().ID)
	for _, p := range d.bus.Peers() {
		if rank(p.ID) < localRank {
			return false
		}
	}
	return true
}
