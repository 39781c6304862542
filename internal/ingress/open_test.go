package ingress

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/routetable"
)

// TestEndpointThatLeavesWhileConnectingGetsNoRequest guards against a request that is sent to
// an endpoint which left its pool while the connection was made. On an overloaded router that
// took 725 ms, so that the request arrived after the time in which it may.
func TestEndpointThatLeavesWhileConnectingGetsNoRequest(t *testing.T) {
	fake := clock.NewFake(time.Unix(0, 0))
	registry := endpoints.NewRegistry(time.Second, fake, slog.New(slog.DiscardHandler))
	e := endpoints.Endpoint{ID: "i-1", Pool: "app", Addr: "127.0.0.1:1", Slots: 1, Sequence: 1}
	registry.Replace([]endpoints.Endpoint{e})
	q := &request{handler: &Handler{deps: Dependencies{Endpoints: registry, Clock: fake}}}
	attemptAt := func() *attempt { return &attempt{endpoint: e, connected: make(chan struct{})} }

	assert.NilError(t, q.beginSend(attemptAt()))
	dropped := attemptAt()
	assert.Assert(t, dropped.dropSend())
	assert.ErrorIs(t, q.beginSend(dropped), errNotNeeded)
	assert.Assert(t, registry.MarkLeaving("i-1", 0))
	a := attemptAt()
	assert.ErrorIs(t, q.beginSend(a), errLeftPool)
	assert.Assert(t, a.dropSend(), "the request counts as sent")
}

// TestEndpointEvacuatedWhileConnectingGetsNoRequest guards against a request that is sent to
// an evacuated domain since its endpoint was chosen before, and against an endpoint there
// that counts as ended.
func TestEndpointEvacuatedWhileConnectingGetsNoRequest(t *testing.T) {
	fake := clock.NewFake(time.Unix(0, 0))
	registry := endpoints.NewRegistry(time.Second, fake, slog.New(slog.DiscardHandler))
	e := endpoints.Endpoint{ID: "i-1", Pool: "app", Domain: "a", Addr: "127.0.0.1:1", Slots: 1, Sequence: 1}
	registry.Replace([]endpoints.Endpoint{e})
	q := &request{handler: &Handler{deps: Dependencies{Endpoints: registry, Clock: fake}}}
	registry.SetEvacuated([]string{"b", "a"})
	assert.ErrorIs(t, q.beginSend(&attempt{endpoint: e, connected: make(chan struct{})}), errLeftPool)
	assert.Assert(t, registry.Listed("i-1") && registry.PoolEvacuated("app") && !registry.PoolEvacuated("other"))
	registry.SetEvacuated([]string{"b"})
	assert.NilError(t, q.beginSend(&attempt{endpoint: e, connected: make(chan struct{})}))
}

// TestPanickedAttemptIsNotInFlight guards against an endpoint that gets no more requests of
// this router since the balancer counts a silent attempt there whose handler panicked.
func TestPanickedAttemptIsNotInFlight(t *testing.T) {
	p := newColdPool()
	log := slog.New(slog.DiscardHandler)
	deps := &p.request.handler.deps
	deps.Log, deps.Bytes = log, bytebudget.New(0, log, metrics.NewSet())
	deps.Balancer = placement.NewBalancer(placement.DefaultSettings(), "zone-a", p.clock, log)
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		p.request.httpRequest, p.request.table = httptest.NewRequest(http.MethodPost, "/", nil), &routetable.Table{}
		p.request.sendWithRetries(t.Context()) // without a route
	}()
	assert.Equal(t, len(p.request.excluded), 1, "no attempt was begun")
	for id := range p.request.excluded {
		choice, ok := deps.Balancer.Begin([]endpoints.Endpoint{{ID: id, Pool: "app"}}, placement.Request{}, nil)
		assert.Assert(t, ok)
		assert.Equal(t, choice.Load, 0.0)
	}
}
