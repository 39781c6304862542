// Package caller serves the API for callers: chat completions, models and plain
// services. It authenticates, checks and limits requests, reserves tokens in the
// workspace's budget, and responds with either a complete result or an error that
// states whether the request was executed.
package caller

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// Settings configure the caller API.
type Settings struct {
	// Listen is the host:port of the API.
	Listen string `json:"listen"`
	// TLS is the certificate of the API; without one, the API uses plain HTTP.
	TLS tlsfile.Settings `json:"tls"`
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration `json:"header_timeout"`
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration `json:"body_timeout"`
	// WriteTimeout bounds each write of a stream event to a caller.
	WriteTimeout time.Duration `json:"write_timeout"`
	// IdleTimeout is how long an idle connection of a caller is kept open.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// MaxInFlight bounds the number of concurrent requests; more are refused.
	MaxInFlight int `json:"max_in_flight"`
	// DefaultDeadline is the time that a request may take if it names no
	// deadline, and MaxDeadline the longest that it may name.
	DefaultDeadline time.Duration `json:"default_deadline"`
	MaxDeadline     time.Duration `json:"max_deadline"`
	// DefaultMaxTokens is the maximum number of generated tokens for requests
	// that name none, and MaxTokens the largest that a request may name.
	DefaultMaxTokens int64 `json:"default_max_tokens"`
	MaxTokens        int64 `json:"max_tokens"`
	// PromptBytesPerToken is the smallest number of bytes per token of a prompt.
	// It gives an upper bound of a prompt's tokens before an engine has counted
	// them.
	PromptBytesPerToken int64 `json:"prompt_bytes_per_token"`
	// SettleTimeout bounds the time to settle a request's reservation after its
	// generation has ended.
	SettleTimeout time.Duration `json:"settle_timeout"`
	// ReadinessLag is how long load balancers may still send requests after
	// /readyz has started to report that the router is not ready.
	ReadinessLag time.Duration `json:"readiness_lag"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxBodyBytes:        4 << 20,
		MaxHeaderBytes:      32 << 10,
		HeaderTimeout:       5 * time.Second,
		BodyTimeout:         20 * time.Second,
		WriteTimeout:        20 * time.Second,
		IdleTimeout:         2 * time.Minute,
		MaxInFlight:         4096,
		DefaultDeadline:     2 * time.Minute,
		MaxDeadline:         15 * time.Minute,
		DefaultMaxTokens:    512,
		MaxTokens:           32768,
		PromptBytesPerToken: 1,
		SettleTimeout:       5 * time.Second,
		ReadinessLag:        3 * time.Second,
	}
}

// The limits of most of the durations in Settings.
const (
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
)

// Validate adds every invalid setting to l, with its key below path.
func (s Settings) Validate(l *check.List, path string) {
	l.Listen(path+".listen", s.Listen)
	s.TLS.Validate(l, path+".tls")
	l.Positive(path+".max_body_bytes", s.MaxBodyBytes)
	l.Positive(path+".max_header_bytes", int64(s.MaxHeaderBytes))
	l.Duration(path+".header_timeout", s.HeaderTimeout, minDuration, maxDuration)
	l.Duration(path+".body_timeout", s.BodyTimeout, minDuration, maxDuration)
	l.Duration(path+".write_timeout", s.WriteTimeout, minDuration, maxDuration)
	l.Duration(path+".idle_timeout", s.IdleTimeout, minDuration, maxDuration)
	l.Positive(path+".max_in_flight", int64(s.MaxInFlight))
	l.Duration(path+".default_deadline", s.DefaultDeadline, minDuration, maxDuration)
	l.Duration(path+".max_deadline", s.MaxDeadline, s.DefaultDeadline, maxDuration)
	l.Positive(path+".default_max_tokens", s.DefaultMaxTokens)
	if s.MaxTokens < s.DefaultMaxTokens {
		l.Add(path+".max_tokens", s.MaxTokens, "at least default_max_tokens")
	}
	l.Positive(path+".prompt_bytes_per_token", s.PromptBytesPerToken)
	l.Duration(path+".settle_timeout", s.SettleTimeout, minDuration, maxDuration)
	l.Duration(path+".readiness_lag", s.ReadinessLag, 0, maxDuration)
}
