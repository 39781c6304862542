// Package pace decides which share of its usual requests an endpoint gets after it
// started, returned from an ejection or an evacuation, or responded badly. Next is a
// pure function of the state and one sample; Controller keeps the states.
//
// The load that it is made for: an endpoint gets 10 to 100 requests per second from
// about 70 routers that do not coordinate. Each router sees one response in seventy, so
// that at a low factor a router sees none for many seconds. The factor therefore
// grows by time, at the same rate at every router, and responses change that rate or cut
// the factor. A decision per response would take minutes to reach the full share.
package pace

import (
	"math"
	"time"
)

// Parameters of Next, for endpoints whose requests come from about 70 routers.
const (
	// MinFactor is the factor of an endpoint that has just started. A tenth of the
	// usual share is below the rate that a cold endpoint tolerates.
	MinFactor = 0.1
	// RampTime is how long the factor takes from MinFactor to 1 without evidence. It
	// grows exponentially, so that the first half of this time, in which endpoints are
	// cold, is spent below a third.
	RampTime = 8 * time.Second
	// confirmedSpeed is how much faster the factor grows below the threshold after a
	// fast response. It is bounded, since a router that sees many responses would
	// otherwise be far ahead of those that see few.
	confirmedSpeed = 2
	// decreaseFactor is applied on contrary evidence. It is lower than the usual half,
	// because only one router in seventy learns of each refusal.
	decreaseFactor = 0.3
	// slowDecrease is applied on a slow response, which is weaker evidence than a
	// refusal, since a long prompt takes long everywhere.
	slowDecrease = 0.7
	// slowResponses is the number of consecutive slow responses that decrease a factor
	// of 1. Below 1, each slow response does.
	slowResponses = 2
	// decreaseInterval is the least time between two decreases, since requests that
	// were in flight together fail for one cause.
	decreaseInterval = 250 * time.Millisecond
	// RecoveryTime is how long the factor takes from 0 to 1 above the threshold, where
	// it grows linearly. With less, sparse refusals do not hold the factor down.
	RecoveryTime = 45 * time.Second
	// A response is fast or slow if the time to its first byte is below fastRatio or
	// above slowRatio times the mean of the pool. In the known deployments endpoints
	// are up to 1.7 times slower than usual all the time, and 2.5 times for moments.
	fastRatio = 1.5
	slowRatio = 3
	// slowSlowness is the reported slowness, in percent of usual, above which an
	// endpoint counts as slow. Placement accounts for usual differences itself.
	slowSlowness = 300
)

// State is the pace of one endpoint.
type State struct {
	// Factor is the capacity factor at At, from MinFactor to 1.
	Factor float64
	// Threshold is the factor from which on growth is linear instead of exponential:
	// the factor after the last decrease, or 1.
	Threshold float64
	// Slow is the number of consecutive slow responses, up to slowResponses.
	Slow int
	// Confirmed is set while the last response was fast.
	Confirmed bool
	// At is when Factor was computed. If it is in the future, the factor does not
	// grow before.
	At time.Time
	// DecreasedAt is the time of the last decrease; zero without one.
	DecreasedAt time.Time
}

// Full returns the state of an endpoint that gets its full share.
func Full(at time.Time) State { return State{Factor: 1, Threshold: 1, At: at} }

// Low returns the state of an endpoint that starts or returns at the given time.
func Low(at time.Time) State { return State{Factor: MinFactor, Threshold: 1, At: at} }

// Sample is what a router has learnt of an endpoint. The zero value of a field other
// than At is no evidence.
type Sample struct {
	At time.Time
	// FirstByte is the time from the send of a request to the first byte of its
	// response. PoolMean is its mean in the pool, or 0 if unknown.
	FirstByte, PoolMean time.Duration
	// Streamed is set if the response is a stream, whose first byte comes early.
	Streamed bool
	// Refused is set if the endpoint did not execute a request.
	Refused bool
	// Failed is set if the endpoint failed, was unreachable or stalled.
	Failed bool
	// Running, Waiting and Slots are the endpoint's load, which covers the requests of
	// all routers. Slots is 0 if the load is unknown.
	Running, Waiting, Slots int
	// Slowness is how long work takes at the endpoint, in percent of usual.
	Slowness float64
}

// Cause is the kind of contrary evidence in a sample.
type Cause string

// The causes of a decrease.
const (
	NoCause      Cause = ""
	CauseFailure Cause = "failure"
	CauseRefusal Cause = "refusal"
	CauseSlow    Cause = "slow"
)

// Contrary returns why a sample speaks against more requests, or NoCause. A refusal
// does not if the endpoint was full, which is no sign of a lower capacity.
func (s Sample) Contrary() Cause {
	switch {
	case s.Failed:
		return CauseFailure
	case s.Refused && (s.Slots == 0 || s.Running+s.Waiting < s.Slots):
		return CauseRefusal
	case s.Slowness > slowSlowness, s.ratio() > slowRatio:
		return CauseSlow
	}
	return NoCause
}

// ratio returns the time to the first byte relative to the mean of the pool, or 0 if
// either is unknown.
func (s Sample) ratio() float64 {
	if s.FirstByte <= 0 || s.PoolMean <= 0 {
		return 0
	}
	return float64(s.FirstByte) / float64(s.PoolMean)
}

// Next returns the state after a sample, which may be without evidence. Without
// contrary evidence the factor is 1 at most RampTime plus RecoveryTime later.
func Next(s State, sample Sample) State {
	s = grow(s, sample.At)
	switch sample.Contrary() {
	case CauseFailure, CauseRefusal:
		return decrease(s, sample.At, decreaseFactor)
	case CauseSlow:
		if s.Slow = min(s.Slow+1, slowResponses); s.Slow < slowResponses && s.Factor == 1 {
			return s
		}
		return decrease(s, sample.At, slowDecrease)
	}
	if sample.Slots > 0 && sample.Waiting > 0 && sample.Running < sample.Slots {
		s.Confirmed = false // requests wait although there are free slots
		return s
	}
	if ratio := sample.ratio(); ratio > 0 {
		s.Slow, s.Confirmed = 0, ratio <= fastRatio
	}
	return s
}

// decrease returns the state after contrary evidence.
func decrease(s State, at time.Time, by float64) State {
	s.Confirmed = false
	if s.DecreasedAt.IsZero() || at.Sub(s.DecreasedAt) >= decreaseInterval {
		s.Factor = max(s.Factor*by, MinFactor)
		s.Threshold, s.DecreasedAt = s.Factor, at
	}
	return s
}

// grow returns the state at a later time without new evidence. An earlier time leaves
// it as it is, since samples of concurrent requests are not ordered.
func grow(s State, at time.Time) State {
	elapsed := at.Sub(s.At).Seconds()
	if elapsed <= 0 {
		return s
	}
	s.At = at
	if s.Factor < s.Threshold {
		rate := math.Ln10 / RampTime.Seconds()
		if s.Confirmed {
			rate *= confirmedSpeed
		}
		untilThreshold := math.Log(s.Threshold/s.Factor) / rate
		if elapsed < untilThreshold {
			s.Factor *= math.Exp(rate * elapsed)
			return s
		}
		s.Factor, elapsed = s.Threshold, elapsed-untilThreshold
	}
	if s.Factor += elapsed / RecoveryTime.Seconds(); s.Factor >= 1 {
		s.Factor, s.Threshold = 1, 1
	}
	return s
}
