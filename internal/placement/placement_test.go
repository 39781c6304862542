package placement_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
)

// candidates returns one candidate of 64 slots for each load.
func candidates(loads ...float64) []placement.Candidate {
	var list []placement.Candidate
	for i, load := range loads {
		list = append(list, placement.Candidate{ID: fmt.Sprintf("i-%d", i), Load: load, Slots: 64})
	}
	return list
}

// TestChooseWithoutCandidates guards against an index into an empty list.
func TestChooseWithoutCandidates(t *testing.T) {
	assert.Equal(t, placement.Choose(nil, 1, 0), -1)
}

// TestChooseLeastLoadedWithoutSharedPrompt checks that without an affinity only the
// load decides, and not the random value.
func TestChooseLeastLoadedWithoutSharedPrompt(t *testing.T) {
	assert.Equal(t, placement.Choose(candidates(5, 2, 9), 0, 7), 1)
}

// TestRemovingEndpointMovesOnlyItsPrompts checks that a prompt is always placed at
// the same endpoint, and that the removal of one of nine endpoints moves only the
// prompts of that endpoint.
func TestRemovingEndpointMovesOnlyItsPrompts(t *testing.T) {
	all := candidates(1, 1, 1, 1, 1, 1, 1, 1, 1)
	moved := 0
	for prompt := range uint64(1000) {
		before := all[placement.Choose(all, prompt+1, rand.Uint64())].ID
		assert.Equal(t, all[placement.Choose(all, prompt+1, rand.Uint64())].ID, before)
		after := all[1:][placement.Choose(all[1:], prompt+1, 0)].ID
		if before != after {
			assert.Equal(t, before, "i-0")
			moved++
		}
	}
	assert.Assert(t, moved > 60 && moved < 170, "%d of 1000 moved", moved)
}

// TestPopularPromptIsSpread guards against one prompt overloading its endpoint:
// of 200 concurrent requests for one prompt, no endpoint gets more than the load
// limit allows.
func TestPopularPromptIsSpread(t *testing.T) {
	all := candidates(0, 0, 0, 0)
	for range 200 {
		all[placement.Choose(all, 42, rand.Uint64())].Load++
	}
	for _, c := range all {
		assert.Assert(t, c.Load <= 1.3*50+4+1, "%s has %v", c.ID, c.Load)
	}
}

// cacheHitShare simulates the load of the first sites: nine endpoints and 130
// shared prompts, at 35 requests per second that each take 300 ms. It returns the
// share of requests that were placed at an endpoint that had processed the shared
// prompt before.
func cacheHitShare(choose func(list []placement.Candidate, prompt uint64) int) float64 {
	generator := rand.New(rand.NewPCG(1, 2))
	list := candidates(0, 0, 0, 0, 0, 0, 0, 0, 0)
	cached := make(map[string]bool)
	hits, running := 0, make([]int, 0)
	const requests, inFlight = 1200, 11
	for range requests {
		prompt := uint64(generator.IntN(130)) + 1
		i := choose(list, prompt)
		key := fmt.Sprint(i, prompt)
		if cached[key] {
			hits++
		}
		cached[key] = true
		list[i].Load++
		if running = append(running, i); len(running) > inFlight {
			list[running[0]].Load--
			running = running[1:]
		}
	}
	return float64(hits) / requests
}

// TestSharedPromptsHitCaches guards against placement that ignores what endpoints
// have cached: placement by prompt must have clearly more cache hits than placement
// by load alone.
func TestSharedPromptsHitCaches(t *testing.T) {
	byPrompt := cacheHitShare(func(list []placement.Candidate, prompt uint64) int {
		return placement.Choose(list, prompt, rand.Uint64())
	})
	byLoad := cacheHitShare(func(list []placement.Candidate, _ uint64) int { return placement.Choose(list, 0, rand.Uint64()) })
	t.Logf("prompt known at the endpoint: %.3f by prompt, %.3f by load alone", byPrompt, byLoad)
	assert.Assert(t, byPrompt > 0.85, "%.3f", byPrompt)
	assert.Assert(t, byLoad < byPrompt-0.2, "%.3f against %.3f", byLoad, byPrompt)
}

