package placement

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
)

// Settings configure a Balancer.
type Settings struct {
	// ReportMaxAge is how long the load that an endpoint reported is used.
	ReportMaxAge time.Duration `json:"report_memory"`
	// EjectFor is how long an endpoint gets no requests after its first ejection,
	// unless no other endpoint is available. It doubles with each consecutive
	// ejection up to MaxEjectFor.
	EjectFor    time.Duration `json:"eject_for"`
	MaxEjectFor time.Duration `json:"eject_most"`
	// FailureShare is the share of failed requests above which an endpoint is
	// ejected, if its share also exceeds FailureFactor times the mean share of
	// the other endpoints.
	FailureShare  float64 `json:"failure_share"`
	FailureFactor float64 `json:"failure_factor"`
	// Pace limits the share of endpoints that started or recovered; see package pace.
	Pace bool `json:"pace"`
	// ExpectedCompletion lets requests of pools whose endpoints report their slowness
	// be placed by expected completion time.
	ExpectedCompletion bool `json:"expected_completion"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		ReportMaxAge:  2 * time.Second,
		EjectFor:      700 * time.Millisecond, // shorter than the 1 s in which a crashed endpoint restarts
		MaxEjectFor:   4 * time.Second,
		FailureShare:  0.4,
		FailureFactor: 2,
		Pace:          true,

		ExpectedCompletion: true,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".report_memory", s.ReportMaxAge, time.Millisecond, time.Hour)
	l.Duration(path+".eject_for", s.EjectFor, time.Millisecond, time.Hour)
	l.Duration(path+".eject_most", s.MaxEjectFor, s.EjectFor, time.Hour)
	l.Share(path+".failure_share", s.FailureShare)
	if s.FailureFactor < 1 {
		l.Add(path+".failure_factor", s.FailureFactor, "a factor from 1")
	}
}

// Observation is what an attempt shows of the state of an endpoint.
type Observation int

// The observations.
const (
	// Succeeded: the endpoint sent a complete success response.
	Succeeded Observation = iota
	// Failed: the endpoint sent a failure or malformed response, broke the
	// connection, or sent nothing within the timeout of the attempt.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Stalled: the endpoint sent nothing for so long that it is ejected at once.
	Stalled
	// AtCapacity: the endpoint did not execute the request, for example because it
	// is full. This counts neither as a success nor as a failure.
	AtCapacity
	// Inconclusive: the attempt ended for reasons outside the endpoint, such as
	// the caller disconnecting.
	Inconclusive
)

// failureWeight is the weight of a new observation in the moving average of an
// endpoint's share of failures.
const failureWeight = 0.15

// endpointState is what the balancer has recorded of one endpoint.
type endpointState struct {
	inFlight int
	// reportedLoad is the number of requests that the endpoint reported at
	// reportedAt. Since then this router has started startedSinceReport and ended
	// endedSinceReport requests at the endpoint.
	reportedLoad       float64
	reportedAt         time.Time
	startedSinceReport int
	endedSinceReport   int
	slots              int     // in the last report
	slowness           float64 // in the last report, in percent of usual; 0 without one
	invalidLoadLogged  bool
	running, waiting   int // in the last report

	// pool is that of the endpoint when it was last chosen.
	pool string
	// unread and toCome are the prompt and output tokens of this router's requests at
	// the endpoint that were placed by expected completion; see Work.
	unread, toCome float64
	// silent has the attempts without an output token, the oldest first.
	silent                          []*Task
	usualSlowness, usualUtilisation average
	speed                           speed

	failureShare         float64 // moving average of the share of failed requests
	samples              int     // observations in failureShare
	consecutiveEjections int     // ejections since the last reinstatement
	ejectedUntil         time.Time
	// probing is set while a single request probes whether an ejected endpoint
	// works again.
	probing  bool
	lastSeen time.Time // when the endpoint was last in a list or observed
}

// Balancer chooses the endpoint for each attempt, and ejects endpoints that fail,
// based on the observations of earlier attempts. It is safe for concurrent use.
type Balancer struct {
	settings      Settings
	clock         clock.Clock
	log           *slog.Logger
	failureDomain string
	pace          Pacer // nil if all factors are 1

	stats balancerStats

	mu       sync.Mutex // guards all below
	states   map[string]*endpointState
	pools    map[string]*poolState
	prefixes map[prefixKey]*prefixState
}

// NewBalancer returns a balancer for a router in the given failure domain.
func NewBalancer(s Settings, failureDomain string, c clock.Clock, log *slog.Logger) *Balancer {
	return &Balancer{
		settings: s, clock: c, log: log, failureDomain: failureDomain, stats: newBalancerStats(),
		states: make(map[string]*endpointState), pools: make(map[string]*poolState), prefixes: make(map[prefixKey]*prefixState),
	}
}

// Choice is the chosen endpoint and the data that led to the choice.
type Choice struct {
	Endpoint endpoints.Endpoint
	// Load is the estimated number of requests at the endpoint before this one.
	Load float64
	// ReportAge is the age of the endpoint's last load report; 0 without one.
	ReportAge time.Duration
	// Candidates is the number of endpoints among which the choice was made.
	Candidates int

	// Task is passed to Progress. It is nil unless ByCompletion is set, that is, the
	// endpoint was chosen by expected completion. The fields below are 0 otherwise.
	Task         *Task
	ByCompletion bool
	Expected     Estimate
	// Home is the kind of home that the endpoint is for the prefix, which has Homes of
	// them at present.
	Home  HomeKind
	Homes int
	// Slowness is the expected factor of the endpoint's times, in percent.
	Slowness float64
	// UnreadTokens are the tokens of the prompt that the endpoint probably has to read,
	// and OutputTokens the expected length of the response.
	UnreadTokens, OutputTokens int64
}

// Begin chooses an endpoint from the available ones that are not excluded, and
// counts the attempt as in flight there. Ejected endpoints are chosen only if there
// are no others. Begin returns false if there is no endpoint to choose from. If it
// returns true, the caller must call End exactly once. The available endpoints are of
// one pool, and the slice must not be changed afterwards.
func (b *Balancer) Begin(available []endpoints.Endpoint, r Request, excluded map[string]bool) (Choice, bool) {
	return b.begin(available, r, excluded, true)
}

// BeginNotEjected is Begin without the ejected endpoints.
func (b *Balancer) BeginNotEjected(available []endpoints.Endpoint, r Request, excluded map[string]bool) (Choice, bool) {
	return b.begin(available, r, excluded, false)
}

func (b *Balancer) begin(available []endpoints.Endpoint, r Request, excluded map[string]bool, allowEjected bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(available) == 0 {
		return Choice{}, false
	}
	now := b.clock.Now()
	var choice Choice
	chosen := false
	if p := b.pools[available[0].Pool]; p != nil && p.active {
		choice, chosen = b.beginByCompletionLocked(available, r, excluded, now)
	}
	if !chosen {
		if choice, chosen = b.beginByLoadLocked(available, r.Affinity, excluded, allowEjected, now); !chosen {
			return Choice{}, false
		}
	}
	s := b.states[choice.Endpoint.ID]
	s.inFlight++
	s.startedSinceReport++
	s.probing = s.consecutiveEjections > 0
	s.pool = choice.Endpoint.Pool
	if !s.reportedAt.IsZero() {
		choice.ReportAge = now.Sub(s.reportedAt)
	}
	return choice, true
}

// beginByLoadLocked chooses an endpoint by Choose, among all that are available.
func (b *Balancer) beginByLoadLocked(available []endpoints.Endpoint, affinity uint64, excluded map[string]bool, allowEjected bool, now time.Time) (Choice, bool) {
	var candidates []Candidate
	var chosenFrom []endpoints.Endpoint
	var ejected []endpoints.Endpoint
	for _, e := range available {
		if excluded[e.ID] {
			continue
		}
		s := b.stateLocked(e.ID, now)
		if now.Before(s.ejectedUntil) || s.consecutiveEjections > 0 && s.probing {
			ejected = append(ejected, e)
			continue
		}
		candidates = append(candidates, Candidate{ID: e.ID, Load: b.loadLocked(s, now), Slots: e.Slots, Local: e.Domain == b.failureDomain, Slowness: b.slownessLocked(s, now)})
		chosenFrom = append(chosenFrom, e)
	}
	if len(chosenFrom) == 0 && allowEjected {
		// An ejected endpoint may work after all, so using it is better than
		// refusing the request.
		for _, e := range ejected {
			s := b.states[e.ID]
			candidates = append(candidates, Candidate{ID: e.ID, Load: b.loadLocked(s, now), Slots: e.Slots, Local: e.Domain == b.failureDomain, Slowness: b.slownessLocked(s, now)})
		}
		chosenFrom = ejected
	}
	candidates, chosenFrom = b.applyPace(candidates, chosenFrom, affinity)
	i := Choose(candidates, affinity, rand.Uint64())
	if i < 0 {
		return Choice{}, false
	}
	return Choice{Endpoint: chosenFrom[i], Load: candidates[i].Load, Candidates: len(candidates)}, true
}

// stateLocked returns the state of an endpoint, creating it if needed, and marks
// it as seen.
func (b *Balancer) stateLocked(id string, now time.Time) *endpointState {
	s := b.states[id]
	if s == nil {
		s = &endpointState{}
		b.states[id] = s
	}
	s.lastSeen = now
	return s
}

// loadLocked estimates the number of requests at an endpoint. It adjusts the last
// reported load by the requests that this router has started and ended since the
// report. The result is at least the number of this router's requests in flight,
// which is also used if the report is missing or too old.
func (b *Balancer) loadLocked(s *endpointState, now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > b.settings.ReportMaxAge {
		return float64(s.inFlight)
	}
	return max(s.reportedLoad+float64(s.startedSinceReport-s.endedSinceReport), float64(s.inFlight))
}

// slownessLocked returns the slowness that an endpoint reported, in percent of usual, or
// 0 if it did not or the report is too old.
func (b *Balancer) slownessLocked(s *endpointState, now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > b.settings.ReportMaxAge {
		return 0
	}
	return s.slowness
}

// Report records the load that an endpoint reported.
func (b *Balancer) Report(id string, load exchange.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.stateLocked(id, now)
	s.running, s.waiting = load.Running, load.Waiting
	s.reportedLoad, s.slots, s.slowness = float64(load.Running+load.Waiting), load.Slots, load.Slowness
	s.reportedAt, s.startedSinceReport, s.endedSinceReport = now, 0, 0
	b.learnReportLocked(s, load, now)
}

// LogInvalidLoad logs the load that an endpoint reported and that is not used, once for
// each endpoint.
func (b *Balancer) LogInvalidLoad(id, value string) {
	b.mu.Lock()
	s := b.stateLocked(id, b.clock.Now())
	logged := s.invalidLoadLogged
	s.invalidLoadLogged = true
	b.mu.Unlock()
	if !logged {
		b.log.Warn("load report of an endpoint ignored, it is invalid", "endpoint", id, "value", value)
	}
}

// End ends an attempt that Begin started and records what it showed of the
// endpoint.
func (b *Balancer) End(c Choice, observation Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	e := c.Endpoint
	c.Task.endLocked(now, observation == Succeeded)
	s := b.stateLocked(e.ID, now)
	s.inFlight--
	s.endedSinceReport++
	b.observeLocked(e, s, observation, now)
}

// Suspect records that an endpoint stalls while an attempt is still waiting for
// it. End must still be called for that attempt.
func (b *Balancer) Suspect(e endpoints.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.observeLocked(e, b.stateLocked(e.ID, now), Stalled, now)
}

// observeLocked updates the state of an endpoint with an observation, and ejects
// or reinstates the endpoint.
func (b *Balancer) observeLocked(e endpoints.Endpoint, s *endpointState, observation Observation, now time.Time) {
	b.observePace(e.ID, observation)
	switch observation {
	case Succeeded:
		s.probing = false
		if s.consecutiveEjections > 0 && now.After(s.ejectedUntil) {
			s.consecutiveEjections = 0
			b.log.Info("endpoint reinstated", "endpoint", e.ID, "pool", e.Pool)
		}
		s.failureShare += failureWeight * (0 - s.failureShare)
		s.samples++
	case Failed:
		s.probing = false
		s.failureShare += failureWeight * (1 - s.failureShare)
		s.samples++
		if s.samples >= minSamples && s.failureShare > b.settings.FailureShare && s.failureShare > b.settings.FailureFactor*b.otherFailureShareLocked(e.ID) {
			b.ejectLocked(e, s, now, "fails more often than others")
		}
	case Unreachable, Stalled:
		s.probing = false
		b.ejectLocked(e, s, now, map[Observation]string{Unreachable: "unreachable", Stalled: "silent"}[observation])
	case AtCapacity, Inconclusive:
		s.probing = false
	}
}

// minSamples is the number of observations that a share of failures needs before it
// is used.
const minSamples = 8

// otherFailureShareLocked returns the mean share of failures of the other
// endpoints, or 0 if none has enough samples.
func (b *Balancer) otherFailureShareLocked(id string) float64 {
	sum, n := 0.0, 0
	for other, s := range b.states {
		if other != id && s.samples >= minSamples {
			sum += s.failureShare
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// ejectLocked ejects an endpoint unless it is ejected already. The duration
// doubles with each consecutive ejection. Reason is only logged.
func (b *Balancer) ejectLocked(e endpoints.Endpoint, s *endpointState, now time.Time, reason string) {
	if now.Before(s.ejectedUntil) {
		return
	}
	ejectFor := min(b.settings.EjectFor<<min(s.consecutiveEjections, maxEjectDoublings), b.settings.MaxEjectFor)
	s.consecutiveEjections++
	s.ejectedUntil = now.Add(ejectFor)
	if b.pace != nil {
		b.pace.Ejected(e.ID, s.ejectedUntil)
	}
	b.log.Warn("endpoint ejected", "endpoint", e.ID, "pool", e.Pool, "reason", reason,
		"for_ms", ejectFor.Milliseconds(), "streak", s.consecutiveEjections, "failure_share", s.failureShare, "samples", s.samples)
}

// maxEjectDoublings bounds how often the duration of an ejection is doubled, so that
// its computation does not overflow.
const maxEjectDoublings = 8

// stateRetention is how long the state of an endpoint is kept after it was last
// seen.
const stateRetention = 5 * time.Minute

// Prune drops the state of endpoints that have not been seen for stateRetention
// and have no requests in flight, and that of prefixes that are not in use.
func (b *Balancer) Prune() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for id, s := range b.states {
		if s.inFlight == 0 && now.Sub(s.lastSeen) > stateRetention {
			delete(b.states, id)
		}
	}
	for key, p := range b.prefixes {
		if now.Sub(p.usedAt) > prefixRetention {
			delete(b.prefixes, key)
		}
	}
}

// Affinity returns a hash of the model and the shared prompt of a generation,
// which is the longest sequence of segments that other requests can have in common.
// It is identified by its last segment: the last but one of the prompt, or the
// only one. Affinity returns 0 if there are no segments.
func Affinity(g *exchange.Generation) uint64 {
	if g == nil || len(g.Segments) == 0 {
		return 0
	}
	lastShared := g.Segments[max(len(g.Segments)-2, 0)]
	return hash(g.Model + "/" + lastShared.ID)
}
