// Package placement chooses the endpoint for each attempt. Choose, and for pools whose
// endpoints report their slowness ChooseByCompletion, are pure functions of the
// candidates; Balancer keeps the state between requests.
//
// The choice is made for generations whose prompts share prefixes: an endpoint
// that has cached a prefix saves most of the prefill. A prefix in high demand must
// still not concentrate requests on one endpoint, and endpoints differ in speed and
// may become slow.
package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an endpoint that may be chosen for a request.
type Candidate struct {
	ID string
	// Load is the estimated number of requests at the endpoint.
	Load float64
	// Slots is the number of requests that the endpoint executes at once, or 0 if
	// unknown.
	Slots int
	// Local is set if the endpoint is in the router's failure domain.
	Local bool
	// Slowness is how long work takes at the endpoint, in percent of usual, or 0 if
	// unknown.
	Slowness float64

	// The remaining fields are used by ChooseByCompletion only.

	// Capacity is the number of requests that the endpoint may execute at once, or 0
	// if unknown.
	Capacity float64
	Report   LoadReport
	Own      Work
	// UsualSlowness is the mean of the slowness that the endpoint reports, in
	// percent; 0 if unknown.
	UsualSlowness float64
	// UsualUtilisation is the mean of the requests per slot that the endpoint
	// reports; 0 if unknown.
	UsualUtilisation float64
	// Speed is the learnt factor of the endpoint's times, relative to its pool, that
	// the slowness does not explain; 0 if unknown.
	Speed float64
	// Cached is set if the endpoint probably has the shared tokens in its cache.
	Cached bool
	Home   HomeKind
}

// HomeKind says whether an endpoint is a home of the prefix of a request.
type HomeKind int

// The kinds of homes.
const (
	// NoHome: requests with the prefix go there only if it is clearly better.
	NoHome HomeKind = iota
	// FirstHomes: one of the homes that the prefix has at present.
	FirstHomes
	// NextHome: the endpoint that becomes a home if the prefix gets one more.
	NextHome
)

// String returns the name of the kind in log lines and metrics.
func (k HomeKind) String() string { return [...]string{"none", "home", "next"}[k] }

// A request is placed by its prompt only at endpoints with a load of at most
// affinityLoadFactor times the mean load plus affinityLoadSlack requests. With less
// slack, single requests in flight would move prompts between endpoints.
const (
	affinityLoadFactor = 1.3
	affinityLoadSlack  = 4
)

// Choose returns the index of the candidate for a request, or -1 without
// candidates. Affinity is the hash of the shared prompt, or 0 without one. Random
// is a uniformly distributed value that decides between equal candidates.
//
// With an affinity, Choose takes the candidate with the highest Rendezvous score
// among those whose load is within affinityLoadLimit and below their slots. Without
// an affinity, or if there is no such candidate, it takes the least loaded one.
func Choose(candidates []Candidate, affinity, random uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	if affinity == 0 {
		return leastLoaded(candidates, random)
	}
	loadLimit := affinityLoadLimit(candidates)
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		if c.Load > loadLimit || c.Slots > 0 && c.Load >= float64(c.Slots) {
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

// affinityLoadLimit returns the load up to which a candidate may be chosen because
// of the prompt.
func affinityLoadLimit(candidates []Candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Load
	}
	return affinityLoadFactor*sum/float64(len(candidates)) + affinityLoadSlack
}

// usualSlowness is the slowness of a machine that works as usual, in percent.
const usualSlowness = 100

// localBonus is subtracted from the load of endpoints in the router's failure
// domain, in requests. It is less than one request, so that it only decides between
// endpoints with equal load.
const localBonus = 0.5

// leastLoaded returns the index of the candidate with the least load per slot. The load
// of a candidate with a known slowness includes the request itself, and is multiplied by
// the slowness.
func leastLoaded(candidates []Candidate, random uint64) int {
	start := int(random % uint64(len(candidates)))
	best, bestCost := -1, math.Inf(1)
	for offset := range candidates {
		i := (start + offset) % len(candidates)
		cost := candidates[i].Load
		if candidates[i].Local {
			cost -= localBonus
		}
		if candidates[i].Slowness > 0 {
			cost = (cost + 1) * candidates[i].Slowness / usualSlowness
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

// Rendezvous returns the rendezvous hashing score of an endpoint id for the hash
// of a prompt or of its first block. The endpoint with the highest score is chosen,
// so that all routers agree and few prompts move when an endpoint is added or
// removed.
func Rendezvous(prompt uint64, id string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prompt)
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(key[:])
	digest.WriteString(id)
	return digest.Sum64()
}

// hash returns the 64-bit xxHash of s.
func hash(s string) uint64 { return xxhash.Sum64String(s) }
