package placement_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/pace"
	"daisyslip.dev/daisyslip/internal/placement"
)

// slowStart is the naive alternative: a factor that only follows the time since the
// start.
type slowStart struct {
	id    string
	clock clock.Clock
	from  time.Time
	over  time.Duration
}

func (s slowStart) AnyLow() bool                { return true }
func (s slowStart) Observe(string, pace.Sample) {}
func (s slowStart) Ejected(string, time.Time)   {}
func (s slowStart) MarkActive(string)           {}
func (s slowStart) Factor(id string) float64 {
	if id != s.id {
		return 1
	}
	return min(max(s.clock.Now().Sub(s.from).Seconds()/s.over.Seconds(), pace.MinFactor), 1)
}

// play is a pool of 9 endpoints with 8 slots each at 70 routers. Each endpoint executes
// a request in 200 ms and refuses requests beyond its slots. A tenth endpoint starts at
// second 0 and works with coldSlots slots, each a third as fast, until cold has passed.
type play struct {
	cold      time.Duration
	coldSlots int
	affinity  bool
	// pacer returns the pacer of one router.
	pacer func(c clock.Clock) placement.Pacer
}

const (
	playRouters   = 70
	playEndpoints = 10
	playSlots     = 8
	playRate      = 200 // requests per second of all routers, 20 for each endpoint
	playSeconds   = 70
	playStep      = 10 * time.Millisecond
)

// playResult is what the tenth endpoint got.
type playResult struct {
	received, refused [playSeconds]int // per second
}

// sum returns the sum of the first n seconds.
func sum(perSecond []int, n int) (total int) {
	for _, v := range perSecond[:n] {
		total += v
	}
	return total
}

// fullAfter returns the second from which on the endpoint got at least 0.8 of the share
// of an endpoint, as the mean of 5 seconds.
func (r playResult) fullAfter() int {
	for s := 0; s+5 <= playSeconds; s++ {
		if 10*(sum(r.received[:], s+5)-sum(r.received[:], s)) >= 8*5*playRate/playEndpoints {
			return s
		}
	}
	return playSeconds
}

// run plays the pool in simulated time.
func (p play) run(t *testing.T) playResult {
	t.Helper()
	type running struct {
		router int
		choice placement.Choice
		begun  time.Time
		ends   time.Time
	}
	fake, random := clock.NewFake(time.Unix(1000, 0)), rand.New(rand.NewPCG(3, 5))
	list := endpointList(playEndpoints)
	for i := range list {
		list[i].Slots = playSlots
	}
	var balancers []*placement.Balancer
	var pacers []placement.Pacer
	for range playRouters {
		b, pacer := placement.NewBalancer(placement.DefaultSettings(), "a", fake, slog.New(slog.DiscardHandler)), p.pacer(fake)
		if pacer != nil {
			b.SetPace(pacer)
		}
		balancers, pacers = append(balancers, b), append(pacers, pacer)
	}
	const warmUp = 5 * time.Second
	var result playResult
	atEndpoint := make([][]running, playEndpoints)
	startAt := fake.Now().Add(warmUp)
	known := list[:playEndpoints-1]
	setLists := func() {
		for _, pacer := range pacers {
			if c, ok := pacer.(*pace.Controller); ok {
				c.Replace(known)
			}
		}
	}
	setLists()
	due := 0.0
	for fake.Now().Before(startAt.Add(playSeconds * time.Second)) {
		now := fake.Now()
		if now.Equal(startAt) {
			known = list
			setLists()
		}
		for i := range atEndpoint {
			left := atEndpoint[i][:0]
			for _, q := range atEndpoint[i] {
				if now.Before(q.ends) {
					left = append(left, q)
					continue
				}
				balancers[q.router].ObserveResponse(q.choice.Endpoint, now.Sub(q.begun), false, exchange.Response{})
				balancers[q.router].Report(q.choice.Endpoint.ID, exchange.Load{Running: len(atEndpoint[i]), Slots: playSlots})
				balancers[q.router].End(q.choice.Endpoint, placement.Succeeded)
			}
			atEndpoint[i] = left
		}
		for due += playRate * playStep.Seconds() * 2 * random.Float64(); due >= 1; due-- {
			router, affinity, excluded := random.IntN(playRouters), uint64(0), make(map[string]bool)
			if p.affinity {
				affinity = uint64(random.IntN(400)) + 1
			}
			for range 3 { // attempts
				choice, ok := balancers[router].Begin(known, affinity, excluded)
				assert.Assert(t, ok)
				excluded[choice.Endpoint.ID] = true
				var i, slots, takes = 0, playSlots, 200 * time.Millisecond
				_, err := fmt.Sscanf(choice.Endpoint.ID, "i-%d", &i)
				assert.NilError(t, err)
				second := -1
				if i == playEndpoints-1 {
					second = int(now.Sub(startAt) / time.Second)
					result.received[second]++
					if now.Before(startAt.Add(p.cold)) {
						slots, takes = p.coldSlots, 3*takes
					}
				}
				if load := len(atEndpoint[i]); load >= slots {
					if second >= 0 {
						result.refused[second]++
					}
					report := exchange.Load{Running: load, Slots: playSlots}
					balancers[router].Report(choice.Endpoint.ID, report)
					balancers[router].ObserveResponse(choice.Endpoint, 0, false, exchange.Response{NotExecuted: true, Load: &report})
					balancers[router].End(choice.Endpoint, placement.AtCapacity)
					continue
				}
				atEndpoint[i] = append(atEndpoint[i], running{router, choice, now, now.Add(takes)})
				break
			}
		}
		fake.Advance(playStep)
	}
	return result
}

