package prepaid

import (
	"math"
	"time"
)

// Time constants of running means.
const (
	// rateMemory is that of a holder's use, of which a stock covers some seconds.
	usageTimeConstant = 6 * time.Second
	// shareMemory is that of the parts of the holders: long enough for several
	// requests of a small workspace.
	shareTimeConstant = 12 * time.Second
)

// rate is a running mean of tokens a second, with exponential decay.
type rate struct {
	timeConstant  time.Duration
	decayedTokens float64 // decayed tokens
	updatedAt     time.Time
	startedAt     time.Time
}

func newRate(now time.Time, timeConstant time.Duration) rate {
	return rate{timeConstant: timeConstant, updatedAt: now, startedAt: now}
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.decayedTokens *= decayFactor(elapsed, r.timeConstant)
		r.updatedAt = now
	}
}

// fade is what is left of a decayed sum after d.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// recent returns the decayed tokens, about those of the last memory.
func (r *rate) decayedSum(now time.Time) float64 {
	r.decay(now)
	return r.decayedTokens
}

func (r *rate) add(now time.Time, tokens int64) {
	r.decay(now)
	r.decayedTokens = max(0, r.decayedTokens+float64(tokens))
}

// perSecond corrects for the time that the mean has not yet seen.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	coverage := 1 - decayFactor(max(now.Sub(r.startedAt), r.timeConstant/2), r.timeConstant)
	return r.decayedTokens / r.timeConstant.Seconds() / coverage
}
