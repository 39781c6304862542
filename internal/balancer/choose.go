package balancer

import (
	"math/rand/v2"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/placement"
)

// Candidate describes an endpoint that may get an attempt.
type Candidate struct {
	Member *catalog.Member
	// InFlight is the number of this router's unfinished attempts at the
	// endpoint.
	InFlight int
	// Load is the number of requests at the endpoint, of all routers,
	// multiplied by how much slower it is than the median of its pool.
	Load float64
	// Slots is the number of requests that the endpoint can run at once, or 0
	// if unknown.
	Slots int
	// CachedBlocks is the number of leading prefix blocks of the prompt that are
	// estimated to be in the endpoint's cache.
	CachedBlocks int
}

// Chooser selects one of the candidates and returns its index. There is always
// at least one candidate. Choose is called with Balancer.mu held, so it must not
// block or call the balancer.
type Chooser interface {
	Choose(promptBlocks []uint64, candidates []Candidate) int
}

// maxQueueFactor is the load, as a multiple of an endpoint's slots, from which a
// cached prefix no longer attracts requests to that endpoint.
const maxQueueFactor = 1.25

// prefixChooser selects the endpoint with the longest cached prefix among those
// whose load is within a bound. Ties, including prefixes that are cached
// nowhere, are decided by rendezvous hashing of the first block, so that all
// routers select the same endpoint before any cache event has arrived.
type prefixChooser struct {
	loadBound float64 // see Settings.LoadBound
}

// Choose implements Chooser. Without prefix blocks it uses the power of two
// choices; if every endpoint is over its bound, it selects the least loaded.
func (c prefixChooser) Choose(promptBlocks []uint64, candidates []Candidate) int {
	if len(promptBlocks) == 0 {
		return powerOfTwo(candidates)
	}
	maxLoad := c.maxLoad(candidates)
	best, bestScore := -1, uint64(0)
	for i, candidate := range candidates {
		if candidate.Load > maxLoad || saturated(candidate) {
			continue
		}
		score := placement.Rendezvous(promptBlocks[0], candidate.Member.Name)
		if best < 0 || candidate.CachedBlocks > candidates[best].CachedBlocks || candidate.CachedBlocks == candidates[best].CachedBlocks && score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return leastLoaded(candidates)
	}
	return best
}

// maxLoad returns the load up to which an endpoint may be selected for its
// cached prefix: LoadBound times the mean load, plus one request.
func (c prefixChooser) maxLoad(candidates []Candidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += candidate.Load
	}
	return c.loadBound*sum/float64(len(candidates)) + 1
}

// saturated reports whether a request would wait in the endpoint's queue for
// longer than a cached prefix can save.
func saturated(c Candidate) bool { return c.Slots > 0 && c.Load >= maxQueueFactor*float64(c.Slots) }

// leastLoaded returns the index of the candidate with the lowest load relative
// to its slots. The scan starts at a random position, so that ties do not always
// go to the same endpoint.
func leastLoaded(candidates []Candidate) int {
	start := rand.IntN(len(candidates))
	best := start
	for n := 1; n < len(candidates); n++ {
		i := (start + n) % len(candidates)
		if relativeLoad(candidates[i]) < relativeLoad(candidates[best]) {
			best = i
		}
	}
	return best
}

// relativeLoad returns the load per slot; unknown slots count as one.
func relativeLoad(c Candidate) float64 { return c.Load / float64(max(c.Slots, 1)) }

// powerOfTwo draws two candidates at random and returns the index of the less
// loaded one.
func powerOfTwo(candidates []Candidate) int {
	first, second := rand.IntN(len(candidates)), rand.IntN(len(candidates))
	if relativeLoad(candidates[second]) < relativeLoad(candidates[first]) {
		return second
	}
	return first
}
