package budget

import (
	"math"
	"time"
)

// decayingRate estimates tokens spent per second from a sum whose weights
// decay exponentially: a token that was added one timeConstant ago counts
// 1/e.
type decayingRate struct {
	timeConstant  time.Duration
	start         time.Time
	decayedTokens float64 // decayed sum as of lastAdded
	lastAdded     time.Time
}

// The time constant of a rate is the horizon of the grant policy divided by
// rateHorizonDivisor. It has a lower bound so that single requests do not
// dominate the estimate.
const (
	rateHorizonDivisor  = 3
	minRateTimeConstant = 30 * time.Second
)

// add adds tokens spent at time now.
func (r *decayingRate) add(now time.Time, tokens int64) {
	r.decayedTokens = r.decayedAt(now) + float64(tokens)
	r.lastAdded = now
}

// perSecond returns the mean rate in tokens per second. It corrects for the
// time before start, which contributes nothing to the sum.
func (r *decayingRate) perSecond(now time.Time) float64 {
	age := max(now.Sub(r.start), minRateTimeConstant).Seconds()
	timeConstantSeconds := r.timeConstant.Seconds()
	return r.decayedAt(now) / (timeConstantSeconds * -math.Expm1(-age/timeConstantSeconds))
}

// decayedAt returns the sum decayed to time now.
func (r *decayingRate) decayedAt(now time.Time) float64 {
	return r.decayedTokens * math.Exp(-now.Sub(r.lastAdded).Seconds()/r.timeConstant.Seconds())
}
