package balancer

import (
	"time"

	"daisyslip.dev/daisyslip/internal/catalog"
)

// Lease represents one attempt's use of an endpoint. While it is not done, the
// attempt counts towards the endpoint's load. The holder reports the attempt's
// latencies and outcome through it and must call Done exactly once. It is safe
// for concurrent use.
type Lease struct {
	Endpoint *catalog.Member
	router   *Router
	state    *endpointState
}

// startLease leases an endpoint that was chosen and counts the attempt. It
// returns nil if the endpoint is leaving, which may have been reported after the
// choice.
func (r *Router) startLease(m *catalog.Member, promptBlocks []uint64) *Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingLocked(m) {
		return nil
	}
	s := r.stateLocked(m.Name)
	s.inFlight++
	s.lastUsed = r.deps.Clock.Now()
	r.metrics.expectedHitBlocks.Add(s.cached.cachedPrefixLen(promptBlocks))
	r.metrics.promptBlocks.Add(len(promptBlocks))
	for _, block := range promptBlocks {
		s.cached.add(block)
	}
	return &Lease{Endpoint: m, router: r, state: s}
}

// Done ends the lease: the attempt no longer counts towards the endpoint's load.
func (l *Lease) Done() {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.state.inFlight--
}

// ObserveFirstToken adds an attempt's time to the first token to the endpoint's
// moving average.
func (l *Lease) ObserveFirstToken(elapsed time.Duration) {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	updateAverage(&l.state.meanFirstToken, &l.state.firstTokenSamples, elapsed.Seconds(), firstTokenWeight)
}

// ObserveGap adds the mean time between the tokens of a part of a response to
// the endpoint's moving average. An endpoint that is much slower than its pool
// is ejected.
func (l *Lease) ObserveGap(gap time.Duration) {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	updateAverage(&l.state.meanGap, &l.state.gapSamples, gap.Seconds(), gapWeight)
	r.checkSpeedLocked(l.Endpoint, l.state)
}

// ReportSuccess resets the endpoint's count of consecutive failures.
func (l *Lease) ReportSuccess() {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.state.consecutiveFailures = 0
}

// ReportFailure counts an attempt that failed through the endpoint's fault.
// After EjectFailures consecutive failures the endpoint is ejected with the
// given reason.
func (l *Lease) ReportFailure(reason string) {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	l.state.consecutiveFailures++
	if l.state.consecutiveFailures >= r.settings.EjectFailures {
		r.ejectLocked(l.Endpoint, l.state, reason)
	}
}

// CountRequest counts a request in the retry budget of the endpoint's pool. It
// is called for the first attempt of each request; retries call TakeRetry.
func (l *Lease) CountRequest() {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.requests.Inc()
	r.poolLocked(l.Endpoint).budget.countRequest(r.deps.Clock.Now())
}

// TakeRetry takes one retry from the retry budget of the endpoint's pool. It
// returns false if the budget is exhausted; then no retry may be made.
func (l *Lease) TakeRetry() bool {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.poolLocked(l.Endpoint).budget.takeRetry(r.deps.Clock.Now()) {
		r.metrics.retriesRefused.Inc()
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// Latencies are the median latencies of a pool; zero means unknown.
type Latencies struct {
	// FirstToken is the time to the first token, and Gap the time between two
	// tokens.
	FirstToken, Gap time.Duration
}

// PoolLatencies returns the median latencies over the endpoint's pool.
func (l *Lease) PoolLatencies() Latencies {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolLocked(l.Endpoint)
	return Latencies{FirstToken: seconds(r.medianFirstTokenLocked(p)), Gap: seconds(r.medianGapLocked(p))}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
