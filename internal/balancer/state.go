package balancer

import (
	"slices"
	"time"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// Weights of a new sample in the exponential moving averages of an endpoint.
const (
	gapWeight        = 0.1
	firstTokenWeight = 0.2
)

// health is the health state of an endpoint.
type health int

const (
	healthy health = iota
	// ejected endpoints get no work until a probe succeeds, unless no other
	// endpoint is available.
	ejected
)

// endpointState is the state that this router keeps for one endpoint. It is
// guarded by Balancer.mu.
type endpointState struct {
	inFlight int       // number of this router's unfinished attempts
	lastUsed time.Time // when the endpoint was last assigned to an attempt

	// report is the latest load report. It was requested at reportRequestedAt,
	// when this router had inFlightAtReport attempts at the endpoint.
	report            engine.Load
	reportRequestedAt time.Time
	inFlightAtReport  int
	refreshDone       chan struct{} // closed when the current refresh ends; nil if none runs
	refreshErr        error         // of the latest refresh that ended
	leaving           bool          // as of the latest report

	meanGap             float64 // moving average of the seconds between tokens
	gapSamples          int     // number of samples in meanGap
	meanFirstToken      float64 // moving average of the seconds to the first token
	firstTokenSamples   int     // number of samples in meanFirstToken
	consecutiveFailures int     // failed attempts and load reports since the last success

	health    health
	ejectTime time.Duration // time to the next probe; doubles with each failed probe
	probeAt   time.Time     // time from which the next probe is due
	cached    *blockSet     // estimate of the prefix blocks in the endpoint's cache
}

// load returns the number of requests at the endpoint: this router's current
// attempts, plus the requests of other routers as of the latest report.
func (s *endpointState) load() float64 {
	otherRequests := s.report.Running + s.report.Waiting - s.inFlightAtReport
	return float64(s.inFlight + max(otherRequests, 0))
}

// slots returns how many requests the endpoint can run at once, or 0 if unknown.
// The configuration has precedence over the endpoint's report.
func (s *endpointState) slots(m *catalog.Member) int {
	if m.Slots > 0 {
		return m.Slots
	}
	return s.report.Slots
}

// updateAverage adds a sample to an exponential moving average and counts it.
func updateAverage(mean *float64, samples *int, sample, weight float64) {
	*samples++
	if *samples == 1 {
		*mean = sample
		return
	}
	// The first samples are averaged with equal weights, so that an outlier
	// among them does not dominate for long.
	*mean += max(weight, 1/float64(*samples)) * (sample - *mean)
}

// pool is the state that this router keeps for one pool. It is guarded by
// Balancer.mu.
type pool struct {
	members []string // sorted names of the pool's endpoints
	budget  retryBudget
}

// medianLocked returns the lower median of valueOf over the pool's endpoints for
// which valueOf returns true, or 0 if there is none.
func (b *Balancer) medianLocked(p *pool, valueOf func(*endpointState) (float64, bool)) float64 {
	var values []float64
	for _, name := range p.members {
		if s := b.states[name]; s != nil {
			if v, known := valueOf(s); known {
				values = append(values, v)
			}
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// medianGapLocked returns the pool's median gap between tokens in seconds, over
// the endpoints with enough samples.
func (b *Balancer) medianGapLocked(p *pool) float64 {
	return b.medianLocked(p, func(s *endpointState) (float64, bool) { return s.meanGap, s.gapSamples >= b.settings.SlowSamples })
}

// medianFirstTokenLocked returns the pool's median time to the first token in
// seconds.
func (b *Balancer) medianFirstTokenLocked(p *pool) float64 {
	return b.medianLocked(p, func(s *endpointState) (float64, bool) { return s.meanFirstToken, s.firstTokenSamples > 0 })
}
