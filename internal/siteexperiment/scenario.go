// Package siteexperiment runs several routers on a stand-in of the users' platform, has
// prompts crash endpoints and endpoints state rate limits, and counts what endpoints
// and callers see of it.
package siteexperiment

import (
	"fmt"
	"os"
	"time"

	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/strictjson"
)

// Scenario describes one experiment.
type Scenario struct {
	Name string `json:"name"`
	// Seed determines the prompts.
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	Routers  int           `json:"routers"`
	// RestartEvery is the time between two planned restarts of routers, one after the
	// other; 0 for none.
	RestartEvery time.Duration `json:"restart_every"`
	Endpoints    int           `json:"endpoints"`
	// Rate is the number of sound requests a second over all routers.
	Rate  int       `json:"rate"`
	Crash CrashSpec `json:"crash"`
	Limit LimitSpec `json:"limit"`
}

// CrashSpec describes requests with a segment that crashes the endpoint that responds.
type CrashSpec struct {
	// Every is the time between two such requests, each at another router; 0 for none.
	Every time.Duration `json:"every"`
	// From is the time of the first one.
	From time.Duration `json:"from"`
	// Restart is the time after which an endpoint is back.
	Restart time.Duration `json:"restart"`
}

// LimitSpec describes endpoints that state a rate limit.
type LimitSpec struct {
	// Endpoints is the number of them; PerSecond is the limit of each.
	Endpoints int     `json:"endpoints"`
	PerSecond float64 `json:"per_second"`
}

// DefaultScenario returns the values of fields that a scenario does not set.
func DefaultScenario() Scenario {
	return Scenario{Seed: 1, Duration: 20 * time.Second, Routers: 9, Endpoints: 9, Rate: 60, Crash: CrashSpec{Restart: 3 * time.Second}}
}

// Read reads the scenario file at path.
func Read(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	s := DefaultScenario()
	var problems check.List
	if err := strictjson.Decode(data, &s, &problems); err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", path, err)
	}
	s.validate(&problems)
	if err := problems.Err(); err != nil {
		return Scenario{}, fmt.Errorf("scenario %s:\n%w", path, err)
	}
	return s, nil
}

// Upper bounds of a scenario's fields.
const (
	maxDuration  = time.Hour
	maxRouters   = 256
	maxEndpoints = 256
	maxRate      = 1000
)

// validate adds every problem of the scenario to l.
func (s Scenario) validate(l *check.List) {
	l.Required("name", s.Name)
	l.Duration("duration", s.Duration, time.Second, maxDuration)
	checkCount(l, "routers", s.Routers, 1, maxRouters)
	l.Duration("restart_every", s.RestartEvery, 0, maxDuration)
	checkCount(l, "endpoints", s.Endpoints, 1, maxEndpoints)
	checkCount(l, "rate", s.Rate, 1, maxRate)
	l.Duration("crash.every", s.Crash.Every, 0, maxDuration)
	l.Duration("crash.from", s.Crash.From, 0, maxDuration)
	l.Duration("crash.restart", s.Crash.Restart, time.Millisecond, maxDuration)
	checkCount(l, "limit.endpoints", s.Limit.Endpoints, 0, s.Endpoints)
	if s.Limit.Endpoints > 0 && !(s.Limit.PerSecond > 0) {
		l.Add("limit.per_second", s.Limit.PerSecond, "a number above 0")
	}
}

// checkCount adds a problem unless value is between low and high.
func checkCount(l *check.List, path string, value, low, high int) {
	if value < low || value > high {
		l.Add(path, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}
