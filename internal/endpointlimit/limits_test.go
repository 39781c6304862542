package endpointlimit

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// The platform counts requests from contactTime after a limit was first stated, in
// windows of windowTime.
const (
	contactTime = 3 * time.Second
	windowTime  = 4 * time.Second
)

// allowed is the number of requests in a window that the platform tolerates.
func allowed(perSecond float64) int { return int(1.5*perSecond*windowTime.Seconds()) + 5 }

// simulation is a fleet of routers that send to one endpoint, as often as they may.
type simulation struct {
	random  *rand.Rand
	clock   *clock.Fake
	network *bus.Network
	ids     []bus.ID
	routers []*Limits
	// suspected has the members that a router, by its index, does not take for the
	// governor, which is the first of the others.
	suspected map[int]map[bus.ID]bool
	alone     bool // each router keeps to the limit by itself
	pending   []delivery

	start     Start
	perSecond float64 // what the endpoint states; 0 for nothing
	received  []time.Time
}

// delivery is a statement on its way to a router.
type delivery struct {
	at, made  time.Time
	to        int
	statement Statement
}

const gossipDelay = 200 * time.Millisecond

func newSimulation(routers int, perSecond float64, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), clock: clock.NewFake(time.Unix(1000, 0)), network: bus.NewNetwork(),
		suspected: make(map[int]map[bus.ID]bool), start: Start{Endpoint: "i-1", StartedMs: 1}, perSecond: perSecond,
	}
	for i := range routers {
		s.ids = append(s.ids, bus.ID{VM: fmt.Sprintf("vm-%03d", i), Incarnation: "1"})
	}
	for i := range routers {
		s.routers = append(s.routers, s.newRouter(i))
	}
	return s
}

func (s *simulation) newRouter(i int) *Limits {
	return New(Options{
		Bus: s.network.Join(bus.Peer{ID: s.ids[i]}), Clock: s.clock, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		Governor: func(string) bus.ID {
			if s.alone {
				return s.ids[i]
			}
			for _, id := range s.ids {
				if !s.suspected[i][id] {
					return id
				}
			}
			return s.ids[i]
		},
		Publish: func(statement Statement) {
			for to := range s.ids {
				if to != i {
					s.pending = append(s.pending, delivery{s.clock.Now().Add(gossipDelay), s.clock.Now(), to, statement})
				}
			}
		},
	})
}

// send has a router send a request, if it may, and reports whether it did.
func (s *simulation) send(i int) bool {
	r := s.routers[i]
	if r.Closed(s.start) > 0 || !r.Acquire(context.Background(), s.start) {
		return false
	}
	s.received = append(s.received, s.clock.Now())
	r.Learn(s.start, s.perSecond, s.clock.Now().Add(-time.Millisecond))
	return true
}

// run lets requests arrive at all routers for a time.
func (s *simulation) run(length, every time.Duration) {
	const step = 5 * time.Millisecond
	for range length / step {
		s.clock.Advance(step)
		var waiting []delivery
		for _, d := range s.pending {
			if s.clock.Now().Before(d.at) {
				waiting = append(waiting, d)
				continue
			}
			s.routers[d.to].Receive(d.statement, d.made)
		}
		s.pending = waiting
		for range len(s.routers) {
			if s.random.Float64() < step.Seconds()/every.Seconds()/float64(len(s.routers)) {
				s.send(s.random.IntN(len(s.routers)))
			}
		}
	}
}

