package daemon

import (
	"context"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/admission"
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/calls"
	"daisyslip.dev/daisyslip/internal/dispatch"
)

// delivery holds the components that send requests to endpoints.
type delivery struct {
	balancer *balancer.Balancer
	queues   *admission.Queues
	dispatch *dispatch.Dispatcher
	calls    *calls.Runner
}

// newDelivery assembles the components of the delivery. The balancer sets the number of
// slots of each pool in the queues.
func (d *Daemon) newDelivery() delivery {
	queues := admission.NewQueues(d.settings.Admission, clock.Real{}, d.metrics)
	endpointBalancer := balancer.New(d.settings.Route, balancer.Dependencies{
		Config:      d.config,
		Events:      d.events,
		Metrics:     d.metrics,
		Clock:       clock.Real{},
		Log:         d.componentLog("route"),
		LeavingVMs:  d.members.VMLeaving,
		ConfirmView: d.config.ConfirmView,
		Routers:     func() int { return len(d.bus.Peers()) + 1 },
		OnSlots:     queues.SetSlots,
	})
	return delivery{
		balancer: endpointBalancer,
		queues:   queues,
		dispatch: dispatch.New(d.settings.Dispatch, dispatch.Dependencies{
			Balancer: endpointBalancer, Queues: queues, Events: d.events, Metrics: d.metrics,
		}),
		calls: calls.New(d.settings.Calls, calls.Dependencies{
			Balancer: endpointBalancer,
			Records:  once.NewRecords(d.settings.Calls.Once, d.platform, clock.Real{}, d.self.ID.String()),
			Events:   d.events,
			Metrics:  d.metrics,
			Log:      d.componentLog("calls"),
		}),
	}
}

// drain waits until calls whose callers have disconnected are complete, or ctx ends.
func (d *delivery) drain(ctx context.Context) error { return d.calls.Drain(ctx) }

// close closes the idle connections to endpoints.
func (d *delivery) close() {
	d.balancer.Close()
}
