package route

import (
	"math/rand/v2"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/placement"
)

// Candidate is an endpoint that may get an attempt.
type Candidate struct {
	Member *catalog.Member
	// InFlight counts this router's attempts at the endpoint.
	InFlight int
	// Load is the number of requests at the endpoint, weighed by how much
	// slower than its pool it is.
	Load float64
	// Slots is the number of requests that run at once, or 0 if unknown.
	Slots int
	// Hits is the number of leading prefix blocks thought to be cached.
	CachedBlocks int
}

// Chooser takes one of at least one candidates and returns its index. It is
// called under the router's lock.
type Chooser interface {
	Choose(prefixes []uint64, candidates []Candidate) int
}

// queueShare is how many times its slots an endpoint may have requests for a
// cached prefix to lead more there.
const queueShare = 1.25

// prefixChooser follows the longest cached prefix to endpoints whose load is
// bounded. A prefix that is cached nowhere goes where rendezvous hashing puts
// its first block, so that all routers agree before any cache event arrives.
type prefixChooser struct {
	loadBound float64
}

// Choose implements Chooser.
func (c prefixChooser) Choose(prefixes []uint64, candidates []Candidate) int {
	if len(prefixes) == 0 {
		return powerOfTwo(candidates)
	}
	limit := c.limit(candidates)
	best, bestScore := -1, uint64(0)
	for i, candidate := range candidates {
		if candidate.Load > limit || full(candidate) {
			continue
		}
		score := placement.Rendezvous(prefixes[0], candidate.Member.Name)
		if best < 0 || candidate.CachedBlocks > candidates[best].CachedBlocks || candidate.CachedBlocks == candidates[best].CachedBlocks && score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return leastLoaded(candidates)
	}
	return best
}

// limit is the load up to which an endpoint may be taken for its cache.
func (c prefixChooser) limit(candidates []Candidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += candidate.Load
	}
	return c.loadBound*sum/float64(len(candidates)) + 1
}

// full reports whether a request would wait at the endpoint longer than a
// cached prefix can save.
func full(c Candidate) bool { return c.Slots > 0 && c.Load >= queueShare*float64(c.Slots) }

// leastLoaded takes the candidate with the lowest load for its slots; among
// equals, the first after a random start.
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

func relativeLoad(c Candidate) float64 { return c.Load / float64(max(c.Slots, 1)) }

// powerOfTwo takes the less loaded of two candidates drawn at random.
func powerOfTwo(candidates []Candidate) int {
	first, second := rand.IntN(len(candidates)), rand.IntN(len(candidates))
	if relativeLoad(candidates[second]) < relativeLoad(candidates[first]) {
		return second
	}
	return first
}
