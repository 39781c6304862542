package ingress

import (
	"time"

	"daisyslip.dev/daisyslip/internal/routetable"
)

// end is how an attempt at an endpoint ended.
type end int

const (
	// whole: the answer was passed on to its end.
	whole end = iota
	// notSent: no byte has left.
	notSent
	// notRun: the endpoint said that it did not run the request.
	notRun
	// failed: the endpoint answered with a failure.
	failed
	// broken: the connection ended early or the answer was none.
	broken
	// silent: the endpoint sent nothing for too long.
	silent
	// timeOver: the time of the request is over.
	timeOver
	// callerGone: the caller left.
	callerGone
)

// String names the end in logs.
func (e end) String() string {
	return [...]string{"whole", "not sent", "not run", "failed", "broken", "silent", "time over", "caller gone"}[e]
}

// mayHaveRun reports whether the endpoint can have begun the request.
func (e end) mayHaveRun() bool { return e != notSent && e != notRun }

// maxSends bounds the endpoints that are tried for one request while none has
// run it.
const maxSends = 4

// leastLeft is the least time for which another try can be of use: a short run.
const leastLeft = 50 * time.Millisecond

// mayRepeat reports whether another endpoint may be tried after an attempt
// ended. Runs counts the endpoints that may have run the request, this one
// included, and sends all that were tried.
func mayRepeat(route *routetable.Route, e end, runs, sends int, left time.Duration) bool {
	if left < leastLeft {
		return false
	}
	switch e {
	case notSent, notRun:
		return sends < maxSends
	case failed, broken, silent:
		return route.Retryable() && runs < route.MaxAttempts
	}
	return false
}

// Shares of a route's objective after which an endpoint that sent nothing is
// given up in favour of another.
const (
	// silentPlain: a usual answer of another endpoint is still on time.
	silentPlain = 0.7
	// silentStream: first events come late under load, too.
	silentStream = 2.5
	// silentPause is a factor of the pause between events, of which several in
	// a row would be late.
	silentPause = 3
)

// leastSilence bounds these times below: shorter pauses are usual under load.
const leastSilence = 150 * time.Millisecond

// headPatience is how long an endpoint may be silent before the first byte, if
// another one may be tried.
func headPatience(route *routetable.Route) time.Duration {
	if route.Kind == routetable.Streaming {
		return max(time.Duration(silentStream*float64(route.LatencyObjective)), leastSilence)
	}
	return max(time.Duration(silentPlain*float64(route.LatencyObjective)), leastSilence)
}

// pausePatience is the same between two events.
func pausePatience(route *routetable.Route) time.Duration {
	return max(silentPause*route.GapObjective, leastSilence)
}
