package prepaid

import (
	"math"
	"time"
)

// rateMemory is the time constant of the running mean of a workspace's use.
const rateMemory = 6 * time.Second

// rate is a running mean of tokens a second, with exponential decay.
type rate struct {
	sum   float64 // decayed tokens
	at    time.Time
	start time.Time
}

func newRate(now time.Time) rate { return rate{at: now, start: now} }

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.sum *= math.Exp(-d.Seconds() / rateMemory.Seconds())
		r.at = now
	}
}

func (r *rate) add(now time.Time, tokens int64) {
	r.decay(now)
	r.sum = max(0, r.sum+float64(tokens))
}

// perSecond corrects for the time that the mean has not yet seen.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	seen := 1 - math.Exp(-max(now.Sub(r.start), rateMemory/2).Seconds()/rateMemory.Seconds())
	return r.sum / rateMemory.Seconds() / seen
}
