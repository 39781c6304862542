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

// drainInterval is the time between two checks for leaving endpoints.
const drainInterval = 500 * time.Millisecond

// Drainer orders endpoints that are marked as leaving in the configuration to drain.
// The endpoints' own reports then show this also to routers that have not applied that
// configuration yet. For each endpoint, one live router, selected by rendezvous
// hashing, sends the order.
type Drainer struct {
	sender  *Sender
	bus     bus.Bus
	clock   clock.Clock
	log     *slog.Logger
	ordered map[string]bool // true if the drain order to an endpoint needs no retry; used only by Run
}

// NewDrainer returns a drainer that sends its orders through sender.
func NewDrainer(sender *Sender, b bus.Bus, c clock.Clock, log *slog.Logger) *Drainer {
	return &Drainer{sender: sender, bus: b, clock: c, log: log, ordered: make(map[string]bool)}
}

// Run sends the due orders every drainInterval until ctx ends. It returns nil.
func (d *Drainer) Run(ctx context.Context) error {
	for {
		d.runOnce(ctx)
		if clock.Sleep(ctx, d.clock, drainInterval) != nil {
			return nil
		}
	}
}

// runOnce sends a drain order to each leaving endpoint that this router is
// responsible for, until one needs no retry. To each endpoint that is no longer
// leaving and to which it has sent a drain order, it sends one order that cancels the
// drain.
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

// sendOrder sends one order and reports whether it needs no retry: the endpoint
// accepted it, or the failure is a conflict, such as a refusal by the endpoint.
func (d *Drainer) sendOrder(ctx context.Context, m *catalog.Member, o Order) bool {
	ctx, cancel := context.WithTimeout(ctx, d.sender.settings.CallTimeout)
	defer cancel()
	_, err := d.sender.Send(ctx, m.Name, o)
	if err != nil {
		d.log.Warn("drain order failed", "endpoint", m.Name, "order", o.ID, "err", err)
	}
	return err == nil || failure.CodeOf(err) == failure.Conflict
}

// responsibleFor reports whether this router has the lowest hash for the endpoint
// among the live routers.
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
