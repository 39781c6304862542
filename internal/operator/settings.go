// Package operator serves the API of operators: configuration, budgets,
// status and the time line.
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
	// TLS is the certificate of the API; none serves plain HTTP.
	TLS tlsfile.Settings `json:"tls"`
	// TokenHash is the hex SHA-256 of the operators' bearer token.
	TokenHash string `json:"token_hash"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{MaxBodyBytes: 32 << 20} }

// hashBytes is the length of a SHA-256.
const tokenHashBytes = 32

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Listen(path+".listen", s.Listen)
	s.TLS.Validate(l, path+".tls")
	if hash, err := hex.DecodeString(s.TokenHash); err != nil || len(hash) != tokenHashBytes {
		l.Add(path+".token_hash", s.TokenHash, "the hex SHA-256 of the operators' token; make it with: daisyslip token hash")
	}
	l.Positive(path+".max_body_bytes", s.MaxBodyBytes)
}
