package route

import (
	"time"

	"daisyslip.dev/daisyslip/internal/catalog"
)

// Lease is the use of an endpoint by one attempt. Done must be called once.
type Lease struct {
	Endpoint *catalog.Member
	router   *Router
	state    *state
}

// lease takes an endpoint that was chosen, unless it has turned out to be
// leaving.
func (r *Router) lease(m *catalog.Member, prefixes []uint64) *Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingLocked(m) {
		return nil
	}
	s := r.stateLocked(m.Name)
	s.inFlight++
	s.lastUsed = r.duties.Clock.Now()
	r.metrics.hits.Add(s.cached.hits(prefixes))
	r.metrics.blocks.Add(len(prefixes))
	for _, block := range prefixes {
		s.cached.add(block)
	}
	return &Lease{Endpoint: m, router: r, state: s}
}

// Done ends the use of the endpoint.
func (l *Lease) Done() {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.state.inFlight--
}

// FirstToken reports the time to the first token.
func (l *Lease) ObserveFirstToken(d time.Duration) {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	average(&l.state.first, &l.state.firsts, d.Seconds(), firstWeight)
}

// Gap reports the mean time between the tokens of a part of an answer. An
// endpoint that is much slower than its pool is ejected.
func (l *Lease) ObserveGap(d time.Duration) {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	average(&l.state.gap, &l.state.gaps, d.Seconds(), gapWeight)
	r.checkSpeedLocked(l.Endpoint, l.state)
}

// Succeeded reports an attempt that ended well.
func (l *Lease) ReportSuccess() {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.state.failures = 0
}

// Failed reports an attempt that the endpoint failed. After several in a row
// the endpoint is ejected.
func (l *Lease) ReportFailure(reason string) {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	l.state.failures++
	if l.state.failures >= r.settings.EjectFailures {
		r.ejectLocked(l.Endpoint, l.state, reason)
	}
}

// CountRequest counts a request towards the retry budget of the endpoint's
// pool.
func (l *Lease) CountRequest() {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.requests.Inc()
	r.poolLocked(l.Endpoint).budget.request(r.duties.Clock.Now())
}

// TakeRetry takes a retry from the budget of the endpoint's pool, or returns
// false if the pool has had as many as it may.
func (l *Lease) TakeRetry() bool {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.poolLocked(l.Endpoint).budget.take(r.duties.Clock.Now()) {
		r.metrics.refused.Inc()
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// Times are typical times of a pool; zero is unknown.
type Latencies struct {
	// First is the time to the first token and Gap the time between tokens.
	FirstToken, Gap time.Duration
}

// Times returns the medians over the endpoint's pool.
func (l *Lease) PoolLatencies() Latencies {
	r := l.router
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolLocked(l.Endpoint)
	return Latencies{FirstToken: seconds(r.medianFirstLocked(p)), Gap: seconds(r.medianGapLocked(p))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
