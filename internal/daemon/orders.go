package daemon

import (
	"context"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/lease"
	"daisyslip.dev/daisyslip/internal/orders"
)

// newOrders makes the duty that gives orders to endpoints.
func (d *Daemon) newOrders() *orders.Sender {
	s := d.settings.Orders
	return orders.NewSender(s, orders.Dependencies{
		Config:  d.config,
		Leases:  lease.NewTable(s.LeaseSettings(), d.platform, clock.Real{}, d.self.ID.String(), d.events),
		Limiter: orders.NewWeightLimiter(s, d.platform, clock.Real{}),
		Events:  d.events,
		Metrics: d.metrics,
	})
}

// runDrainer tells endpoints that are marked as leaving to drain.
func (d *Daemon) runDrainer(ctx context.Context) error {
	return orders.NewDrainer(d.orders, d.bus, clock.Real{}, d.part("orders")).Run(ctx)
}
