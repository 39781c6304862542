package prepaid

import (
	"math"
	"time"
)

// Time constants of running means.
const (
	// usageTimeConstant is that of a holder's use, on which the headroom for the
	// next seconds is based.
	usageTimeConstant = 6 * time.Second
	// shareTimeConstant is that of each holder's share of the use. It is long
	// enough to cover several requests of a small workspace.
	shareTimeConstant = 12 * time.Second
)

// rate is a running mean of tokens per second, with exponential decay.
type rate struct {
	timeConstant  time.Duration
	decayedTokens float64 // sum of tokens with decay, as of updatedAt
	updatedAt     time.Time
	startedAt     time.Time
}

// newRate returns a rate that starts empty at now.
func newRate(now time.Time, timeConstant time.Duration) rate {
	return rate{timeConstant: timeConstant, updatedAt: now, startedAt: now}
}

// decay updates the sum to the time now.
func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.decayedTokens *= decayFactor(elapsed, r.timeConstant)
		r.updatedAt = now
	}
}

// decayFactor returns the share of a decaying sum that remains after elapsed.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// decayedSum returns the sum of tokens with decay, which is roughly the tokens of
// the last timeConstant.
func (r *rate) decayedSum(now time.Time) float64 {
	r.decay(now)
	return r.decayedTokens
}

// add counts tokens; a negative number corrects an earlier count.
func (r *rate) add(now time.Time, tokens int64) {
	r.decay(now)
	r.decayedTokens = max(0, r.decayedTokens+float64(tokens))
}

// perSecond returns the mean in tokens per second. It corrects for the time before
// startedAt, which the sum does not cover, as if startedAt were at least half a
// timeConstant ago.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	coverage := 1 - decayFactor(max(now.Sub(r.startedAt), r.timeConstant/2), r.timeConstant)
	return r.decayedTokens / r.timeConstant.Seconds() / coverage
}
