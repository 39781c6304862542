package ingress

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/routerload"
)

// overloaded returns the load of an overloaded router with 200 requests in flight.
func overloaded(ctx context.Context, t *testing.T) *routerload.Monitor {
	load := routerload.New(routerload.Options{
		Settings: routerload.DefaultSettings(), Capacity: routerload.Capacity{LinkBytes: 1e6, Cores: 1}, Clock: clock.Real{},
		Fleet:   func() routerload.Fleet { return routerload.Fleet{} },
		Publish: func(routerload.Notice) {}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
	go load.Run(ctx)
	synctest.Wait()
	for range 200 {
		load.Begin()
	}
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, load.Overloaded())
	return load
}

// TestOverloadedRouterEjectsNoEndpoint guards against ejections of healthy endpoints because the
// router's own link or processor lets its dials and reads time out, and against a router that
// ejects none after an overload.
func TestOverloadedRouterEjectsNoEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		load := overloaded(ctx, t)
		h := &Handler{deps: Dependencies{Load: load, Balancer: placement.NewBalancer(placement.DefaultSettings(), "zone-a", clock.Real{}, slog.New(slog.DiscardHandler))}}
		list := []endpoints.Endpoint{{ID: "i-1"}}
		ejected := func() bool {
			c, ok := h.deps.Balancer.BeginNotEjected(list, placement.Request{}, nil)
			if ok {
				h.deps.Balancer.End(c, placement.Inconclusive)
			}
			return !ok
		}
		h.suspect(list[0])
		assert.Assert(t, !ejected())
		for _, o := range []placement.Observation{placement.Unreachable, placement.Stalled} {
			assert.Equal(t, h.weigh(connectionBroken, o), placement.Inconclusive)
		}
		assert.Equal(t, h.weigh(stalled, placement.Failed), placement.Inconclusive)
		assert.Equal(t, h.weigh(failed, placement.Failed), placement.Failed)
		for range 200 {
			load.End(1000, 1)
		}
		for load.Overloaded() {
			time.Sleep(100 * time.Millisecond)
		}
		h.suspect(list[0]) // what was sent during the overload may still time out
		assert.Assert(t, !ejected())
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.weigh(notSent, placement.Unreachable), placement.Unreachable)
		h.suspect(list[0])
		assert.Assert(t, ejected())
	})
}

// TestUnreachableEndpointIsColdForOverloadedRouter guards against an endpoint that restarts and
// gets the usual share of an overloaded router, since its failed dials show nothing there.
func TestUnreachableEndpointIsColdForOverloadedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		p := newColdPool()
		deps := &p.request.handler.deps
		deps.Load = overloaded(ctx, t)
		deps.Balancer = placement.NewBalancer(placement.DefaultSettings(), "zone-a", p.clock, slog.New(slog.DiscardHandler))
		e := endpoints.Endpoint{ID: "i-1", Pool: "app"}
		choice, ok := deps.Balancer.Begin([]endpoints.Endpoint{e}, placement.Request{}, nil)
		assert.Assert(t, ok)
		a := &attempt{endpoint: e, choice: choice, cancel: func() {}, kept: bytebudget.New(0, slog.New(slog.DiscardHandler), metrics.NewSet()).Open("i-1", nil)}
		p.request.endAttempt(a, notSent, placement.Unreachable)
		_, cold := p.registry.Cold(e)
		assert.Assert(t, cold)
		_, ok = deps.Balancer.BeginNotEjected([]endpoints.Endpoint{e}, placement.Request{}, nil)
		assert.Assert(t, ok, "ejected")
	})
}
