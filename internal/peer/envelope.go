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

// protocolVersion is the version of the envelopes and of the handshake. Adding
// a field needs no new version, since unknown fields are ignored.
const protocolVersion = 1

// envelope is one message on an authenticated connection, either a request or
// a response. It does not name its sender, because the handshake has identified
// the peer for the whole connection.
type envelope struct {
	Version uint8 `cbor:"1,keyasint"`
	// ID is chosen by the sender of a request and repeated in the response.
	// It is never 0.
	ID uint64 `cbor:"2,keyasint"`
	// Kind selects the handler of a request; it is empty in a response.
	Kind bus.Kind `cbor:"3,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock when it queued the message.
	Stamp hlc.Time `cbor:"4,keyasint"`
	// TimeoutMS is how long the sender of a request waits for the response, in
	// milliseconds. If it is 0, the receiver applies its own CallTimeout.
	TimeoutMS int64  `cbor:"5,keyasint,omitempty"`
	Body      []byte `cbor:"6,keyasint,omitempty"`
	// Fault is set in the response to a request that failed.
	Fault *fault `cbor:"7,keyasint,omitempty"`
	// Request is the id of the caller's request on whose behalf this request
	// is sent, or empty. It links the timelines of both routers.
	Request string `cbor:"8,keyasint,omitempty"`
}

// fault is the encoded form of a failure.Error.
type fault struct {
	Code         failure.Code `cbor:"1,keyasint"`
	Step         string       `cbor:"2,keyasint"`
	Peer         string       `cbor:"3,keyasint,omitempty"`
	Message      string       `cbor:"4,keyasint"`
	Ran          failure.Ran  `cbor:"5,keyasint"`
	RetryAfterMS int64        `cbor:"6,keyasint,omitempty"`
}

// isRequest tells requests, which have a kind, from responses.
func (e *envelope) isRequest() bool { return e.Kind != "" }

// decMode decodes all messages of peers. Its limits on nesting and sizes keep a
// small malformed message from allocating much memory.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decodeEnvelope decodes one message. It returns an error if the message is
// malformed, has another protocol version, or has no id.
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

// newFault converts an error that the handler of a kind returned. An error without a
// failure.Error in its chain becomes failure.Internal, and whether the request was
// executed is then unknown.
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

// toError returns the failure that the fault carries. If the failure names no
// peer, it is attributed to peer, the sender of the response.
func (f *fault) toError(peer string) error {
	if f.Peer != "" {
		peer = f.Peer
	}
	return &failure.Error{
		Code: f.Code, Step: f.Step, Peer: peer, Message: f.Message, Ran: f.Ran,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
	}
}
