package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// protocolVersion is the version of envelopes and of the handshake. Fields
// may be added without a new version, since unknown ones are ignored.
const protocolVersion = 1

// envelope is one message on an established connection. The sender and its
// incarnation are those of the handshake, which holds for the connection.
type envelope struct {
	Version uint8 `cbor:"1,keyasint"`
	// ID joins an answer to its request.
	ID uint64 `cbor:"2,keyasint"`
	// Kind is set on requests only.
	Kind bus.Kind `cbor:"3,keyasint,omitempty"`
	// Stamp is the sender's hybrid clock.
	Stamp hlc.Time `cbor:"4,keyasint"`
	// TimeoutMS is how long the sender of a request waits.
	TimeoutMS int64  `cbor:"5,keyasint,omitempty"`
	Body      []byte `cbor:"6,keyasint,omitempty"`
	// Fault is set on the answer of a request that failed.
	Fault *fault `cbor:"7,keyasint,omitempty"`
	// Request is the caller's request on whose behalf a request is sent, for
	// the time line.
	Request string `cbor:"8,keyasint,omitempty"`
}

// fault carries a failure.Error over the link.
type fault struct {
	Code         failure.Code `cbor:"1,keyasint"`
	Step         string       `cbor:"2,keyasint"`
	Peer         string       `cbor:"3,keyasint,omitempty"`
	Message      string       `cbor:"4,keyasint"`
	Ran          failure.Ran  `cbor:"5,keyasint"`
	RetryAfterMS int64        `cbor:"6,keyasint,omitempty"`
}

func (e *envelope) isRequest() bool { return e.Kind != "" }

// decMode refuses malformed input early: limits on nesting and sizes keep a
// small message from claiming much memory.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decodeEnvelope reads one message.
func decodeEnvelope(data []byte) (*envelope, error) {
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	if e.Version != protocolVersion {
		return nil, fmt.Errorf("decode envelope: version %d is not %d", e.Version, protocolVersion)
	}
	if e.ID == 0 {
		return nil, errors.New("decode envelope: no id")
	}
	return &e, nil
}

// faultOf turns a handler's error into what crosses the link.
func newFault(kind bus.Kind, err error) *fault {
	f := failure.As(err)
	if f == nil {
		f = failure.Wrap(failure.Internal, string(kind), "", err).WithRan(failure.RanUnknown)
	}
	return &fault{
		Code: f.Code, Step: f.Step, Peer: f.Peer, Message: f.Message, Ran: f.Ran,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}
}

// err returns the failure that the fault carries; peer is its sender, which
// is filled in where the failure names no other.
func (f *fault) toError(peer string) error {
	if f.Peer != "" {
		peer = f.Peer
	}
	return &failure.Error{
		Code: f.Code, Step: f.Step, Peer: peer, Message: f.Message, Ran: f.Ran,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
	}
}
