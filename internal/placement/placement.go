// Package placement chooses the endpoint of a request. The choice is a pure
// function of the candidates; Balancer keeps what it needs between requests.
//
// Load answered: generations whose prompts share parts, so that an endpoint that
// holds the parts saves most of the prefill; a part in demand must not pile
// requests on one endpoint; endpoints differ in speed and turn slow.
package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an endpoint that may get the request.
type Candidate struct {
	ID string
	// Load is the number of requests thought to be at the endpoint.
	Load float64
	// Slots is the number that runs at once, or 0 if unknown.
	Slots int
	// Local says that the endpoint is in the router's failure domain.
	Local bool
}

// loadFactor and loadSlack bound the load up to which a request follows its
// prompt to an endpoint: a factor of the mean load and a number of requests.
// With less slack, single requests in flight would move prompts about.
const (
	affinityLoadFactor = 1.3
	affinityLoadSlack  = 4
)

// Choose returns the index of the endpoint for a request, or -1 without
// candidates. The affinity is the hash of the shared prompt, or 0 without one;
// random is a uniform value that decides between equals.
func Choose(candidates []Candidate, affinity, random uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	if affinity == 0 {
		return leastLoaded(candidates, random)
	}
	limit := affinityLoadLimit(candidates)
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		if c.Load > limit || c.Slots > 0 && c.Load >= float64(c.Slots) {
			continue
		}
		if score := Rendezvous(affinity, c.ID); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return leastLoaded(candidates, random)
	}
	return best
}

// bound is the load up to which an endpoint is taken for its cache.
func affinityLoadLimit(candidates []Candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Load
	}
	return affinityLoadFactor*sum/float64(len(candidates)) + affinityLoadSlack
}

// localBonus is the load by which an endpoint of the own failure domain is
// preferred: less than one request, so that it decides between equals.
const localBonus = 0.5

// least returns the candidate with the least load for its slots.
func leastLoaded(candidates []Candidate, random uint64) int {
	start := int(random % uint64(len(candidates)))
	best, bestCost := -1, math.Inf(1)
	for n := range candidates {
		i := (start + n) % len(candidates)
		cost := candidates[i].Load
		if candidates[i].Local {
			cost -= localBonus
		}
		if candidates[i].Slots > 0 {
			cost /= float64(candidates[i].Slots)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Rendezvous scores an endpoint for the hash of a prompt or of its first block;
// the highest score wins, so that all routers agree and few prompts move when an
// endpoint comes or goes.
func Rendezvous(prompt uint64, id string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prompt)
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(key[:])
	digest.WriteString(id)
	return digest.Sum64()
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