// ownPace returns this package's pace with an active pool.
func ownPace(c clock.Clock) placement.Pacer {
	controller := pace.New(c, slog.New(slog.DiscardHandler), metrics.NewSet())
	controller.SetActive([]string{"app"})
	return controller
}

func fixedSlowStart(over time.Duration) func(clock.Clock) placement.Pacer {
	return func(c clock.Clock) placement.Pacer {
		return slowStart{id: "i-9", clock: c, from: c.Now().Add(5 * time.Second), over: over}
	}
}

// TestStartedEndpointIsNeitherFloodedNorIdle guards against routers that together flood an
// endpoint that has just started, and against ones that leave it idle long after it is
// warm. Full share at once and a fixed slow start that ends before the cold phase flood
// it; a fixed slow start that is long enough for every cold phase leaves it idle.
func TestStartedEndpointIsNeitherFloodedNorIdle(t *testing.T) {
	const share = playRate / playEndpoints
	for _, affinity := range []bool{false, true} {
		figures := func(name string, pacer func(clock.Clock) placement.Pacer) (early, refused, full int) {
			short := play{cold: 3 * time.Second, coldSlots: 2, affinity: affinity, pacer: pacer}.run(t)
			long := play{cold: 30 * time.Second, coldSlots: 2, affinity: affinity, pacer: pacer}.run(t)
			early, refused, full = sum(short.received[:], 3), sum(long.refused[:], 30), short.fullAfter()
			t.Logf("affinity %v, %s: %d requests in the first 3 s, of which %d refused; full share after %d s; if cold for 30 s, %d refused and full after %d s; per second %v",
				affinity, name, early, sum(short.refused[:], 3), full, refused, long.fullAfter(), long.received[:45])
			return early, refused, full
		}
		early, refused, full := figures("pace", ownPace)
		assert.Check(t, early < 3*share/2, "%d requests while cold", early)
		assert.Check(t, full <= int(pace.RampTime.Seconds())+4, "full share after %d s", full)

		atOnceEarly, atOnceRefused, _ := figures("full share at once", func(clock.Clock) placement.Pacer { return nil })
		// With an affinity the least loaded endpoint gets only its prompts, and these at once.
		assert.Check(t, atOnceEarly > 2*early, "%d requests while cold, %d with pace", atOnceEarly, early)
		assert.Check(t, affinity || atOnceEarly > 4*share, "%d requests while cold", atOnceEarly)
		assert.Check(t, 2*refused < atOnceRefused, "%d refused, %d with full share at once", refused, atOnceRefused)

		_, shortRefused, _ := figures("slow start over 8 s", fixedSlowStart(pace.RampTime))
		assert.Check(t, 2*refused < shortRefused, "%d refused, %d with a fixed slow start", refused, shortRefused)

		_, _, longFull := figures("slow start over 60 s", fixedSlowStart(time.Minute))
		assert.Check(t, longFull > 2*full+10, "full share after %d s with a long slow start", longFull)
	}
}

