package routerload

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings configure a Monitor.
type Settings struct {
	// Enabled is unset for a router that is never overloaded.
	Enabled bool `json:"enabled"`
	// EnterBacklog and ExitBacklog are the thresholds of State.Pressure, in seconds of
	// work, above which the router becomes overloaded and below which it is normal again.
	EnterBacklog float64 `json:"enter_backlog_s"`
	ExitBacklog  float64 `json:"exit_backlog_s"`
	// TargetUse is the share of a resource up to which the arrival of work adds nothing to
	// the pressure.
	TargetUse float64 `json:"target_use"`
	// EnterLateness and ExitLateness are the thresholds of the mean lateness of a timer.
	EnterLateness time.Duration `json:"enter_lateness"`
	ExitLateness  time.Duration `json:"exit_lateness"`
	// MinWithdrawn and MaxWithdrawn bound the time for which readiness is withdrawn. A
	// withdrawal lasts longer than the former if the callers came back after the last one.
	MinWithdrawn time.Duration `json:"min_withdrawn"`
	MaxWithdrawn time.Duration `json:"max_withdrawn"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Enabled: true,
		// A lasting use of 0.95 is an overload, and one below 0.7 none any more. With a target
		// of 0.7, random arrivals at a use of 0.72 are an overload most of the time.
		EnterBacklog: 0.3, ExitBacklog: -0.2, TargetUse: 0.8,
		// A router that ran for 14 or 19 ms of every 100 had a mean lateness of 50 to 53 ms
		// with 12 requests per second.
		EnterLateness: 100 * time.Millisecond, ExitLateness: 75 * time.Millisecond,
		MinWithdrawn: minWithdrawn, MaxWithdrawn: maxWithdrawn,
	}
}

// Validate adds every invalid setting to l.
func (s Settings) Validate(l *check.List, path string) {
	if !(s.EnterBacklog > 0) {
		l.Add(path+".enter_backlog_s", s.EnterBacklog, "a number above 0")
	}
	if !(s.ExitBacklog < s.EnterBacklog) {
		l.Add(path+".exit_backlog_s", s.ExitBacklog, "a number below enter_backlog_s")
	}
	l.Share(path+".target_use", s.TargetUse)
	l.Duration(path+".enter_lateness", s.EnterLateness, time.Millisecond, time.Minute)
	l.Duration(path+".exit_lateness", s.ExitLateness, 0, s.EnterLateness)
	l.Duration(path+".min_withdrawn", s.MinWithdrawn, minWithdrawn, maxWithdrawn)
	l.Duration(path+".max_withdrawn", s.MaxWithdrawn, s.MinWithdrawn, maxWithdrawn)
}
