package prepaid

import (
	"math"
	"time"
)

// Time constants of running means.
const (
	// rateMemory is that of a holder's use, of which a stock covers some seconds.
	rateMemory = 6 * time.Second
	// shareMemory is that of the parts of the holders: long enough for several
	// requests of a small workspace.
	shareMemory = 12 * time.Second
)

// rate is a running mean of tokens a second, with exponential decay.
type rate struct {
	memory time.Duration
	sum    float64 // decayed tokens
	at     time.Time
	start  time.Time
}

func newRate(now time.Time, memory time.Duration) rate {
	return rate{memory: memory, at: now, start: now}
}

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.sum *= fade(d, r.memory)
		r.at = now
	}
}

// fade is what is left of a decayed sum after d.
func fade(d, memory time.Duration) float64 { return math.Exp(-d.Seconds() / memory.Seconds()) }

// recent returns the decayed tokens, about those of the last memory.
func (r *rate) recent(now time.Time) float64 {
	r.decay(now)
	return r.sum
}

func (r *rate) add(now time.Time, tokens int64) {
	r.decay(now)
	r.sum = max(0, r.sum+float64(tokens))
}

// perSecond corrects for the time that the mean has not yet seen.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	seen := 1 - fade(max(now.Sub(r.start), r.memory/2), r.memory)
	return r.sum / r.memory.Seconds() / seen
}