// busiestWindow returns the most requests in a window that begins at or after from.
func (s *simulation) busiestWindow(from time.Time) int {
	most := 0
	for i, first := range s.received {
		n := 0
		for _, at := range s.received[i:] {
			if at.Sub(first) < windowTime {
				n++
			}
		}
		if !first.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// since returns the number of requests since a time.
func (s *simulation) since(from time.Time) int {
	n := 0
	for _, at := range s.received {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// TestLimitHoldsForTheFleet guards against routers that together exceed a limit, and
// against an endpoint that gets much less than it takes.
func TestLimitHoldsForTheFleet(t *testing.T) {
	for _, routers := range []int{1, 9, 195} {
		for _, perSecond := range []float64{0.4, 1.5, 20} {
			t.Run(fmt.Sprintf("%d routers, %g a second", routers, perSecond), func(t *testing.T) {
				for seed := range uint64(5) {
					s := newSimulation(routers, perSecond, seed)
					first := s.clock.Now()
					s.run(30*time.Second, 10*time.Millisecond)
					most := s.busiestWindow(first.Add(contactTime))
					assert.Assert(t, most <= allowed(perSecond), "seed %d: %d requests, allowed %d", seed, most, allowed(perSecond))
					got := float64(s.since(first.Add(contactTime))) / 27
					assert.Assert(t, got >= perSecond/2, "seed %d: %.2f requests a second", seed, got)
				}
			})
		}
	}
}

// TestRoutersThatKeepToTheLimitAloneExceedIt shows that the load of
// TestLimitHoldsForTheFleet breaks a limit to which each router keeps by itself.
func TestRoutersThatKeepToTheLimitAloneExceedIt(t *testing.T) {
	s := newSimulation(9, 1.5, 1)
	s.alone = true
	first := s.clock.Now()
	s.run(30*time.Second, 10*time.Millisecond)
	assert.Assert(t, s.busiestWindow(first.Add(contactTime)) > allowed(1.5))
}

// TestLimitHoldsWhileGovernorsChange guards against a governor that follows another one
// and doubles what the endpoint gets, and against an endpoint that gets nothing after
// its governor has died.
func TestLimitHoldsWhileGovernorsChange(t *testing.T) {
	const perSecond = 1.5
	for _, c := range []struct {
		name   string
		change func(s *simulation)
	}{
		{"governor dies", func(s *simulation) {
			s.network.Remove(s.ids[0])
			for i := range s.routers {
				s.suspected[i] = map[bus.ID]bool{s.ids[0]: true}
			}
		}},
		{"two believe that they are", func(s *simulation) {
			for i := range s.routers {
				if i%2 == 1 {
					s.suspected[i] = map[bus.ID]bool{s.ids[0]: true}
				}
			}
		}},
		{"governor wakes", func(s *simulation) {
			for i := range s.routers {
				s.suspected[i] = map[bus.ID]bool{s.ids[0]: true}
			}
			s.run(4*time.Second, 10*time.Millisecond)
			clear(s.suspected)
		}},
		{"governor was never told and has just started", func(s *simulation) { s.routers[0] = s.newRouter(0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSimulation(9, perSecond, seed)
				first := s.clock.Now()
				s.run(8*time.Second, 10*time.Millisecond)
				c.change(s)
				changed := s.clock.Now()
				s.run(8*time.Second, 10*time.Millisecond)
				most := s.busiestWindow(first.Add(contactTime))
				assert.Assert(t, most <= allowed(perSecond), "seed %d: %d requests, allowed %d", seed, most, allowed(perSecond))
				after := s.since(changed.Add(time.Second))
				assert.Assert(t, after >= 5, "seed %d: %d requests in 7 s after the change, of 10 that the limit allows", seed, after)
			}
		})
	}
}

// TestUnreachableGovernorClosesEndpoint guards against a router that sends without a
// permit because it cannot ask.
func TestUnreachableGovernorClosesEndpoint(t *testing.T) {
	s := newSimulation(3, 1.5, 1)
	s.run(time.Second, 20*time.Millisecond)
	s.network.SetPartitioned(s.ids[0], s.ids[2], true)
	s.clock.Advance(10 * time.Second)
	assert.Assert(t, !s.send(2))
	assert.Assert(t, s.routers[2].Closed(s.start) > 0)
	s.clock.Advance(10 * time.Second)
	assert.Assert(t, s.send(1))
}

// TestPermitThatNobodyWaitsForDoesNotCloseEndpoint guards against an endpoint that is closed
// for all requests since one stopped waiting for a permit.
func TestPermitThatNobodyWaitsForDoesNotCloseEndpoint(t *testing.T) {
	s := newSimulation(3, 1.5, 1)
	s.run(time.Second, 20*time.Millisecond)
	s.clock.Advance(10 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.network.SetPartitioned(s.ids[0], s.ids[2], true)
	assert.Assert(t, !s.routers[2].Acquire(ctx, s.start))
	assert.Equal(t, s.routers[2].Closed(s.start), time.Duration(0))
	s.network.SetPartitioned(s.ids[0], s.ids[2], false)
	assert.Assert(t, s.send(2))
}

// TestLimitFollowsWhatTheEndpointSays guards against a limit that outlives its
// statement, and against an older response that revives or ends it.
func TestLimitFollowsWhatTheEndpointSays(t *testing.T) {
	s := newSimulation(2, 1.5, 1)
	assert.Assert(t, s.send(0))
	s.clock.Advance(gossipDelay)
	s.run(5*time.Millisecond, time.Hour)
	for _, r := range s.routers {
		assert.Equal(t, r.table.limited.Load(), int64(1))
	}
	sentBefore := s.clock.Now().Add(-time.Second)
	s.routers[0].Learn(s.start, 0, sentBefore)
	assert.Equal(t, s.routers[0].table.limited.Load(), int64(1), "the request was sent before the limit was stated")
	s.routers[1].Receive(Statement{Start: s.start, PerSecond: 0}, sentBefore)
	assert.Equal(t, s.routers[1].table.limited.Load(), int64(1))
	s.clock.Advance(time.Second)
	s.routers[0].Learn(s.start, 40, s.clock.Now())
	perSecond, _ := s.routers[0].table.limit(s.start)
	assert.Equal(t, perSecond, 40.0)
	for s.send(0) {
	}
	assert.Assert(t, s.routers[0].Closed(s.start) > 0)
	s.clock.Advance(time.Millisecond)
	s.routers[0].Learn(s.start, 0, s.clock.Now())
	assert.Equal(t, s.routers[0].Closed(s.start), time.Duration(0), "nothing is closed without a limit")
	s.run(2*gossipDelay, time.Hour)
	for _, r := range s.routers {
		assert.Equal(t, r.table.limited.Load(), int64(0))
	}
	again := Start{Endpoint: s.start.Endpoint, StartedMs: 2}
	s.routers[0].Learn(s.start, 1.5, s.clock.Now())
	assert.Assert(t, s.routers[0].Acquire(context.Background(), again), "a new start of the endpoint has no limit")
	for range 40 {
		s.clock.Advance(retention / 10)
		s.routers[0].Prune()
	}
	assert.Equal(t, len(s.routers[0].table.states), 0)
	assert.Assert(t, s.routers[0].None())
}

// TestStatementsThatAreNoLimits guards against a peer that tells what is no limit.
func TestStatementsThatAreNoLimits(t *testing.T) {
	s := newSimulation(1, 0, 1)
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		s.routers[0].Receive(Statement{Start: s.start, PerSecond: perSecond}, s.clock.Now())
		assert.Equal(t, s.routers[0].table.limited.Load(), int64(0), "%g", perSecond)
	}
	for i := range 2 * maxStates {
		s.routers[0].Receive(Statement{Start: Start{Endpoint: fmt.Sprint("i-", i)}, PerSecond: 1}, s.clock.Now())
	}
	assert.Equal(t, len(s.routers[0].table.states), maxStates)
	for i := range 3 * maxInvalid {
		s.routers[0].LogInvalid(Start{Endpoint: fmt.Sprint("i-", i)}, "many")
	}
	assert.Assert(t, len(s.routers[0].invalid) <= maxInvalid)
}

// TestRefusedEndpointGetsNoRequests guards against requests to an endpoint before the time
// that it has stated in a refusal is over, and against applying that to a later start.
func TestRefusedEndpointGetsNoRequests(t *testing.T) {
	s := newSimulation(1, 0, 1)
	limits := s.routers[0]
	later := Start{Endpoint: s.start.Endpoint, StartedMs: s.start.StartedMs + 1}
	limits.Refuse(s.start, 0)
	assert.Assert(t, limits.None())
	limits.Refuse(s.start, 2*time.Second)
	limits.Refuse(s.start, time.Second) // overtaken by the first
	assert.Assert(t, !limits.None())
	s.clock.Advance(1500 * time.Millisecond)
	limits.Prune()
	assert.Assert(t, !limits.Acquire(t.Context(), s.start))
	assert.Equal(t, limits.Closed(s.start), 500*time.Millisecond)
	assert.Assert(t, limits.Acquire(t.Context(), later))
	assert.Equal(t, limits.Closed(later), time.Duration(0))
	s.clock.Advance(500 * time.Millisecond)
	assert.Assert(t, limits.Acquire(t.Context(), s.start))
	assert.Equal(t, limits.Closed(s.start), time.Duration(0))
	s.clock.Advance(time.Millisecond)
	limits.Prune()
	assert.Assert(t, limits.None())
}
