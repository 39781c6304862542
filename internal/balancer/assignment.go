package balancer

import (
	"time"

	"daisyslip.dev/daisyslip/internal/catalog"
)

// Assignment is an endpoint that is assigned to one attempt. While it is not done, the
// attempt counts towards the endpoint's load. The holder reports the attempt's
// latencies and outcome through it and must call Done exactly once. It is safe
// for concurrent use.
type Assignment struct {
	Endpoint *catalog.Member
	balancer *Balancer
	state    *endpointState
}

// newAssignment assigns an endpoint that was chosen, counts the attempt and adds the
// prompt's blocks to the estimate of the endpoint's cache. It returns nil if the
// endpoint is leaving, which may have been reported after the choice.
func (b *Balancer) newAssignment(m *catalog.Member, promptBlocks []uint64) *Assignment {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leavingLocked(m) {
		return nil
	}
	s := b.stateLocked(m.Name)
	s.inFlight++
	s.lastUsed = b.deps.Clock.Now()
	b.metrics.expectedHitBlocks.Add(s.cached.cachedPrefixLen(promptBlocks))
	b.metrics.promptBlocks.Add(len(promptBlocks))
	for _, block := range promptBlocks {
		s.cached.add(block)
	}
	return &Assignment{Endpoint: m, balancer: b, state: s}
}

// Done ends the assignment: the attempt no longer counts towards the endpoint's load.
func (a *Assignment) Done() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.inFlight--
}

// ObserveFirstToken adds an attempt's time to the first token to the endpoint's
// moving average.
func (a *Assignment) ObserveFirstToken(elapsed time.Duration) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	updateAverage(&a.state.meanFirstToken, &a.state.firstTokenSamples, elapsed.Seconds(), firstTokenWeight)
}

// ObserveGap adds the mean time between the tokens of a part of a response to
// the endpoint's moving average. An endpoint that is much slower than its pool
// is ejected.
func (a *Assignment) ObserveGap(gap time.Duration) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	updateAverage(&a.state.meanGap, &a.state.gapSamples, gap.Seconds(), gapWeight)
	b.checkSpeedLocked(a.Endpoint, a.state)
}

// ReportSuccess resets the endpoint's count of consecutive failures.
func (a *Assignment) ReportSuccess() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.consecutiveFailures = 0
}

// ReportFailure counts an attempt that failed through the endpoint's fault.
// After EjectFailures consecutive failures the endpoint is ejected with the
// given reason.
func (a *Assignment) ReportFailure(reason string) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	a.state.consecutiveFailures++
	if a.state.consecutiveFailures >= b.settings.EjectFailures {
		b.ejectLocked(a.Endpoint, a.state, reason)
	}
}

// CountRequest counts a request in the retry budget of the endpoint's pool. It
// is called for the first attempt of each request; retries call TakeRetry.
func (a *Assignment) CountRequest() {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.metrics.requests.Inc()
	b.poolLocked(a.Endpoint).budget.countRequest(b.deps.Clock.Now())
}

// TakeRetry takes one retry from the retry budget of the endpoint's pool. It
// returns false if the budget is exhausted; then no retry may be made.
func (a *Assignment) TakeRetry() bool {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.poolLocked(a.Endpoint).budget.takeRetry(b.deps.Clock.Now()) {
		b.metrics.retriesRefused.Inc()
		return false
	}
	b.metrics.retries.Inc()
	return true
}

// Latencies are the median latencies of a pool; zero means unknown.
type Latencies struct {
	// FirstToken is the time to the first token, and Gap the time between two
	// tokens.
	FirstToken, Gap time.Duration
}

// PoolLatencies returns the median latencies over the endpoint's pool.
func (a *Assignment) PoolLatencies() Latencies {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.poolLocked(a.Endpoint)
	return Latencies{FirstToken: seconds(b.medianFirstTokenLocked(p)), Gap: seconds(b.medianGapLocked(p))}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
