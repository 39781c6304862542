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
	// AnyLow reports whether any factor may be below 1.
	AnyLow() bool
	Factor(id string) float64
	Observe(id string, sample pace.Sample)
	// MarkActive makes a pool one in which factors can be below 1.
	MarkActive(pool string)
	Ejected(id string, until time.Time)
}

// SetPace sets the source of the capacity factors. It must be called before the
// balancer is used. Without it all factors are 1.
func (b *Balancer) SetPace(p Pacer) { b.pace = p }

// applyPace multiplies the slots of the candidates by their factors, and limits an
// endpoint with factor f to the part f of the requests that it would usually get. The
// slots alone do not limit it: its load reports are missing or too old at most of 70
// routers, which then count only their own requests and all find it idle.
//
// With an affinity, the hash of prompt and endpoint decides whether the endpoint is a
// candidate, so that all routers leave it out for the same prompts. Without one, the
// request is drawn for the endpoint with the probability of its part of the slots, and
// placed there if it has room. If no candidate would remain, all do. Both slices are
// reordered alike.
func (b *Balancer) applyPace(candidates []Candidate, from []endpoints.Endpoint, affinity uint64) ([]Candidate, []endpoints.Endpoint) {
	if b.pace == nil || !b.pace.AnyLow() {
		return candidates, from
	}
	slots := 0
	for _, c := range candidates {
		slots += max(c.Slots, 1)
	}
	swap := func(i, k int) {
		candidates[i], candidates[k] = candidates[k], candidates[i]
		from[i], from[k] = from[k], from[i]
	}
	// The drawn candidates are moved to the front and those left out to the end.
	drawn, end := 0, len(candidates)
	for i := 0; i < end; i++ {
		c := &candidates[i]
		factor := b.pace.Factor(c.ID)
		if factor == 1 {
			continue
		}
		share := factor * float64(max(c.Slots, 1)) / float64(slots)
		if c.Slots > 0 {
			c.Slots = max(int(math.Round(factor*float64(c.Slots))), 1)
		}
		switch {
		case affinity != 0 && admitsPrompt(c.ID, affinity, factor):
		case affinity == 0 && rand.Float64() < share && (c.Slots == 0 || c.Load < float64(c.Slots)):
			swap(i, drawn)
			drawn++
		default:
			end--
			swap(i, end)
			i--
		}
	}
	switch {
	case drawn > 0:
		return candidates[:drawn], from[:drawn]
	case end > 0:
		return candidates[:end], from[:end]
	}
	return candidates, from
}

// admitsPrompt reports whether an endpoint with the given factor gets requests with an
// affinity. The inverted hash makes this independent of the scores by which Choose
// decides.
func admitsPrompt(id string, affinity uint64, factor float64) bool {
	return float64(Rendezvous(^affinity, id)) < factor*math.MaxUint64
}

// admitsByPace reports whether an endpoint is a candidate for a request that examines few
// endpoints. With factor f it is one for the part f of the prompts, or of the requests if the
// affinity is 0.
func (b *Balancer) admitsByPace(id string, affinity uint64) bool {
	if b.pace == nil {
		return true
	}
	factor := b.pace.Factor(id)
	switch {
	case factor >= 1:
		return true
	case affinity == 0:
		return rand.Float64() < factor
	}
	return admitsPrompt(id, affinity, factor)
}

// ObserveResponse records the head of a response for the pace of an endpoint. FirstByte
// is the time from the send of the request to the head, or 0 if the response does not
// show how fast the endpoint is. Streamed is set if events follow as they are made. The
// response of another endpoint shows nothing of this one.
func (b *Balancer) ObserveResponse(e endpoints.Endpoint, firstByte time.Duration, streamed bool, response exchange.Response) {
	if b.pace == nil || response.WrongInstance {
		return
	}
	sample := pace.Sample{FirstByte: firstByte, Streamed: streamed, Refused: response.NotExecuted && !response.Leaving}
	if response.Load != nil {
		sample.Running, sample.Waiting, sample.Slots, sample.Slowness = response.Load.Running, response.Load.Waiting, response.Load.Slots, response.Load.Slowness
		if response.Load.Slowness > 0 {
			b.pace.MarkActive(e.Pool)
		}
	} else if sample.Refused {
		now := b.clock.Now()
		b.mu.Lock()
		sample.Running, sample.Slots = int(b.loadLocked(b.stateLocked(e.ID, now), now)), e.Slots
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
