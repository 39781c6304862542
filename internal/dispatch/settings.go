package dispatch

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Bound is a time-out that follows a pool's median.
type AdaptiveTimeout struct {
	// Factor multiplies the median; the product is kept from Floor to
	// Ceiling.
	Factor  float64       `json:"factor"`
	Floor   time.Duration `json:"floor"`
	Ceiling time.Duration `json:"ceiling"`
}

// of returns the time-out for a median; an unknown median gives Ceiling.
func (b AdaptiveTimeout) of(median time.Duration) time.Duration {
	if median <= 0 {
		return b.Ceiling
	}
	return min(max(time.Duration(b.Factor*float64(median)), b.Floor), b.Ceiling)
}

func (b AdaptiveTimeout) validate(l *check.List, path string) {
	if b.Factor < 1 {
		l.Add(path+".factor", b.Factor, "1 or more")
	}
	l.Duration(path+".floor", b.Floor, time.Millisecond, time.Hour)
	l.Duration(path+".ceiling", b.Ceiling, b.Floor, time.Hour)
}

// Settings are the settings of the dispatch duty.
type Settings struct {
	// DialTimeout bounds the making of a connection to an endpoint.
	DialTimeout time.Duration `json:"dial_timeout"`
	// IdleConns bounds the idle connections kept to each endpoint, and
	// IdleTimeout the time that one is kept.
	IdleConns   int           `json:"idle_conns"`
	IdleTimeout time.Duration `json:"idle_timeout"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"max_attempts"`
	// FirstToken bounds the time to the first token of an attempt, and Gap
	// the time between two tokens.
	FirstTokenTimeout AdaptiveTimeout `json:"first_token"`
	GapTimeout        AdaptiveTimeout `json:"gap"`
	// DeadlineShare is the largest share of the time left that one attempt
	// may take to its first token, so that time for another is left.
	DeadlineShare float64 `json:"deadline_share"`
	// MaxChunkTokens is the most tokens that one piece of a stream holds; a
	// count that jumps further means that a piece is missing.
	MaxChunkTokens int64 `json:"max_chunk_tokens"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:       time.Second,
		IdleConns:         256,
		IdleTimeout:       15 * time.Second,
		MaxAttempts:       4,
		FirstTokenTimeout: AdaptiveTimeout{Factor: 8, Floor: time.Second, Ceiling: 20 * time.Second},
		GapTimeout:        AdaptiveTimeout{Factor: 25, Floor: 500 * time.Millisecond, Ceiling: 5 * time.Second},
		DeadlineShare:     0.5,
		MaxChunkTokens:    16,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".dial_timeout", s.DialTimeout, time.Millisecond, time.Minute)
	l.Positive(path+".idle_conns", int64(s.IdleConns))
	l.Duration(path+".idle_timeout", s.IdleTimeout, time.Millisecond, time.Hour)
	l.Positive(path+".max_attempts", int64(s.MaxAttempts))
	s.FirstTokenTimeout.validate(l, path+".first_token")
	s.GapTimeout.validate(l, path+".gap")
	l.Share(path+".deadline_share", s.DeadlineShare)
	l.Positive(path+".max_chunk_tokens", s.MaxChunkTokens)
}
