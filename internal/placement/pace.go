package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/pace"
)

// Pacer gives the capacity factors of endpoints; see pace.Controller.
type Pacer interface {
	// Low reports whether any factor may be below 1.
	Low() bool
	Factor(id string) float64
	Observe(id string, sample pace.Sample)
	Ejected(id string, until time.Time)
}

// SetPace sets the source of the capacity factors. It must be called before the
// balancer is used. Without it all factors are 1.
func (b *Balancer) SetPace(p Pacer) { b.pace = p }

// applyPace multiplies the slots of the candidates by their factors. It also leaves out
// a candidate with factor f for the part 1-f of the requests that it would usually get,
// unless no candidate would remain: the load reports of an endpoint that gets few
// requests are missing or too old at most of 70 routers, which then count only their own
// requests and would all find it idle.
//
// With an affinity, the hash of prompt and endpoint decides, so that all routers leave it
// out for the same prompts. Otherwise the request is one of its usual share with the
// probability of its part of the slots. Both slices are reordered alike.
func (b *Balancer) applyPace(candidates []Candidate, from []endpoints.Endpoint, affinity uint64) ([]Candidate, []endpoints.Endpoint) {
	if b.pace == nil || !b.pace.Low() {
		return candidates, from
	}
	slots := 0
	for _, c := range candidates {
		slots += max(c.Slots, 1)
	}
	kept := 0
	for i := range candidates {
		c := &candidates[i]
		if factor := b.pace.Factor(c.ID); factor < 1 {
			share := factor * float64(max(c.Slots, 1)) / float64(slots)
			if c.Slots > 0 {
				c.Slots = max(int(math.Round(factor*float64(c.Slots))), 1)
			}
			if !takes(c.ID, factor, share, affinity) {
				continue
			}
		}
		candidates[i], candidates[kept] = candidates[kept], candidates[i]
		from[i], from[kept] = from[kept], from[i]
		kept++
	}
	if kept == 0 {
		return candidates, from
	}
	return candidates[:kept], from[:kept]
}

// takes reports whether an endpoint is a candidate for a request. Share is the part of
// all requests without an affinity that it may get.
func takes(id string, factor, share float64, affinity uint64) bool {
	if affinity == 0 {
		return rand.Float64() < share
	}
	// The inverted hash makes this independent of the scores by which Choose decides.
	return float64(Rendezvous(^affinity, id)) < factor*math.MaxUint64
}

// ObserveResponse records the head of a response for the pace of an endpoint. FirstByte
// is the time from the send of the request to the head, or 0 if the response does not
// show how fast the endpoint is.
func (b *Balancer) ObserveResponse(e endpoints.Endpoint, firstByte time.Duration, response exchange.Response) {
	if b.pace == nil {
		return
	}
	sample := pace.Sample{FirstByte: firstByte, Refused: response.NotExecuted && !response.Leaving && !response.WrongInstance}
	if response.Load != nil {
		sample.Running, sample.Waiting, sample.Slots = response.Load.Running, response.Load.Waiting, response.Load.Slots
	} else if sample.Refused {
		sample.Slots = e.Slots
		b.mu.Lock()
		sample.Running = int(b.loadLocked(b.stateLocked(e.ID, b.clock.Now()), b.clock.Now()))
		b.mu.Unlock()
	}
	b.pace.Observe(e.ID, sample)
}

// observePace records a failure for the pace of an endpoint.
func (b *Balancer) observePace(id string, observation Observation) {
	if b.pace != nil && (observation == Failed || observation == Unreachable || observation == Stalled) {
		b.pace.Observe(id, pace.Sample{Failed: true})
	}
}
