package ingress

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// coldPool is a pool of the endpoints i-0 to i-3, of which i-2 and i-3 are cold. Their
// governor is this router, and grants one permit in 200 ms.
type coldPool struct {
	clock    *clock.Fake
	registry *endpoints.Registry
	request  *request
	// permitTime is the time that passes while a permit is asked for.
	permitTime time.Duration
}

func newColdPool() *coldPool {
	p := &coldPool{clock: clock.NewFake(time.Unix(1000, 0))}
	log := slog.New(slog.DiscardHandler)
	p.registry = endpoints.NewRegistry(time.Hour, p.clock, log)
	p.registry.SetColdStart(func(string) time.Duration { return time.Minute })
	self := bus.ID{VM: "vm", Incarnation: "1"}
	limits := endpointlimit.New(endpointlimit.Options{
		Bus: bus.NewNetwork().Join(bus.Peer{ID: self}), Clock: p.clock, Log: log, Metrics: metrics.NewSet(),
		Cold: endpointlimit.ColdOptions{
			Governor: func(string) (bus.ID, bool) {
				p.clock.Advance(p.permitTime)
				return self, true
			},
			Rate: func(id string) (float64, bool, bool) {
				_, cold := p.registry.Cold(endpoints.Endpoint{ID: id, Pool: "app"})
				return 5, cold, true
			},
		},
	})
	var list []endpoints.Endpoint
	for i := range 4 {
		e := endpoints.Endpoint{ID: fmt.Sprintf("i-%d", i), Pool: "app", Domain: "a", Sequence: 1}
		if i >= 2 {
			e.ColdFor = time.Minute
		}
		list = append(list, e)
	}
	p.registry.Replace(list)
	p.request = &request{pool: "app", excluded: make(map[string]bool), handler: &Handler{deps: Dependencies{Endpoints: p.registry, Limits: limits, Clock: p.clock}}}
	return p
}

// open returns the ids of the endpoints that may take a request now.
func (p *coldPool) open(use coldUse) []string {
	var ids []string
	open, _ := p.request.openEndpoints(use)
	for _, e := range open {
		ids = append(ids, e.ID)
	}
	return ids
}

func (p *coldPool) acquire(t *testing.T, id string) bool {
	_, ok := p.request.acquire(t.Context(), endpoints.Endpoint{ID: id, Pool: "app"})
	return ok
}

// TestRequestWaitsForOnePermitWhileOthersAreOpen guards against a request that asks for one
// permit after the other, each of which can take the time of a call, while an endpoint
// that needs none can be used.
func TestRequestWaitsForOnePermitWhileOthersAreOpen(t *testing.T) {
	p := newColdPool()
	assert.DeepEqual(t, p.open(p.request.coldUse()), []string{"i-0", "i-1", "i-2", "i-3"})
	assert.Assert(t, p.acquire(t, "i-0"))
	assert.Assert(t, !p.acquire(t, "i-2"), "the bucket begins empty")
	assert.DeepEqual(t, p.open(p.request.coldUse()), []string{"i-0", "i-1"})
	p.request.excluded["i-0"], p.request.excluded["i-1"] = true, true
	assert.DeepEqual(t, p.open(p.request.coldUse()), []string{"i-0", "i-1", "i-3"})
	assert.Assert(t, !p.acquire(t, "i-3"))
	p.registry.Remove("i-0", "test")
	p.registry.SetEvacuated([]string{"a"})
	assert.Equal(t, len(p.open(coldAllowed)), 0)
	p.registry.SetEvacuated(nil)
	_, opensIn := p.request.openEndpoints(coldAllowed)
	assert.Assert(t, opensIn > 0 && opensIn <= 300*time.Millisecond, "%s", opensIn)
	p.request.deniedPermits = maxDeniedPermits
	p.clock.Advance(time.Second)
	assert.Equal(t, len(p.open(p.request.coldUse())), 0, "all are cold after the evacuation")
	assert.DeepEqual(t, p.open(coldAllowed), []string{"i-1", "i-2", "i-3"})
}

// TestPermitIsConfirmedBeforeSend guards against a request whose connection took so long to
// open that it arrives with those of later permits, and against one that is sent without a
// permit since its endpoint turned cold after the choice.
func TestPermitIsConfirmedBeforeSend(t *testing.T) {
	p := newColdPool()
	begin := func(id string, permittedAt time.Time) error {
		a := &attempt{ctx: t.Context(), endpoint: endpoints.Endpoint{ID: id, Pool: "app"}, permittedAt: permittedAt, connected: make(chan struct{})}
		return p.request.beginSend(a)
	}
	assert.NilError(t, begin("i-0", time.Time{}))
	assert.NilError(t, begin("i-2", p.clock.Now().Add(-endpointlimit.ColdPermitValidity)))
	late := p.clock.Now().Add(-endpointlimit.ColdPermitValidity - time.Millisecond)
	assert.ErrorIs(t, begin("i-2", late), errNoPermit)
	p.clock.Advance(time.Second)
	assert.NilError(t, begin("i-2", late), "another permit was granted")
	p.registry.MarkFailed("i-1", 0)
	assert.ErrorIs(t, begin("i-1", time.Time{}), errNoPermit)

	outcome, _, _ := p.request.classifyNoResponse(t.Context(), fmt.Errorf("%w: %w", upstream.ErrNotSent, errNoPermit))
	assert.Equal(t, outcome, notSent)
}

// TestPermitThatArrivesLateIsNotUsed guards against a request that is sent with a permit whose
// time has passed when its response arrives, as on a router that is short of processor time.
// Such requests arrive together with those of later permits.
func TestPermitThatArrivesLateIsNotUsed(t *testing.T) {
	p := newColdPool()
	assert.Assert(t, !p.acquire(t, "i-2"), "the bucket begins empty")
	p.clock.Advance(time.Second)
	p.permitTime = endpointlimit.ColdPermitValidity + time.Millisecond
	a := &attempt{ctx: t.Context(), endpoint: endpoints.Endpoint{ID: "i-2", Pool: "app"}, connected: make(chan struct{})}
	assert.ErrorIs(t, p.request.beginSend(a), errNoPermit)
	p.clock.Advance(time.Second)
	p.permitTime = endpointlimit.ColdPermitValidity
	assert.NilError(t, p.request.beginSend(a))
}
