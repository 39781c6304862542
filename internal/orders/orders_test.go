package orders

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/lease"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/standin"
)

const endpointName = "fans-1"

// fixed is a configuration that does not change by itself.
type fixed struct{ index *catalog.Index }

func (f *fixed) Catalog() *catalog.Index { return f.index }

func (f *fixed) set(t *testing.T, url string, checks, leaving bool) {
	t.Helper()
	index, err := catalog.NewIndex(catalog.Document{
		Pools:     []catalog.Pool{{Name: "fans", Kind: catalog.PoolService}},
		Endpoints: []catalog.Endpoint{{Name: endpointName, URL: url, Service: "fans", ChecksFencing: checks, Leaving: leaving}},
	})
	assert.NilError(t, err)
	f.index = index
}

// gate holds up the first order on its way to the endpoint, as a network
// does; an order whose sender has hung up by then is lost.
type gate struct {
	endpoint http.Handler
	once     sync.Once
	arrived  chan struct{}
	open     chan struct{}
	passed   chan struct{}
	hangUp   bool // the network notices that the sender hung up
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := false
	g.once.Do(func() { first = true })
	if !first {
		g.endpoint.ServeHTTP(w, r)
		return
	}
	defer close(g.passed)
	// Read on, so that the server sees the sender hang up.
	buffer := new(bodyCopy)
	buffer.read(r)
	close(g.arrived)
	<-g.open
	if g.hangUp && r.Context().Err() != nil {
		return
	}
	again := buffer.request(r)
	g.endpoint.ServeHTTP(httptest.NewRecorder(), again)
}

func testSettings() Settings {
	return Settings{CallTimeout: 150 * time.Millisecond, LeaseDuration: 400 * time.Millisecond, WeightLoadsPerMinute: 6000, WeightBurst: 100}
}

func newSender(store *memory.Store, config Configuration, holder string, s Settings) *Sender {
	view := store.View()
	return NewSender(s, Dependencies{
		Config:  config,
		Leases:  lease.NewTable(s.LeaseSettings(), view, clock.Real{}, holder, event.Discard{}),
		Limiter: NewWeightLimiter(s, view, clock.Real{}),
		Events:  event.Discard{},
		Metrics: metrics.NewSet(),
	})
}

// sendNaive posts the order with a number of the sender's own and no bound.
func sendNaive(s *Sender, m *catalog.Member, o Order) {
	s.post(context.Background(), m, engine.Order{ID: o.ID, Kind: o.Kind, Target: o.Target})
}

// TestDelayedOrderOfAnEarlierHolder delays the order of one router until a
// second one has become the holder and given its own.
func TestDelayedOrderOfAnEarlierHolder(t *testing.T) {
	for _, test := range []struct {
		name           string
		checks, hangUp bool
		naive          bool
		wantLast       string
	}{
		{"checking endpoint, network loses nothing", true, false, false, "new"},
		{"plain endpoint, sender hangs up in its time", false, true, false, "new"},
		{"naive sender", false, true, true, "old"},
		// The remaining risk: an order that the endpoint or the network holds
		// beyond the sender's deadline reaches an endpoint that does not check.
		{"plain endpoint, order delayed past its deadline", false, false, false, "old"},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := memory.NewStore(clock.Real{})
			service := standin.NewService("fans", test.checks)
			g := &gate{endpoint: service, hangUp: test.hangUp, arrived: make(chan struct{}), open: make(chan struct{}), passed: make(chan struct{})}
			server := httptest.NewServer(g)
			defer server.Close()
			config := new(fixed)
			config.set(t, server.URL, test.checks, false)
			one, two := newSender(store, config, "one", testSettings()), newSender(store, config, "two", testSettings())
			member := config.Catalog().Endpoint(endpointName)

			done := make(chan error, 1)
			if test.naive {
				go sendNaive(one, member, Order{ID: "old", Kind: engine.OrderSetRole, Target: "old"})
				<-g.arrived
				sendNaive(two, member, Order{ID: "new", Kind: engine.OrderSetRole, Target: "new"})
			} else {
				go func() {
					_, err := one.Send(t.Context(), endpointName, Order{ID: "old", Kind: engine.OrderSetRole, Target: "old"})
					done <- err
				}()
				<-g.arrived
				assert.Equal(t, failure.CodeOf(<-done), failure.OutcomeUnknown)
				_, err := two.Send(t.Context(), endpointName, Order{ID: "new", Kind: engine.OrderSetRole, Target: "new"})
				assert.NilError(t, err)
			}
			close(g.open)
			<-g.passed
			orders := service.Orders()
			assert.Equal(t, orders[len(orders)-1].Target, test.wantLast)
		})
	}
}

