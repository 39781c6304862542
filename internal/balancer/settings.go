// Package balancer chooses the endpoint for each attempt. It tracks each endpoint's
// load, speed, health and prefix cache, and limits retries per pool.
package balancer

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings configure a Balancer.
type Settings struct {
	// PollInterval is the time between two polls of an endpoint that this
	// router uses, and PollTimeout bounds each request of a poll.
	PollInterval time.Duration `json:"poll_interval"`
	PollTimeout  time.Duration `json:"poll_timeout"`
	// PollFanout bounds the number of concurrent polls and probes.
	PollFanout int `json:"poll_fanout"`
	// ActiveTime is how long an endpoint is still polled after its last use.
	ActiveTime time.Duration `json:"active_time"`
	// MaxViewAge is the maximum age of an endpoint's load report for sending it
	// new work; an older report is refreshed first.
	MaxViewAge time.Duration `json:"max_view_age"`
	// EjectFailures is the number of consecutive failures after which an
	// endpoint is ejected.
	EjectFailures int `json:"eject_failures"`
	// SlowFactor is how many times the pool's median gap between tokens an
	// endpoint's gap may be before it is ejected.
	SlowFactor float64 `json:"slow_factor"`
	// SlowSamples is the number of gap samples that an endpoint needs before
	// its speed is compared.
	SlowSamples int `json:"slow_samples"`
	// EjectTime is the time from an ejection to the first probe. Each failed
	// probe doubles the time to the next one, up to EjectMax.
	EjectTime time.Duration `json:"eject_time"`
	EjectMax  time.Duration `json:"eject_max"`
	// MaxEjected is the largest share, from 0 to 1, of a pool's endpoints that
	// may be ejected at once.
	MaxEjected float64 `json:"max_ejected"`
	// RetryShare limits the retries of a pool to this share of its requests
	// within a minute. RetryFloor is the number of retries per minute that is
	// always allowed.
	RetryShare float64 `json:"retry_share"`
	RetryFloor int     `json:"retry_floor"`
	// LoadBound is the load, as a multiple of the pool's mean load, up to which
	// an endpoint may be chosen for its cached prefix.
	LoadBound float64 `json:"load_bound"`
	// CacheBlocks bounds the number of cached prefix blocks tracked for each
	// endpoint.
	CacheBlocks int `json:"cache_blocks"`
}

// DefaultSettings returns the default settings.
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

// Validate adds every invalid setting to l, with its key below path.
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
