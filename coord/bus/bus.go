// Package bus carries typed requests between the members of a fleet. The
// interface has one network implementation, in the daemon, and one in
// memory, for tests.
package bus

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ID names a member: the VM and the fresh incarnation of its process.
type ID struct {
	VM          string `json:"vm" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
}

// String returns VM/incarnation.
func (id ID) String() string { return id.VM + "/" + id.Incarnation }

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// Peer is another live member of the fleet.
type Peer struct {
	ID     ID     `json:"id" cbor:"1,keyasint"`
	Domain string `json:"domain" cbor:"2,keyasint"`
	Region string `json:"region" cbor:"3,keyasint"`
	// Addr is the host and port of the member's peer listener.
	Addr string `json:"addr" cbor:"4,keyasint"`
	// Operator is the base URL of the member's operator API, or empty.
	Operator string `json:"operator,omitempty" cbor:"5,keyasint,omitempty"`
}

// Kind names a type of request. Each duty owns the kinds it handles, by the
// prefix of its name, such as "budget.transfer".
type Kind string

// Handler answers one request. The body and the answer are CBOR. An error of
// type *failure.Error crosses the link with its code, step, peer and ran.
type Handler func(ctx context.Context, from ID, body []byte) ([]byte, error)

// Bus sends requests to other members. Implementations are safe for
// concurrent use and bound the number of requests in flight.
type Bus interface {
	// Self names this member.
	Self() Peer
	// Peers lists the members that this one believes alive, without itself,
	// in order of VM.
	Peers() []Peer
	// Request sends body to the member and waits for its answer. An error
	// with failure.PeerUnavailable may mean that the request was handled and
	// the answer lost; requests carry their own ids where that matters.
	Request(ctx context.Context, to ID, kind Kind, body []byte) ([]byte, error)
	// Handle registers the handler of a kind. It is called before the bus
	// runs; a second handler of one kind panics.
	Handle(kind Kind, handler Handler)
}

// Call sends req to the member and decodes its answer.
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

// Handle registers a typed handler of a kind.
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