// newBalancer returns a balancer with default settings, and its clock.
func newBalancer() (*placement.Balancer, *clock.Fake) {
	fake := clock.NewFake(time.Unix(1000, 0))
	return placement.NewBalancer(placement.DefaultSettings(), "a", fake, slog.New(slog.NewTextHandler(io.Discard, nil))), fake
}

// endpointList returns n endpoints of one pool, with ids from i-0.
func endpointList(n int) []endpoints.Endpoint {
	var out []endpoints.Endpoint
	for i := range n {
		out = append(out, endpoints.Endpoint{ID: fmt.Sprintf("i-%d", i), Pool: "app", Slots: 6})
	}
	return out
}

// shareOfFirstEndpoint simulates n consecutive requests, 40 ms each, at three
// endpoints, and returns the share of requests that were placed at i-0. observe
// returns the observation of a request at an endpoint.
func shareOfFirstEndpoint(b *placement.Balancer, c *clock.Fake, n int, observe func(id string) placement.Observation) float64 {
	chosen := 0
	for range n {
		choice, _ := b.Begin(endpointList(3), placement.Request{}, nil)
		if choice.Endpoint.ID == "i-0" {
			chosen++
		}
		c.Advance(40 * time.Millisecond)
		b.End(choice, observe(choice.Endpoint.ID))
	}
	return float64(chosen) / float64(n)
}

// TestFailingEndpointsAreEjectedAndReinstated checks that stalled, unreachable and
// failing endpoints get few requests, and their normal share again once they work.
func TestFailingEndpointsAreEjectedAndReinstated(t *testing.T) {
	for name, observation := range map[string]placement.Observation{"silent": placement.Stalled, "unreachable": placement.Unreachable, "failing": placement.Failed} {
		b, c := newBalancer()
		got := shareOfFirstEndpoint(b, c, 600, func(id string) placement.Observation {
			if id == "i-0" {
				return observation
			}
			return placement.Succeeded
		})
		assert.Assert(t, got < 0.1, "%s: %.3f", name, got)
		c.Advance(10 * time.Second)
		got = shareOfFirstEndpoint(b, c, 600, func(string) placement.Observation { return placement.Succeeded })
		assert.Assert(t, got > 0.2, "%s again: %.3f", name, got)
	}
}

// TestNoEjectionWhenAllEndpointsFail checks that an endpoint that fails no more
// often than the others keeps its share of requests.
func TestNoEjectionWhenAllEndpointsFail(t *testing.T) {
	b, c := newBalancer()
	got := shareOfFirstEndpoint(b, c, 600, func(string) placement.Observation { return placement.Failed })
	assert.Assert(t, got > 0.2, "%.3f", got)
}

// TestEjectedEndpointIsUsedIfNoOther guards against refusing requests because all
// endpoints are ejected.
func TestEjectedEndpointIsUsedIfNoOther(t *testing.T) {
	b, _ := newBalancer()
	choice, _ := b.Begin(endpointList(1), placement.Request{}, nil)
	b.End(choice, placement.Unreachable)
	_, ok := b.Begin(endpointList(1), placement.Request{}, nil)
	assert.Assert(t, ok)
}

// TestPollsDoNotEndProbe guards against further requests to an ejected endpoint during its
// probe, since a silent request asks again and again whether another endpoint is free.
func TestPollsDoNotEndProbe(t *testing.T) {
	b, c := newBalancer()
	both := endpointList(2)
	b.Suspect(both[0])
	c.Advance(placement.DefaultSettings().EjectFor + time.Millisecond)
	probe, ok := b.Begin(both[:1], placement.Request{}, nil)
	assert.Assert(t, ok)
	for range 3 {
		_, ok := b.BeginNotEjected(both[:1], placement.Request{}, nil)
		assert.Assert(t, !ok)
	}
	for range 20 {
		choice, ok := b.Begin(both, placement.Request{}, nil)
		assert.Assert(t, ok)
		assert.Equal(t, choice.Endpoint.ID, both[1].ID)
	}
	b.End(probe, placement.Succeeded)
}

