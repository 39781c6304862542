package orders

import (
	"context"
	"fmt"
	"io"
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

// staticConfig is a Configuration that changes only by calls of set.
type staticConfig struct{ index *catalog.Index }

func (c *staticConfig) Catalog() *catalog.Index { return c.index }

// set replaces the configuration by one with a single endpoint.
func (c *staticConfig) set(t *testing.T, url string, checksFencing, leaving bool) {
	t.Helper()
	index, err := catalog.NewIndex(catalog.Document{
		Pools:     []catalog.Pool{{Name: "fans", Kind: catalog.PoolService}},
		Endpoints: []catalog.Endpoint{{Name: endpointName, URL: url, Service: "fans", ChecksFencing: checksFencing, Leaving: leaving}},
	})
	assert.NilError(t, err)
	c.index = index
}

// delayGate is a handler that simulates a slow network: it delays the first order
// until release is closed and then forwards it to the endpoint. With detectHangUp
// set, the order is dropped if its sender has closed the connection by then.
type delayGate struct {
	endpoint     http.Handler
	once         sync.Once
	arrived      chan struct{}
	release      chan struct{}
	finished     chan struct{}
	detectHangUp bool // drop the order if the sender has hung up
}

func (g *delayGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := false
	g.once.Do(func() { first = true })
	if !first {
		g.endpoint.ServeHTTP(w, r)
		return
	}
	defer close(g.finished)
	// The server notices that the sender hangs up only after the body was read.
	body := new(bufferedBody)
	body.read(r)
	close(g.arrived)
	<-g.release
	if g.detectHangUp && r.Context().Err() != nil {
		return
	}
	replay := body.request(r)
	g.endpoint.ServeHTTP(httptest.NewRecorder(), replay)
}

func testSettings() Settings {
	return Settings{CallTimeout: 150 * time.Millisecond, LeaseDuration: 400 * time.Millisecond, WeightLoadsPerMinute: 6000, WeightBurst: 100}
}

func newSender(store *memory.Store, config Configuration, holder string, s Settings) *Sender {
	client := store.NewClient()
	return NewSender(s, Dependencies{
		Config:  config,
		Leases:  lease.NewTable(s.LeaseSettings(), client, clock.Real{}, holder, event.Discard{}),
		Limiter: NewWeightLimiter(s, client, clock.Real{}),
		Events:  event.Discard{},
		Metrics: metrics.NewSet(),
	})
}

// sendNaive posts the order without a lease, so without a fencing number, and
// without a deadline.
func sendNaive(s *Sender, m *catalog.Member, o Order) {
	s.post(context.Background(), m, engine.Order{ID: o.ID, Kind: o.Kind, Target: o.Target})
}

// TestDelayedOrderOfAnEarlierHolder guards against an order that takes effect after
// the order of a later lease holder. The order of one router is delayed until a
// second router has become the holder and its order was accepted.
func TestDelayedOrderOfAnEarlierHolder(t *testing.T) {
	for _, test := range []struct {
		name                        string
		checksFencing, detectHangUp bool
		naive                       bool
		wantLast                    string
	}{
		{"checking endpoint, network loses nothing", true, false, false, "new"},
		{"plain endpoint, sender hangs up in its time", false, true, false, "new"},
		{"naive sender", false, true, true, "old"},
		// The remaining risk: an order that the endpoint or the network delays
		// beyond the sender's deadline reaches an endpoint that does not check
		// fencing numbers.
		{"plain endpoint, order delayed past its deadline", false, false, false, "old"},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := memory.NewStore(clock.Real{})
			service := standin.NewService("fans", test.checksFencing)
			gate := &delayGate{endpoint: service, detectHangUp: test.detectHangUp, arrived: make(chan struct{}), release: make(chan struct{}), finished: make(chan struct{})}
			server := httptest.NewServer(gate)
			defer server.Close()
			config := new(staticConfig)
			config.set(t, server.URL, test.checksFencing, false)
			firstSender, secondSender := newSender(store, config, "one", testSettings()), newSender(store, config, "two", testSettings())
			member := config.Catalog().Endpoint(endpointName)

			done := make(chan error, 1)
			if test.naive {
				go sendNaive(firstSender, member, Order{ID: "old", Kind: engine.OrderSetRole, Target: "old"})
				<-gate.arrived
				sendNaive(secondSender, member, Order{ID: "new", Kind: engine.OrderSetRole, Target: "new"})
			} else {
				go func() {
					_, err := firstSender.Send(t.Context(), endpointName, Order{ID: "old", Kind: engine.OrderSetRole, Target: "old"})
					done <- err
				}()
				<-gate.arrived
				assert.Equal(t, failure.CodeOf(<-done), failure.OutcomeUnknown)
				_, err := secondSender.Send(t.Context(), endpointName, Order{ID: "new", Kind: engine.OrderSetRole, Target: "new"})
				assert.NilError(t, err)
			}
			close(gate.release)
			<-gate.finished
			orders := service.Orders()
			assert.Equal(t, orders[len(orders)-1].Target, test.wantLast)
		})
	}
}

