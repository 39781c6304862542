package dispatch

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// AdaptiveTimeout is a timeout that is derived from a pool's median latency.
type AdaptiveTimeout struct {
	// Factor multiplies the median; the product is limited to the range from
	// Floor to Ceiling.
	Factor  float64       `json:"factor"`
	Floor   time.Duration `json:"floor"`
	Ceiling time.Duration `json:"ceiling"`
}

// forMedian returns the timeout for a median latency. A median of 0 is unknown and
// gives Ceiling.
func (t AdaptiveTimeout) forMedian(median time.Duration) time.Duration {
	if median <= 0 {
		return t.Ceiling
	}
	return min(max(time.Duration(t.Factor*float64(median)), t.Floor), t.Ceiling)
}

// validate adds every invalid setting to l, with its key below path.
func (t AdaptiveTimeout) validate(l *check.List, path string) {
	if t.Factor < 1 {
		l.Add(path+".factor", t.Factor, "1 or more")
	}
	l.Duration(path+".floor", t.Floor, time.Millisecond, time.Hour)
	l.Duration(path+".ceiling", t.Ceiling, t.Floor, time.Hour)
}

// Settings configure a Dispatcher.
type Settings struct {
	// DialTimeout bounds the time to connect to an endpoint.
	DialTimeout time.Duration `json:"dial_timeout"`
	// IdleConns and IdleTimeout have no effect, because no connection is kept for a
	// second attempt. They are accepted so that settings files with them stay valid.
	IdleConns   int           `json:"idle_conns"`
	IdleTimeout time.Duration `json:"idle_timeout"`
	// MaxAttempts bounds the number of attempts of one request.
	MaxAttempts int `json:"max_attempts"`
	// FirstTokenTimeout bounds the time to the first token of an attempt, and
	// GapTimeout the time between two tokens.
	FirstTokenTimeout AdaptiveTimeout `json:"first_token"`
	GapTimeout        AdaptiveTimeout `json:"gap"`
	// DeadlineShare is the largest share, from 0 to 1, of the time until the
	// request's deadline that one attempt may take to its first token, so that
	// time for another attempt remains.
	DeadlineShare float64 `json:"deadline_share"`
	// MaxChunkTokens is the largest number of tokens in one chunk of a stream. A
	// token count that rises by more means that a chunk is missing.
	MaxChunkTokens int64 `json:"max_chunk_tokens"`
}

// DefaultSettings returns the default settings.
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

// Validate adds every invalid setting to l, with its key below path.
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