func TestOrdersAreCheckedAndTyped(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	config := new(fixed)
	config.set(t, "http://127.0.0.1:1", true, false)
	sender := newSender(store, config, "one", testSettings())
	for _, test := range []struct {
		endpoint string
		order    Order
		code     failure.Code
	}{
		{"nobody", Order{Kind: engine.OrderDrain}, failure.NotFound},
		{endpointName, Order{Kind: "dance"}, failure.BadRequest},
		{endpointName, Order{Kind: engine.OrderLoadModel}, failure.BadRequest},
		{endpointName, Order{Kind: engine.OrderDrain}, failure.EndpointFailed}, // nobody listens: it did not run
	} {
		_, err := sender.Send(t.Context(), test.endpoint, test.order)
		assert.Equal(t, failure.CodeOf(err), test.code, "%v", test.order)
		assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	}
}

func TestLeavingEndpointIsToldToDrain(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	service := standin.NewService("fans", true)
	server := httptest.NewServer(service)
	defer server.Close()
	config := new(fixed)
	config.set(t, server.URL, true, true)
	network := bus.NewNetwork()
	var drainers []*Drainer
	for i := range 3 {
		b := network.Join(bus.Peer{ID: bus.ID{VM: fmt.Sprint(i), Incarnation: "1"}})
		drainers = append(drainers, NewDrainer(newSender(store, config, fmt.Sprint(i), testSettings()), b, clock.Real{}, slog.New(slog.DiscardHandler)))
	}
	pass := func() {
		for range 2 {
			for _, d := range drainers {
				d.pass(t.Context())
			}
		}
	}
	pass()
	assert.Equal(t, len(service.Orders()), 1)
	config.set(t, server.URL, true, false)
	pass()
	assert.Equal(t, len(service.Orders()), 2)
	assert.Equal(t, service.Orders()[1].Target, engine.DrainCancel)
}

// TestWeightRateIsShared has routers with wall clocks that differ and jump
// draw as fast as they can.
func TestWeightRateIsShared(t *testing.T) {
	const seed, routers = 6, 5
	s := Settings{WeightLoadsPerMinute: 60, WeightBurst: 10}
	for schedule := range 50 {
		random := rand.New(rand.NewPCG(seed, uint64(schedule)))
		store := memory.NewStore(clock.Real{})
		start := time.Unix(1_000_000, 0)
		var clocks []*clock.Fake
		var weights []*WeightLimiter
		for range routers {
			c := clock.NewFake(start)
			clocks, weights = append(clocks, c), append(weights, NewWeightLimiter(s, store.View(), c))
		}
		drawn, naive, ahead := 0, 0, start
		local := make([]bucket, routers)
		for i := range local {
			local[i] = bucket{Level: s.WeightBurst, AtMS: start.UnixMilli()}
		}
		for range 300 {
			i := random.IntN(routers)
			if random.IntN(20) == 0 {
				clocks[i].Set(clocks[i].Now().Add(time.Duration(random.IntN(20)-10) * time.Second))
			}
			for _, c := range clocks {
				c.Advance(200 * time.Millisecond)
				if c.Now().After(ahead) {
					ahead = c.Now()
				}
			}
			if wait, err := weights[i].try(t.Context()); err == nil && wait == 0 {
				drawn++
			}
			// The naive version gives each router the whole rate.
			if local[i] = local[i].refilled(clocks[i].Now().UnixMilli(), s); local[i].Level >= 1 {
				local[i].Level--
				naive++
			}
		}
		bound := s.WeightBurst + ahead.Sub(start).Minutes()*s.WeightLoadsPerMinute
		assert.Assert(t, float64(drawn) <= bound, "seed %d schedule %d: %d drawn, bound %f", seed, schedule, drawn, bound)
		assert.Assert(t, float64(naive) > bound, "the schedule does not trouble the naive version")
	}
}
