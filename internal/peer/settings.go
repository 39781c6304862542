// Package peer links the routers of a fleet: it carries the requests of
// package bus over WebSocket with CBOR.
package peer

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the peer link.
type Settings struct {
	// Listen is the host:port for other routers; empty turns the link off.
	Listen string `json:"listen"`
	// Advertise is the host:port that others dial; empty means Listen.
	Advertise string `json:"advertise"`
	// Secret authenticates the routers of one fleet to each other.
	Secret string `json:"secret"`
	// CallTimeout bounds one request to a peer.
	CallTimeout time.Duration `json:"call_timeout"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{CallTimeout: time.Second} }

// minSecretBytes is the shortest secret that is taken.
const minSecretBytes = 16

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	if s.Listen == "" {
		return
	}
	l.Listen(path+".listen", s.Listen)
	if s.Advertise != "" {
		l.Listen(path+".advertise", s.Advertise)
	}
	if len(s.Secret) < minSecretBytes {
		l.Add(path+".secret", "(hidden)", "16 or more characters, the same on all routers")
	}
	l.Duration(path+".call_timeout", s.CallTimeout, time.Millisecond, time.Minute)
}
