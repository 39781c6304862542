package placement_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
)

func candidates(loads ...float64) []placement.Candidate {
	var list []placement.Candidate
	for i, load := range loads {
		list = append(list, placement.Candidate{ID: fmt.Sprintf("i-%d", i), Load: load, Slots: 64})
	}
	return list
}

func TestChooseNone(t *testing.T) {
	assert.Equal(t, placement.Choose(nil, 1, 0), -1)
}

func TestWithoutPromptTheLeastLoaded(t *testing.T) {
	assert.Equal(t, placement.Choose(candidates(5, 2, 9), 0, 7), 1)
}

// TestSharedPromptMovesLittle: the same prompt goes to one endpoint, and when an
// endpoint leaves only its own prompts move.
func TestSharedPromptMovesLittle(t *testing.T) {
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

// TestHotPromptSpreads plays 200 requests at once for one prompt: no endpoint
// gets far more than its part, by the bound on the load.
func TestHotPromptSpreads(t *testing.T) {
	all := candidates(0, 0, 0, 0)
	for range 200 {
		all[placement.Choose(all, 42, rand.Uint64())].Load++
	}
	for _, c := range all {
		assert.Assert(t, c.Load <= 1.3*50+4+1, "%s has %v", c.ID, c.Load)
	}
}

// prefixes plays the load of the first sites: nine endpoints, 130 shared prompts
// at 35 requests a second that each run 300 ms. It returns the share of requests
// whose endpoint had read the shared prompt before.
func prefixes(choose func(list []placement.Candidate, prompt uint64) int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	list := candidates(0, 0, 0, 0, 0, 0, 0, 0, 0)
	known := make(map[string]bool)
	hits, ends := 0, make([]int, 0)
	const requests, inFlight = 1200, 11
	for range requests {
		prompt := uint64(random.IntN(130)) + 1
		i := choose(list, prompt)
		key := fmt.Sprint(i, prompt)
		if known[key] {
			hits++
		}
		known[key] = true
		list[i].Load++
		if ends = append(ends, i); len(ends) > inFlight {
			list[ends[0]].Load--
			ends = ends[1:]
		}
	}
	return float64(hits) / requests
}

// TestSharedPromptsAreReadOnce compares with placement by load alone.
func TestSharedPromptsAreReadOnce(t *testing.T) {
	ours := prefixes(func(list []placement.Candidate, prompt uint64) int {
		return placement.Choose(list, prompt, rand.Uint64())
	})
	naive := prefixes(func(list []placement.Candidate, _ uint64) int { return placement.Choose(list, 0, rand.Uint64()) })
	t.Logf("prompt known at the endpoint: %.3f by prompt, %.3f by load alone", ours, naive)
	assert.Assert(t, ours > 0.85, "%.3f", ours)
	assert.Assert(t, naive < ours-0.2, "%.3f against %.3f", naive, ours)
}

func newBalancer() (*placement.Balancer, *clock.Fake) {
	c := clock.NewFake(time.Unix(1000, 0))
	return placement.NewBalancer(placement.DefaultSettings(), "a", c, slog.New(slog.NewTextHandler(io.Discard, nil))), c
}

func list(n int) []endpoints.Endpoint {
	var out []endpoints.Endpoint
	for i := range n {
		out = append(out, endpoints.Endpoint{ID: fmt.Sprintf("i-%d", i), Pool: "app", Slots: 6})
	}
	return out
}

// share plays n requests with an outcome by endpoint and returns the part that
// went to i-0.
func share(b *placement.Balancer, c *clock.Fake, n int, outcome func(id string) placement.Observation) float64 {
	bad := 0
	for range n {
		choice, _ := b.Begin(list(3), 0, nil)
		if choice.Endpoint.ID == "i-0" {
			bad++
		}
		c.Advance(40 * time.Millisecond)
		b.End(choice.Endpoint, outcome(choice.Endpoint.ID))
	}
	return float64(bad) / float64(n)
}

// TestFailingEndpointsGetLittle: silent, unreachable and failing endpoints are
// ejected, tried now and then, and return.
func TestFailingEndpointsGetLittle(t *testing.T) {
	for name, o := range map[string]placement.Observation{"silent": placement.Stalled, "unreachable": placement.Unreachable, "failing": placement.Failed} {
		b, c := newBalancer()
		got := share(b, c, 600, func(id string) placement.Observation {
			if id == "i-0" {
				return o
			}
			return placement.Succeeded
		})
		assert.Assert(t, got < 0.1, "%s: %.3f", name, got)
		c.Advance(10 * time.Second)
		got = share(b, c, 600, func(string) placement.Observation { return placement.Succeeded })
		assert.Assert(t, got > 0.2, "%s again: %.3f", name, got)
	}
}

// TestFailuresOfAllEjectNone: where every endpoint fails alike, none is worse.
func TestFailuresOfAllEjectNone(t *testing.T) {
	b, c := newBalancer()
	got := share(b, c, 600, func(string) placement.Observation { return placement.Failed })
	assert.Assert(t, got > 0.2, "%.3f", got)
}

func TestEjectedEndpointIsBetterThanNone(t *testing.T) {
	b, _ := newBalancer()
	choice, _ := b.Begin(list(1), 0, nil)
	b.End(choice.Endpoint, placement.Unreachable)
	_, ok := b.Begin(list(1), 0, nil)
	assert.Assert(t, ok)
}

func TestAffinity(t *testing.T) {
	part := func(ids ...string) *exchange.Generation {
		g := &exchange.Generation{Model: "m"}
		for _, id := range ids {
			g.Segments = append(g.Segments, exchange.Segment{ID: id, Tokens: 100})
		}
		return g
	}
	assert.Equal(t, placement.Affinity(nil), uint64(0))
	assert.Equal(t, placement.Affinity(part()), uint64(0))
	assert.Equal(t, placement.Affinity(part("a", "b", "own-1")), placement.Affinity(part("a", "b", "own-2")))
	assert.Assert(t, placement.Affinity(part("a", "b", "own-1")) != placement.Affinity(part("a", "c", "own-1")))
}
