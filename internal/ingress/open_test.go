package ingress

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
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
