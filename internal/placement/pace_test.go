package placement_test

import (
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

// newPace returns a controller in whose active pool "app" the listed endpoints are known.
func newPace(c clock.Clock, list []endpoints.Endpoint) *pace.Controller {
	p := pace.New(c, slog.New(slog.DiscardHandler), metrics.NewSet())
	p.SetActive([]string{"app"})
	p.Replace(list)
	return p
}

// slowStart is a naive alternative: a factor that only follows the time since the start of
// i-9, and is 1 at once without a duration.
type slowStart struct {
	clock *clock.Fake
	over  time.Duration
}

func (s slowStart) AnyLow() bool                { return true }
func (s slowStart) Observe(string, pace.Sample) {}
func (s slowStart) Ejected(string, time.Time)   {}
func (s slowStart) MarkActive(string)           {}
func (s slowStart) Factor(id string) float64 {
	if id != "i-9" || s.over == 0 {
		return 1
	}
	return min(max(s.clock.Now().Sub(playStart).Seconds()/s.over.Seconds(), pace.MinFactor), 1)
}

// The play: 70 routers send 200 requests per second to endpoints that execute 8 requests
// at once in 200 ms each. The tenth endpoint starts at playStart. While it is cold, it
// executes 2 at once in 600 ms each. Endpoints refuse further requests.
const (
	playRouters = 70
	playRate    = 200
	playShare   = playRate / 10
	playSeconds = 70
	playStep    = 10 * time.Millisecond
)

var playStart = time.Unix(1005, 0)

// play returns the requests that the tenth endpoint received and refused per second.
// Without a slow start, routers use package pace.
func play(cold time.Duration, affine bool, naive *slowStart) (received, refused [playSeconds]int) {
	type execution struct {
		router        *placement.Balancer
		choice        placement.Choice
		begun, endsAt time.Time
	}
	fake, random := clock.NewFake(playStart.Add(-5*time.Second)), rand.New(rand.NewPCG(3, 5))
	all := endpointList(10)
	index := make(map[string]int)
	for i := range all {
		all[i].Slots, index[all[i].ID] = 8, i
	}
	var routers []*placement.Balancer
	var paces []*pace.Controller
	for range playRouters {
		b := placement.NewBalancer(placement.DefaultSettings(), "a", fake, slog.New(slog.DiscardHandler))
		if routers = append(routers, b); naive != nil {
			b.SetPace(slowStart{fake, naive.over})
			continue
		}
		paces = append(paces, newPace(fake, all[:9]))
		b.SetPace(paces[len(paces)-1])
	}
	known, due := all[:9], 0.0
	var running [10][]execution
	for ; fake.Now().Before(playStart.Add(playSeconds * time.Second)); fake.Advance(playStep) {
		now := fake.Now()
		if now.Equal(playStart) {
			known = all
			for _, p := range paces {
				p.Replace(known)
			}
		}
		for i, list := range running {
			running[i] = list[:0]
			for _, x := range list {
				if now.Before(x.endsAt) {
					running[i] = append(running[i], x)
					continue
				}
				x.router.ObserveResponse(x.choice.Endpoint, now.Sub(x.begun), false, exchange.Response{})
				x.router.Report(x.choice.Endpoint.ID, exchange.Load{Running: len(list), Slots: 8})
				x.router.End(x.choice, placement.Succeeded)
			}
		}
		for due += playRate * playStep.Seconds() * 2 * random.Float64(); due >= 1; due-- {
			router, prompt, excluded := routers[random.IntN(playRouters)], uint64(0), make(map[string]bool)
			if affine {
				prompt = random.Uint64N(400) + 1
			}
			for range 3 { // attempts
				choice, _ := router.Begin(known, placement.Request{Affinity: prompt}, excluded)
				e, slots, takes := choice.Endpoint, 8, 200*time.Millisecond
				i, second := index[e.ID], int(now.Sub(playStart)/time.Second)
				if i == 9 {
					received[second]++
					if now.Before(playStart.Add(cold)) {
						slots, takes = 2, 600*time.Millisecond
					}
				}
				if len(running[i]) < slots {
					running[i] = append(running[i], execution{router, choice, now, now.Add(takes)})
					break
				}
				if i == 9 {
					refused[second]++
				}
				excluded[e.ID] = true
				report := exchange.Load{Running: len(running[i]), Slots: 8}
				router.Report(e.ID, report)
				router.ObserveResponse(e, 0, false, exchange.Response{NotExecuted: true, Load: &report})
				router.End(choice, placement.AtCapacity)
			}
		}
	}
	return received, refused
}

// sum returns the sum of counts.
func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// TestStartedEndpointIsNeitherFloodedNorIdle guards against routers that together flood an
// endpoint that has just started, and against ones that leave it idle long after it is
// warm. Full share at once and a fixed slow start that ends before the cold phase flood
// it; a fixed slow start that is long enough for every cold phase leaves it idle.
func TestStartedEndpointIsNeitherFloodedNorIdle(t *testing.T) {
	for _, affine := range []bool{false, true} {
		figures := func(name string, naive *slowStart) (early, refusals, full int) {
			received, _ := play(3*time.Second, affine, naive)
			long, refused := play(30*time.Second, affine, naive)
			// The full share is reached at 0.8 of it, as the mean of 5 s.
			for full < playSeconds-5 && sum(received[full:full+5]) < 5*playShare*8/10 {
				full++
			}
			early, refusals = sum(received[:3]), sum(refused[:30])
			t.Logf("affinity %v, %s: %d requests in the first 3 s, full share after %d s; if cold for 30 s, %d refused, per second %v",
				affine, name, early, full, refusals, long[:50])
			return early, refusals, full
		}
		early, refusals, full := figures("pace", nil)
		assert.Check(t, early < 3*playShare/2, "%d requests while cold", early)
		assert.Check(t, full <= int(pace.RampTime.Seconds())+4, "full share after %d s", full)

		atOnce, atOnceRefusals, _ := figures("full share at once", &slowStart{})
		// With an affinity the new endpoint gets only its prompts, but these at once.
		assert.Check(t, atOnce > 2*early && (affine || atOnce > 4*playShare), "%d requests while cold", atOnce)
		assert.Check(t, 2*refusals < atOnceRefusals, "%d refused, %d with full share at once", refusals, atOnceRefusals)

		_, shortRefusals, _ := figures("slow start over 8 s", &slowStart{over: pace.RampTime})
		assert.Check(t, 2*refusals < shortRefusals, "%d refused, %d with a fixed slow start", refusals, shortRefusals)

		_, _, longFull := figures("slow start over 60 s", &slowStart{over: time.Minute})
		assert.Check(t, longFull > 2*full+10, "full share after %d s with a long slow start", longFull)
	}
}

// TestEjectedEndpointReturnsByItsPace guards against an endpoint that has its full share
// at once when its ejection ends, and against one that does not get it back.
func TestEjectedEndpointReturnsByItsPace(t *testing.T) {
	const runs = 10
	succeed := func(string) placement.Observation { return placement.Succeeded }
	for _, paced := range []bool{true, false} {
		early, late := 0.0, 0.0
		for range runs {
			b, c := newBalancer()
			if paced {
				b.SetPace(newPace(c, endpointList(3)))
			}
			shareOfFirstEndpoint(b, c, 100, succeed)
			b.Suspect(endpointList(3)[0])
			c.Advance(placement.DefaultSettings().EjectFor + time.Millisecond)
			early += shareOfFirstEndpoint(b, c, 50, succeed) / runs // 2 s
			c.Advance(pace.RampTime)
			late += shareOfFirstEndpoint(b, c, 300, succeed) / runs
		}
		t.Logf("paced %v: %.3f of the requests in 2 s, later %.3f", paced, early, late)
		assert.Check(t, early < 0.2 == paced && late > 0.25)
	}
}

// TestPaceWithoutOtherEndpoints guards against refused requests when all endpoints have a low
// factor, as after a restart of a whole pool, and against an uneven split then. Before, with
// all factors 1 and another low endpoint in the controller, choices must be as without pace.
func TestPaceWithoutOtherEndpoints(t *testing.T) {
	list := endpointList(3)
	b, c := newBalancer()
	p := newPace(c, list)
	b.SetPace(p)
	p.Set(endpoints.Endpoint{ID: "other", Pool: "app"})
	assert.Assert(t, p.AnyLow())
	plain, _ := newBalancer()
	for prompt := range uint64(300) {
		want, _ := plain.Begin(list, placement.Request{Affinity: prompt + 1}, nil)
		got, _ := b.Begin(list, placement.Request{Affinity: prompt + 1}, nil)
		assert.DeepEqual(t, got, want)
		plain.End(want, placement.Inconclusive)
		b.End(got, placement.Inconclusive)
	}
	for _, e := range list {
		p.Started(e.ID, c.Now())
	}
	for _, affinity := range []uint64{0, 42} {
		chosen := make(map[string]int)
		for range 300 {
			choice, ok := b.Begin(list, placement.Request{Affinity: affinity}, nil)
			assert.Assert(t, ok && p.Factor(choice.Endpoint.ID) == pace.MinFactor)
			b.End(choice, placement.Inconclusive)
			chosen[choice.Endpoint.ID]++
		}
		assert.Check(t, affinity != 0 || len(chosen) == 3, "%v", chosen)
	}
}

// TestLoadOfAnotherEndpointDoesNotChangePace guards against an endpoint that gets a low pace,
// or a pool without slowness that gets paces at all, by the load of another endpoint that
// responds at its address.
func TestLoadOfAnotherEndpointDoesNotChangePace(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	log := slog.New(slog.DiscardHandler)
	p := pace.New(fake, log, metrics.NewSet())
	e := endpoints.Endpoint{ID: "i-1", Pool: "app", Slots: 8}
	p.Replace([]endpoints.Endpoint{e})
	b := placement.NewBalancer(placement.DefaultSettings(), "", fake, log)
	b.SetPace(p)
	for range 3 {
		b.ObserveResponse(e, 0, false, exchange.Response{WrongInstance: true, Load: &exchange.Load{Slots: 8, Slowness: 900}})
		fake.Advance(time.Second)
	}
	p.Observe("i-1", pace.Sample{Failed: true})
	assert.Equal(t, p.Factor("i-1"), 1.0)
}
