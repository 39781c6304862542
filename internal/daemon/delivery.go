package daemon

import (
	"context"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/admission"
	"daisyslip.dev/daisyslip/internal/calls"
	"daisyslip.dev/daisyslip/internal/dispatch"
	"daisyslip.dev/daisyslip/internal/route"
)

// delivery is the path of work from this router to the endpoints.
type delivery struct {
	router   *route.Router
	queues   *admission.Queues
	dispatch *dispatch.Dispatcher
	calls    *calls.Runner
}

// newDelivery assembles the path.
func (d *Daemon) newDelivery() delivery {
	queues := admission.NewQueues(d.settings.Admission, clock.Real{}, d.metrics)
	router := route.NewRouter(d.settings.Route, route.Dependencies{
		Config:      d.config,
		Events:      d.events,
		Metrics:     d.metrics,
		Clock:       clock.Real{},
		Log:         d.part("route"),
		LeavingVMs:  d.members.VMLeaving,
		ConfirmView: d.config.ConfirmView,
		Routers:     func() int { return len(d.bus.Peers()) + 1 },
		OnSlots:     queues.SetSlots,
	})
	return delivery{
		router: router,
		queues: queues,
		dispatch: dispatch.New(d.settings.Dispatch, dispatch.Dependencies{
			Router: router, Queues: queues, Events: d.events, Metrics: d.metrics,
		}),
		calls: calls.New(d.settings.Calls, calls.Dependencies{
			Router:  router,
			Records: once.NewRecords(d.settings.Calls.Once, d.platform, clock.Real{}, d.self.ID.String()),
			Events:  d.events,
			Metrics: d.metrics,
			Log:     d.part("calls"),
		}),
	}
}

// drain waits for the calls that outlive their callers.
func (d *delivery) drain(ctx context.Context) error { return d.calls.Drain(ctx) }

// close drops the idle connections.
func (d *delivery) close() {
	d.router.Close()
	d.dispatch.Close()
	d.calls.Close()
}