// TestEjectedEndpointReturnsByItsPace guards against an endpoint that has its full share
// at once when its ejection ends, and against one that does not get it back.
func TestEjectedEndpointReturnsByItsPace(t *testing.T) {
	shares := func(pacer func(clock.Clock) placement.Pacer) (early, late float64) {
		b, c := newBalancer()
		if p, ok := pacer(c).(*pace.Controller); ok {
			p.Replace(endpointList(3))
			b.SetPace(p)
		}
		succeed := func(string) placement.Observation { return placement.Succeeded }
		shareOfFirstEndpoint(b, c, 100, succeed)
		b.Suspect(endpointList(3)[0])
		c.Advance(placement.DefaultSettings().EjectFor + time.Millisecond)
		early = shareOfFirstEndpoint(b, c, 50, succeed) // 2 s
		c.Advance(pace.RampTime)
		return early, shareOfFirstEndpoint(b, c, 300, succeed)
	}
	early, late := shares(ownPace)
	assert.Check(t, early < 0.2, "%.3f", early)
	assert.Check(t, late > 0.25, "%.3f", late)
	early, _ = shares(func(clock.Clock) placement.Pacer { return nil })
	assert.Check(t, early > 0.2, "%.3f without pace", early)
}

// TestPaceWithoutOtherEndpoints guards against refused requests when all endpoints have
// a low factor, as after a restart of a whole pool, and against an uneven split then.
func TestPaceWithoutOtherEndpoints(t *testing.T) {
	b, c := newBalancer()
	p := ownPace(c).(*pace.Controller)
	b.SetPace(p)
	list := endpointList(3)
	p.Replace(list)
	for _, e := range list {
		p.Started(e.ID, c.Now())
	}
	for _, affinity := range []uint64{0, 42} {
		count := make(map[string]int)
		for range 300 {
			choice, ok := b.Begin(list, affinity, nil)
			assert.Assert(t, ok)
			assert.Equal(t, p.Factor(choice.Endpoint.ID), pace.MinFactor)
			b.End(choice.Endpoint, placement.Inconclusive)
			count[choice.Endpoint.ID]++
		}
		assert.Check(t, affinity != 0 || len(count) == 3, "%v", count)
	}
}

// TestPaceKeepsChoiceInOtherPools guards against other choices in pools that are not
// active: the same prompts go to the same endpoints with and without pace.
func TestPaceKeepsChoiceInOtherPools(t *testing.T) {
	plain, c := newBalancer()
	paced, _ := newBalancer()
	p := ownPace(c).(*pace.Controller)
	paced.SetPace(p)
	p.Replace(append(endpointList(9), endpoints.Endpoint{ID: "other", Pool: "app"}))
	p.Started("other", c.Now())
	list := endpointList(9)
	for prompt := range uint64(300) {
		want, _ := plain.Begin(list, prompt+1, nil)
		got, _ := paced.Begin(list, prompt+1, nil)
		assert.DeepEqual(t, got, want)
		// Below the slots the choice is not random.
		plain.End(want.Endpoint, placement.Inconclusive)
		paced.End(got.Endpoint, placement.Inconclusive)
	}
}

// BenchmarkBeginWithPace measures a choice among 1,900 endpoints without and with endpoints
// at a low pace.
func BenchmarkBeginWithPace(bench *testing.B) {
	for _, low := range []int{0, 190} {
		bench.Run(fmt.Sprintf("low=%d", low), func(bench *testing.B) {
			b, c := newBalancer()
			p := ownPace(c).(*pace.Controller)
			b.SetPace(p)
			list := endpointList(1900)
			p.Replace(list)
			for _, e := range list[:low] {
				p.Started(e.ID, c.Now())
			}
			for bench.Loop() {
				choice, _ := b.Begin(list, 42, nil)
				b.End(choice.Endpoint, placement.Succeeded)
			}
		})
	}
}
