// Package route chooses the endpoint for each attempt and keeps what this
// router knows of each endpoint's load, speed, health and prefix cache.
package route

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the routing duty.
type Settings struct {
	// PollInterval is the time between two load reports of an endpoint that
	// this router uses, and PollTimeout bounds one request for a report.
	PollInterval time.Duration `json:"poll_interval"`
	PollTimeout  time.Duration `json:"poll_timeout"`
	// PollFanout bounds the polls that run at once.
	PollFanout int `json:"poll_fanout"`
	// ActiveTime is how long after its last use an endpoint is polled.
	ActiveTime time.Duration `json:"active_time"`
	// MaxViewAge bounds the age of the load report on which new work goes to
	// an endpoint; an older one is refreshed first.
	MaxViewAge time.Duration `json:"max_view_age"`
	// EjectFailures is the number of failures in a row after which an
	// endpoint is ejected.
	EjectFailures int `json:"eject_failures"`
	// SlowFactor is how many times the pool's median gap between tokens an
	// endpoint's gap may be before it is ejected.
	SlowFactor float64 `json:"slow_factor"`
	// SlowSamples is the number of gaps that must have been seen first.
	SlowSamples int `json:"slow_samples"`
	// EjectTime is how long the first ejection lasts; each that follows a
	// failed probe lasts twice as long, up to EjectMax.
	EjectTime time.Duration `json:"eject_time"`
	EjectMax  time.Duration `json:"eject_max"`
	// MaxEjected is the largest share of a pool that may be ejected at once.
	MaxEjected float64 `json:"max_ejected"`
	// RetryShare bounds the retries of a pool as a share of its requests over
	// a minute, and RetryFloor is the number that is allowed in any minute.
	RetryShare float64 `json:"retry_share"`
	RetryFloor int     `json:"retry_floor"`
	// LoadBound is how many times the mean load of a pool an endpoint may
	// have for a request to follow its cached prefix there.
	LoadBound float64 `json:"load_bound"`
	// CacheBlocks bounds the prefix blocks remembered for each endpoint.
	CacheBlocks int `json:"cache_blocks"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:  500 * time.Millisecond,
		PollTimeout:   500 * time.Millisecond,
		PollFanout:    8,
		ActiveTime:    10 * time.Second,
		MaxViewAge:    2 * time.Second,
		EjectFailures: 3,
		SlowFactor:    2.5,
		SlowSamples:   8,
		EjectTime:     2 * time.Second,
		EjectMax:      time.Minute,
		MaxEjected:    0.5,
		RetryShare:    0.1,
		RetryFloor:    10,
		LoadBound:     1.25,
		CacheBlocks:   16384,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".poll_interval", s.PollInterval, time.Millisecond, time.Minute)
	l.Duration(path+".poll_timeout", s.PollTimeout, time.Millisecond, time.Minute)
	l.Positive(path+".poll_fanout", int64(s.PollFanout))
	l.Duration(path+".active_time", s.ActiveTime, s.PollInterval, time.Hour)
	l.Duration(path+".max_view_age", s.MaxViewAge, s.PollInterval, time.Minute)
	l.Positive(path+".eject_failures", int64(s.EjectFailures))
	if s.SlowFactor <= 1 {
		l.Add(path+".slow_factor", s.SlowFactor, "a number above 1")
	}
	l.Positive(path+".slow_samples", int64(s.SlowSamples))
	l.Duration(path+".eject_time", s.EjectTime, time.Millisecond, time.Hour)
	l.Duration(path+".eject_max", s.EjectMax, s.EjectTime, 24*time.Hour)
	l.Share(path+".max_ejected", s.MaxEjected)
	l.Share(path+".retry_share", s.RetryShare)
	if s.RetryFloor < 0 {
		l.Add(path+".retry_floor", s.RetryFloor, "0 or more")
	}
	if s.LoadBound < 1 {
		l.Add(path+".load_bound", s.LoadBound, "1 or more")
	}
	l.Positive(path+".cache_blocks", int64(s.CacheBlocks))
}
