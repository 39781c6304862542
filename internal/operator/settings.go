// Package operator serves a router's HTTP API for operators: configuration and
// its history, budgets, orders to endpoints, status, events, metrics and health
// probes.
package operator

import (
	"encoding/hex"

	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// Settings are the settings of the operator API.
type Settings struct {
	// Listen is the host:port of the API.
	Listen string `json:"listen"`
	// TLS names the certificate of the API and its key. Without a certificate
	// the API is served over plain HTTP.
	TLS tlsfile.Settings `json:"tls"`
	// TokenHash is the SHA-256 of the operators' bearer token, in hex.
	TokenHash string `json:"token_hash"`
	// MaxBodyBytes is the maximum size of a request body. Larger ones are refused
	// with status 413.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// DefaultSettings returns the defaults. Listen and TokenHash have none.
func DefaultSettings() Settings { return Settings{MaxBodyBytes: 32 << 20} }

// tokenHashBytes is the length of a SHA-256 hash.
const tokenHashBytes = 32

// Validate adds every problem of the settings to l. path is the JSON path of the
// settings in their document.
func (s Settings) Validate(l *check.List, path string) {
	l.Listen(path+".listen", s.Listen)
	s.TLS.Validate(l, path+".tls")
	if hash, err := hex.DecodeString(s.TokenHash); err != nil || len(hash) != tokenHashBytes {
		l.Add(path+".token_hash", s.TokenHash, "the hex SHA-256 of the operators' token; make it with: daisyslip token hash")
	}
	l.Positive(path+".max_body_bytes", s.MaxBodyBytes)
}
