package budget

import (
	"math"
	"time"
)

// rate is an average of spending whose weight fades to 1/e in its memory.
type rate struct {
	memory time.Duration
	start  time.Time
	tokens float64 // faded sum
	last   time.Time
}

// The memory of a rate is a part of the horizon that it serves, but not so
// short that single requests sway it.
const (
	rateMemoryPart = 3
	minRateMemory  = 30 * time.Second
)

func (r *rate) add(now time.Time, tokens int64) {
	r.tokens = r.faded(now) + float64(tokens)
	r.last = now
}

// perSecond corrects for the time before start, which the sum lacks.
func (r *rate) perSecond(now time.Time) float64 {
	age := max(now.Sub(r.start), minRateMemory).Seconds()
	memory := r.memory.Seconds()
	return r.faded(now) / (memory * -math.Expm1(-age/memory))
}

func (r *rate) faded(now time.Time) float64 {
	return r.tokens * math.Exp(-now.Sub(r.last).Seconds()/r.memory.Seconds())
}
