package daemon

import (
	"context"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/lease"
	"daisyslip.dev/daisyslip/internal/orders"
)

// newOrders returns the sender of orders to endpoints, such as the one to drain.
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

// runDrainer orders endpoints that are marked as leaving to drain, until ctx ends.
func (d *Daemon) runDrainer(ctx context.Context) error {
	return orders.NewDrainer(d.orders, d.bus, clock.Real{}, d.componentLog("orders")).Run(ctx)
}
