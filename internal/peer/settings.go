// Package peer links the routers of a fleet: it carries the requests of
// package bus over WebSocket with CBOR.
package peer

import (
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// Settings are the settings of the peer link.
type Settings struct {
	// Listen is the host:port for other routers; empty turns the link off.
	Listen string `json:"listen"`
	// Advertise is the host:port that others dial; empty means Listen.
	Advertise string `json:"advertise"`
	// Secret authenticates the routers of one fleet to each other.
	Secret string `json:"secret"`
	// TLS is the certificate of the link, for the name CertName, and CAFile
	// the PEM file of the certificates that are trusted. Both or none: none
	// sends in the clear.
	TLS    tlsfile.Settings `json:"tls"`
	CAFile string           `json:"ca_file"`
	// Seeds are the host:port of routers that are asked for their
	// configuration if the platform is away when this router starts.
	Seeds []string `json:"seeds"`
	// CallTimeout bounds one request to a peer.
	CallTimeout time.Duration `json:"call_timeout"`
	// DialTimeout bounds a dial with its handshake.
	DialTimeout time.Duration `json:"dial_timeout"`
	// PingInterval is the time without a received message after which a
	// connection is pinged, and PingTimeout the wait for the answer.
	PingInterval time.Duration `json:"ping_interval"`
	PingTimeout  time.Duration `json:"ping_timeout"`
	// IdleTimeout closes a connection that carried no request for so long.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// MaxMessageBytes bounds one message.
	MaxMessageBytes int64 `json:"max_message_bytes"`
	// SendQueue is the number of messages that wait to be sent to one peer.
	SendQueue int `json:"send_queue"`
	// MaxInFlight bounds the requests of one connection that wait for their
	// answers, and those that are being handled, each by itself.
	MaxInFlight int `json:"max_in_flight"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		CallTimeout:     time.Second,
		DialTimeout:     time.Second,
		PingInterval:    2 * time.Second,
		PingTimeout:     time.Second,
		IdleTimeout:     time.Minute,
		MaxMessageBytes: 16 << 20,
		SendQueue:       256,
		MaxInFlight:     1024,
	}
}

// CertName is the name in the certificate of the peer link. It is the same on
// all routers, since they reach each other by IP numbers that change.
const CertName = "daisyslip-peer"

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
	for i, seed := range s.Seeds {
		l.Listen(fmt.Sprintf("%s.seeds[%d]", path, i), seed)
	}
	s.TLS.Validate(l, path+".tls")
	s.validateCA(l, path+".ca_file")
	l.Duration(path+".call_timeout", s.CallTimeout, time.Millisecond, time.Minute)
	l.Duration(path+".dial_timeout", s.DialTimeout, time.Millisecond, time.Minute)
	l.Duration(path+".ping_interval", s.PingInterval, time.Millisecond, time.Minute)
	l.Duration(path+".ping_timeout", s.PingTimeout, time.Millisecond, time.Minute)
	l.Duration(path+".idle_timeout", s.IdleTimeout, time.Second, time.Hour)
	l.Positive(path+".max_message_bytes", s.MaxMessageBytes)
	l.Positive(path+".send_queue", int64(s.SendQueue))
	l.Positive(path+".max_in_flight", int64(s.MaxInFlight))
}

// validateCA wants trusted certificates exactly if TLS is on.
func (s Settings) validateCA(l *check.List, path string) {
	if s.TLS.Enabled() != (s.CAFile != "") {
		l.Add(path, s.CAFile, "the trusted certificates if tls is set, and nothing if not")
		return
	}
	if s.CAFile == "" {
		return
	}
	if _, err := tlsfile.ClientConfig(s.CAFile, CertName); err != nil {
		l.Add(path, s.CAFile, "a PEM file with certificates: "+err.Error())
	}
}
