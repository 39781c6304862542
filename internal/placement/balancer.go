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

// Settings are the settings of a balancer.
type Settings struct {
	// ReportMemory is how long what an endpoint said of its load is believed.
	ReportMaxAge time.Duration `json:"report_memory"`
	// EjectFor is how long an endpoint that failed gets no requests; it
	// doubles with each failure up to EjectMost.
	EjectFor    time.Duration `json:"eject_for"`
	MaxEjectFor time.Duration `json:"eject_most"`
	// FailureShare is the share of failed requests above which an endpoint is
	// ejected, if it also fails FailureFactor times as often as its pool.
	FailureShare  float64 `json:"failure_share"`
	FailureFactor float64 `json:"failure_factor"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		ReportMaxAge:  2 * time.Second,
		EjectFor:      700 * time.Millisecond, // below the second in which crashed endpoints restart
		MaxEjectFor:   4 * time.Second,
		FailureShare:  0.4,
		FailureFactor: 2,
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

// Outcome is what became of a request at an endpoint.
type Observation int

// The outcomes of requests.
const (
	// Served: the endpoint answered.
	Succeeded Observation = iota
	// Failed: the endpoint answered with a failure of its own, or broke off.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Silent: the endpoint sent nothing for too long.
	Stalled
	// Full: the endpoint refused for lack of room.
	AtCapacity
	// Dropped: the request ended for reasons of its caller.
	Inconclusive
)

// failureWeight is the weight of a new outcome in the running share of
// failures.
const failureWeight = 0.15

// state is what is known of one endpoint.
type state struct {
	inFlight int
	// reported is the load that the endpoint told, at reportedAt; begun
	// counts own requests sent since, and inFlightThen the own ones in it.
	reported   float64
	reportedAt time.Time
	begun      int
	ended      int
	slots      int

	failures     float64 // running share of failed requests
	samples      int
	streak       int // failures in a row that eject
	ejectedUntil time.Time
	// trial is set while one request tries an endpoint that was ejected.
	trial bool
	seen  time.Time
}

// Balancer chooses endpoints and learns from the outcomes. It is safe for
// concurrent use.
type Balancer struct {
	settings Settings
	clock    clock.Clock
	log      *slog.Logger
	domain   string

	mu     sync.Mutex // guards states
	states map[string]*state
}

// NewBalancer returns a balancer of a router in a failure domain.
func NewBalancer(s Settings, domain string, c clock.Clock, log *slog.Logger) *Balancer {
	return &Balancer{settings: s, clock: c, log: log, domain: domain, states: make(map[string]*state)}
}

// Choice is the endpoint chosen and what decided.
type Choice struct {
	Endpoint endpoints.Endpoint
	// Load is what was thought to be at the endpoint, from a report of age
	// ReportAge (0 without one); Candidates is the number to choose from.
	Load       float64
	ReportAge  time.Duration
	Candidates int
}

// Begin chooses an endpoint and counts the request there. It returns false if
// no endpoint may get it. Exactly one End must follow.
func (b *Balancer) Begin(list []endpoints.Endpoint, affinity uint64, excluded map[string]bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var candidates []Candidate
	var from []endpoints.Endpoint
	var ejected []endpoints.Endpoint
	for _, e := range list {
		if excluded[e.ID] {
			continue
		}
		s := b.stateLocked(e.ID, now)
		if now.Before(s.ejectedUntil) || s.streak > 0 && s.trial {
			ejected = append(ejected, e)
			continue
		}
		candidates = append(candidates, Candidate{ID: e.ID, Load: b.loadLocked(s, now), Slots: e.Slots, Local: e.Domain == b.domain})
		from = append(from, e)
	}
	if len(from) == 0 {
		// A guess that an endpoint is down is no reason to refuse.
		for _, e := range ejected {
			s := b.states[e.ID]
			candidates = append(candidates, Candidate{ID: e.ID, Load: b.loadLocked(s, now), Slots: e.Slots, Local: e.Domain == b.domain})
		}
		from = ejected
	}
	i := Choose(candidates, affinity, rand.Uint64())
	if i < 0 {
		return Choice{}, false
	}
	s := b.states[from[i].ID]
	s.inFlight++
	s.begun++
	s.trial = s.streak > 0
	choice := Choice{Endpoint: from[i], Load: candidates[i].Load, Candidates: len(candidates)}
	if !s.reportedAt.IsZero() {
		choice.ReportAge = now.Sub(s.reportedAt)
	}
	return choice, true
}

func (b *Balancer) stateLocked(id string, now time.Time) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	s.seen = now
	return s
}

// loadLocked estimates the requests at an endpoint: what it told, with the own
// ones begun and ended since, and at least the own ones.
func (b *Balancer) loadLocked(s *state, now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > b.settings.ReportMaxAge {
		return float64(s.inFlight)
	}
	return max(s.reported+float64(s.begun-s.ended), float64(s.inFlight))
}

// Report takes over what an endpoint said of its load.
func (b *Balancer) Report(id string, load exchange.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(id, b.clock.Now())
	s.reported, s.slots = float64(load.Running+load.Waiting), load.Slots
	s.reportedAt, s.begun, s.ended = b.clock.Now(), 0, 0
}

// End counts the outcome of a request.
func (b *Balancer) End(e endpoints.Endpoint, outcome Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.stateLocked(e.ID, now)
	s.inFlight--
	s.ended++
	b.learnLocked(e, s, outcome, now)
}

// Suspect notes that an endpoint seems silent while a request waits there.
func (b *Balancer) Suspect(e endpoints.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.learnLocked(e, b.stateLocked(e.ID, now), Stalled, now)
}

func (b *Balancer) learnLocked(e endpoints.Endpoint, s *state, outcome Observation, now time.Time) {
	switch outcome {
	case Succeeded:
		s.trial = false
		if s.streak > 0 && now.After(s.ejectedUntil) {
			s.streak = 0
			b.log.Info("endpoint serves again", "endpoint", e.ID, "pool", e.Pool)
		}
		s.failures += failureWeight * (0 - s.failures)
		s.samples++
	case Failed:
		s.trial = false
		s.failures += failureWeight * (1 - s.failures)
		s.samples++
		if s.samples >= minSamples && s.failures > b.settings.FailureShare && s.failures > b.settings.FailureFactor*b.othersLocked(e.ID) {
			b.ejectLocked(e, s, now, "fails more often than others")
		}
	case Unreachable, Stalled:
		s.trial = false
		b.ejectLocked(e, s, now, map[Observation]string{Unreachable: "unreachable", Stalled: "silent"}[outcome])
	case AtCapacity, Inconclusive:
		s.trial = false
	}
}

// minSamples is the number of outcomes before a share of failures counts.
const minSamples = 8

// othersLocked is the mean share of failures at other endpoints.
func (b *Balancer) othersLocked(id string) float64 {
	sum, n := 0.0, 0
	for other, s := range b.states {
		if other != id && s.samples >= minSamples {
			sum += s.failures
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (b *Balancer) ejectLocked(e endpoints.Endpoint, s *state, now time.Time, reason string) {
	if now.Before(s.ejectedUntil) {
		return
	}
	pause := min(b.settings.EjectFor<<min(s.streak, maxDoublings), b.settings.MaxEjectFor)
	s.streak++
	s.ejectedUntil = now.Add(pause)
	b.log.Warn("endpoint ejected", "endpoint", e.ID, "pool", e.Pool, "reason", reason,
		"for_ms", pause.Milliseconds(), "streak", s.streak, "failure_share", s.failures, "samples", s.samples)
}

// maxDoublings keeps the computation of a pause in range.
const maxDoublings = 8

// forgetAfter is how long an endpoint that is in no list is remembered.
const forgetAfter = 5 * time.Minute

// Forget drops the state of endpoints that were in no list for long.
func (b *Balancer) Prune() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.inFlight == 0 && b.clock.Now().Sub(s.seen) > forgetAfter {
			delete(b.states, id)
		}
	}
}

// Affinity hashes the shared prompt of a generation: the longest run of parts
// that other requests can have too. It returns 0 if there is none.
func Affinity(g *exchange.Generation) uint64 {
	if g == nil || len(g.Segments) == 0 {
		return 0
	}
	shared := g.Segments[max(len(g.Segments)-2, 0)]
	return hash(g.Model + "/" + shared.ID)
}
