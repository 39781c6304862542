package budget

import (
	"math"
	"time"
)

// rate is an average of spending whose weight fades to 1/e in its memory.
type decayingRate struct {
	timeConstant  time.Duration
	start         time.Time
	decayedTokens float64 // faded sum
	lastAdded     time.Time
}

// The memory of a rate is a part of the horizon that it serves, but not so
// short that single requests sway it.
const (
	rateHorizonDivisor  = 3
	minRateTimeConstant = 30 * time.Second
)

func (r *decayingRate) add(now time.Time, tokens int64) {
	r.decayedTokens = r.decayedAt(now) + float64(tokens)
	r.lastAdded = now
}

// perSecond corrects for the time before start, which the sum lacks.
func (r *decayingRate) perSecond(now time.Time) float64 {
	age := max(now.Sub(r.start), minRateTimeConstant).Seconds()
	memory := r.timeConstant.Seconds()
	return r.decayedAt(now) / (memory * -math.Expm1(-age/memory))
}

func (r *decayingRate) decayedAt(now time.Time) float64 {
	return r.decayedTokens * math.Exp(-now.Sub(r.lastAdded).Seconds()/r.timeConstant.Seconds())
}