// TestOrderFailureCodes checks the failure codes of orders that were not executed.
func TestOrderFailureCodes(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	config := new(staticConfig)
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
		{endpointName, Order{Kind: engine.OrderDrain}, failure.EndpointFailed}, // connection refused, so not executed
	} {
		_, err := sender.Send(t.Context(), test.endpoint, test.order)
		assert.Equal(t, failure.CodeOf(err), test.code, "%v", test.order)
		assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	}
}

// TestOrderIsNotRedirected guards against an order that an endpoint without a lease carries out.
func TestOrderIsNotRedirected(t *testing.T) {
	for _, body := range []string{"", `{"accepted": true}`, `{"accepted": false}`} {
		other := standin.NewService("fans", true)
		otherServer := httptest.NewServer(other)
		defer otherServer.Close()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", otherServer.URL+engine.PathOrders)
			w.WriteHeader(http.StatusTemporaryRedirect)
			io.WriteString(w, body)
		}))
		defer server.Close()
		config := new(staticConfig)
		config.set(t, server.URL, true, false)
		sender := newSender(memory.NewStore(clock.Real{}), config, "router", testSettings())
		_, err := sender.Send(t.Context(), endpointName, Order{Kind: engine.OrderDrain})
		assert.Equal(t, failure.CodeOf(err), failure.OutcomeUnknown, "body %q: %v", body, err)
		assert.Equal(t, len(other.Orders()), 0)
	}
}

// TestLeavingEndpointReceivesDrainOrder guards against a leaving endpoint that gets
// no drain order, or one from each router, and against a drain that is not canceled
// when the endpoint is no longer leaving.
func TestLeavingEndpointReceivesDrainOrder(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	service := standin.NewService("fans", true)
	server := httptest.NewServer(service)
	defer server.Close()
	config := new(staticConfig)
	config.set(t, server.URL, true, true)
	network := bus.NewNetwork()
	var drainers []*Drainer
	for i := range 3 {
		b := network.Join(bus.Peer{ID: bus.ID{VM: fmt.Sprint(i), Incarnation: "1"}})
		drainers = append(drainers, NewDrainer(newSender(store, config, fmt.Sprint(i), testSettings()), b, clock.Real{}, slog.New(slog.DiscardHandler)))
	}
	runTwice := func() {
		for range 2 {
			for _, d := range drainers {
				d.runOnce(t.Context())
			}
		}
	}
	runTwice()
	assert.Equal(t, len(service.Orders()), 1)
	config.set(t, server.URL, true, false)
	runTwice()
	assert.Equal(t, len(service.Orders()), 2)
	assert.Equal(t, service.Orders()[1].Target, engine.DrainCancel)
}

// TestWeightRateIsShared guards against a fleet that exceeds the weight store's rate
// limit, since each router allows the full rate or since wall clocks differ and jump.
// All routers take tokens as fast as they can.
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
			clocks, weights = append(clocks, c), append(weights, NewWeightLimiter(s, store.NewClient(), c))
		}
		taken, naiveTaken, latest := 0, 0, start
		localBuckets := make([]tokenBucket, routers)
		for i := range localBuckets {
			localBuckets[i] = tokenBucket{Tokens: s.WeightBurst, RefilledAtMS: start.UnixMilli()}
		}
		for range 300 {
			i := random.IntN(routers)
			if random.IntN(20) == 0 {
				clocks[i].Set(clocks[i].Now().Add(time.Duration(random.IntN(20)-10) * time.Second))
			}
			for _, c := range clocks {
				c.Advance(200 * time.Millisecond)
				if c.Now().After(latest) {
					latest = c.Now()
				}
			}
			if wait, err := weights[i].tryTake(t.Context()); err == nil && wait == 0 {
				taken++
			}
			// The naive version allows each router the full rate.
			if localBuckets[i] = localBuckets[i].refilled(clocks[i].Now().UnixMilli(), s); localBuckets[i].Tokens >= 1 {
				localBuckets[i].Tokens--
				naiveTaken++
			}
		}
		bound := s.WeightBurst + latest.Sub(start).Minutes()*s.WeightLoadsPerMinute
		assert.Assert(t, float64(taken) <= bound, "seed %d schedule %d: %d drawn, bound %f", seed, schedule, taken, bound)
		assert.Assert(t, float64(naiveTaken) > bound, "the schedule does not trouble the naive version")
	}
}