// leastLoadedByRequests is the choice without an affinity that pools without slowness must
// keep.
func leastLoadedByRequests(list []placement.Candidate, random uint64) int {
	best, bestCost := -1, 0.0
	for offset := range list {
		i := (int(random%uint64(len(list))) + offset) % len(list)
		cost := list[i].Load
		if list[i].Local {
			cost -= 0.5
		}
		if list[i].Slots > 0 {
			cost /= float64(list[i].Slots)
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// byPromptAndRequests is the choice with an affinity that pools without slowness must keep.
func byPromptAndRequests(list []placement.Candidate, affinity, random uint64) int {
	sum := 0.0
	for _, c := range list {
		sum += c.Load
	}
	best, bestScore := -1, uint64(0)
	for i, c := range list {
		if c.Load > 1.3*sum/float64(len(list))+4 || c.Slots > 0 && c.Load >= float64(c.Slots) {
			continue
		}
		if score := placement.Rendezvous(affinity, c.ID); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return leastLoadedByRequests(list, random)
	}
	return best
}

// TestPoolsWithoutSlownessAreServedAsBefore guards against another choice for any request of
// a pool whose endpoints do not report four figures, under light, heavy and excessive load.
func TestPoolsWithoutSlownessAreServedAsBefore(t *testing.T) {
	generator := rand.New(rand.NewPCG(3, 4))
	for range 20000 {
		var list []placement.Candidate
		most := 1 + generator.IntN(30)
		for i := range 1 + generator.IntN(40) {
			list = append(list, placement.Candidate{ID: fmt.Sprintf("i-%d", i), Load: float64(generator.IntN(most)), Slots: generator.IntN(20), Local: generator.IntN(3) == 0})
		}
		affinity, random := generator.Uint64N(50)+1, generator.Uint64()
		assert.Equal(t, placement.Choose(list, 0, random), leastLoadedByRequests(list, random))
		assert.Equal(t, placement.Choose(list, affinity, random), byPromptAndRequests(list, affinity, random))
	}
}

// TestSlowEndpointIsNotTakenForIdle guards against requests to a machine that is slow at this
// moment because it has few requests.
func TestSlowEndpointIsNotTakenForIdle(t *testing.T) {
	list := candidates(2, 1)
	list[0].Slowness, list[1].Slowness = 100, 250
	assert.Equal(t, placement.Choose(list, 0, 0), 0)
}

// TestInvalidLoadIsLoggedOnceForEachEndpoint guards against a log that an endpoint with
// invalid reports fills, as each of its responses has one.
func TestInvalidLoadIsLoggedOnceForEachEndpoint(t *testing.T) {
	var lines strings.Builder
	b := placement.NewBalancer(placement.DefaultSettings(), "a", clock.NewFake(time.Unix(1000, 0)), slog.New(slog.NewTextHandler(&lines, nil)))
	for range 100 {
		b.LogInvalidLoad("i-0", "x")
		b.LogInvalidLoad("i-1", "y")
	}
	assert.Equal(t, strings.Count(lines.String(), "\n"), 2, "%s", lines.String())
}

// TestAffinityHashesSharedSegments checks that prompts that differ only in the last
// segment have the same affinity.
func TestAffinityHashesSharedSegments(t *testing.T) {
	generation := func(ids ...string) *exchange.Generation {
		g := &exchange.Generation{Model: "m"}
		for _, id := range ids {
			g.Segments = append(g.Segments, exchange.Segment{ID: id, Tokens: 100})
		}
		return g
	}
	assert.Equal(t, placement.Affinity(nil), uint64(0))
	assert.Equal(t, placement.Affinity(generation()), uint64(0))
	assert.Equal(t, placement.Affinity(generation("a", "b", "own-1")), placement.Affinity(generation("a", "b", "own-2")))
	assert.Assert(t, placement.Affinity(generation("a", "b", "own-1")) != placement.Affinity(generation("a", "c", "own-1")))
}
