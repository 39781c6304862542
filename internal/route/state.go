package route

import (
	"slices"
	"time"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// Weight of a new sample in the moving averages of an endpoint.
const (
	gapWeight        = 0.1
	firstTokenWeight = 0.2
)

// health is the standing of an endpoint.
type health int

const (
	healthy health = iota
	// ejected endpoints get no work until a probe succeeds.
	ejected
)

// state is what this router knows of one endpoint. It is guarded by
// Router.mu.
type endpointState struct {
	inFlight int
	lastUsed time.Time

	// report is the latest load report, asked for at reportAt, when
	// ownAtReport of the requests in flight were this router's.
	report            engine.Load
	reportRequestedAt time.Time
	inFlightAtReport  int
	refreshDone       chan struct{} // closed when the running refresh ends, or nil
	leaving           bool

	meanGap             float64 // seconds between tokens, moving average
	gapSamples          int     // samples of gap
	meanFirstToken      float64 // seconds to the first token, moving average
	firstTokenSamples   int     // samples of first
	consecutiveFailures int     // in a row

	health    health
	ejectTime time.Duration
	probeAt   time.Time
	cached    *blockSet
}

// load is the number of requests at the endpoint: this router's own, which
// are known, and the others' as of the latest report.
func (s *endpointState) load() float64 {
	otherRequests := s.report.Running + s.report.Waiting - s.inFlightAtReport
	return float64(s.inFlight + max(otherRequests, 0))
}

// slots returns how many requests the endpoint runs at once, or 0 if unknown.
func (s *endpointState) slots(m *catalog.Member) int {
	if m.Slots > 0 {
		return m.Slots
	}
	return s.report.Slots
}

// average moves an average towards a sample.
func updateAverage(mean *float64, samples *int, sample, weight float64) {
	*samples++
	if *samples == 1 {
		*mean = sample
		return
	}
	// The first samples count evenly, so that one outlier at the start does
	// not stay.
	*mean += max(weight, 1/float64(*samples)) * (sample - *mean)
}

// pool is what this router knows of the endpoints of one pool. It is guarded
// by Router.mu.
type pool struct {
	members []string // names of endpoints, sorted
	budget  retryBudget
}

// median returns the middle of a value over the pool's endpoints that have
// one, or 0.
func (r *Router) medianLocked(p *pool, valueOf func(*endpointState) (float64, bool)) float64 {
	var values []float64
	for _, name := range p.members {
		if s := r.states[name]; s != nil {
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

func (r *Router) medianGapLocked(p *pool) float64 {
	return r.medianLocked(p, func(s *endpointState) (float64, bool) { return s.meanGap, s.gapSamples >= r.settings.SlowSamples })
}

func (r *Router) medianFirstTokenLocked(p *pool) float64 {
	return r.medianLocked(p, func(s *endpointState) (float64, bool) { return s.meanFirstToken, s.firstTokenSamples > 0 })
}
