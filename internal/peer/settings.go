// Package peer implements bus.Bus between the routers of a fleet. Requests and
// responses are CBOR messages over WebSocket connections, which both sides
// authenticate with a shared secret.
package peer

import (
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// Settings configure the peer link of a router.
type Settings struct {
	// Listen is the host:port on which other routers connect; if it is empty,
	// this router does not listen for peers.
	Listen string `json:"listen"`
	// Advertise is the host:port that other routers dial; empty means the
	// address of the listener.
	Advertise string `json:"advertise"`
	// Secret is shared by the routers of one fleet and authenticates them to
	// each other. It is never sent.
	Secret string `json:"secret"`
	// TLS is this router's certificate, issued for CertName, and CAFile is the
	// PEM file of the certificates that it trusts. Either both are set or
	// neither is; without them the link is not encrypted.
	TLS    tlsfile.Settings `json:"tls"`
	CAFile string           `json:"ca_file"`
	// Seeds are the host:port of routers from which this router requests the
	// configuration if the platform is unreachable when it starts.
	Seeds []string `json:"seeds"`
	// CallTimeout bounds a request to a peer whose context has no deadline.
	CallTimeout time.Duration `json:"call_timeout"`
	// DialTimeout bounds a dial including its handshake.
	DialTimeout time.Duration `json:"dial_timeout"`
	// PingInterval is the time without a received message after which a
	// connection is pinged. PingTimeout bounds the wait for the pong and the
	// write of one message.
	PingInterval time.Duration `json:"ping_interval"`
	PingTimeout  time.Duration `json:"ping_timeout"`
	// IdleTimeout is the time without a request after which a connection is
	// closed.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// MaxMessageBytes bounds one encoded message in either direction.
	MaxMessageBytes int64 `json:"max_message_bytes"`
	// SendQueue is the number of messages that can wait to be sent on one
	// connection; further ones are rejected.
	SendQueue int `json:"send_queue"`
	// MaxInFlight bounds, for each connection, the sent requests that wait for
	// a response, and separately the received requests that are being handled.
	MaxInFlight int `json:"max_in_flight"`
}

// DefaultSettings returns the default settings.
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

// CertName is the host name in the certificates of the peer link. All routers
// use the same name, because they dial each other by IP addresses that change.
const CertName = "daisyslip-peer"

// minSecretBytes is the length of the shortest valid secret.
const minSecretBytes = 16

// Validate adds every invalid setting to l, with its key below path. Without Listen
// the other settings are not checked.
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

// validateCA checks that the trusted certificates are set if and only if TLS
// is enabled, and that they can be loaded.
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
