// Package bus defines how the members of a fleet send requests to each other. The
// daemon implements Bus over the network; Network implements it in memory, for
// tests.
package bus

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ID identifies a member: its VM, and the incarnation, which differs for each start
// of its process.
type ID struct {
	VM          string `json:"vm" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
}

// String returns VM/incarnation.
func (id ID) String() string { return id.VM + "/" + id.Incarnation }

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// Peer describes a member of the fleet.
type Peer struct {
	ID     ID     `json:"id" cbor:"1,keyasint"`
	Domain string `json:"domain" cbor:"2,keyasint"`
	Region string `json:"region" cbor:"3,keyasint"`
	// Addr is the host:port of the member's peer listener.
	Addr string `json:"addr" cbor:"4,keyasint"`
	// Operator is the base URL of the member's operator API, or empty if it is
	// not known.
	Operator string `json:"operator,omitempty" cbor:"5,keyasint,omitempty"`
}

// Kind names a type of request, such as "budget.transfer". The part before the dot
// is the component that handles it.
type Kind string

// Handler handles one request that the member from has sent. The body and the returned
// response are CBOR. A *failure.Error in the returned error reaches the sender with
// its code, step, peer, message, Ran and RetryAfter.
type Handler func(ctx context.Context, from ID, body []byte) ([]byte, error)

// Bus sends requests to other members. Implementations are safe for
// concurrent use and bound the number of requests in flight.
type Bus interface {
	// Self returns this member.
	Self() Peer
	// Peers lists the other members that are considered alive, in order of VM.
	Peers() []Peer
	// Request sends body to the member and waits for its response. If it
	// returns failure.PeerUnavailable, the request may have been handled and
	// its response lost; where that matters, the body must contain an id by
	// which the handler recognizes a retry.
	Request(ctx context.Context, to ID, kind Kind, body []byte) ([]byte, error)
	// Handle registers the handler of a kind. It is called before the bus runs
	// and panics if the kind has a handler already.
	Handle(kind Kind, handler Handler)
}

// Call encodes req as CBOR, sends it to the member and decodes the response.
func Call[Req, Resp any](ctx context.Context, b Bus, to ID, kind Kind, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encode %s for %s: %w", kind, to, err)
	}
	response, err := b.Request(ctx, to, kind, body)
	if err != nil {
		return resp, err
	}
	if err := cbor.Unmarshal(response, &resp); err != nil {
		return resp, fmt.Errorf("decode answer to %s of %s: %w", kind, to, err)
	}
	return resp, nil
}

// Handle registers a handler of a kind that receives the decoded request and
// returns the response to encode.
func Handle[Req, Resp any](b Bus, kind Kind, handler func(ctx context.Context, from ID, req Req) (Resp, error)) {
	b.Handle(kind, func(ctx context.Context, from ID, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("decode %s of %s: %w", kind, from, err)
		}
		resp, err := handler(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	})
}
