// Package event defines the typed events that the components of a router record
// on its timeline.
package event

import (
	"cmp"

	"daisyslip.dev/daisyslip/coord/hlc"
)

// Component names the part of a router that recorded an event.
type Component string

// The components.
const (
	ComponentCaller   Component = "caller"
	ComponentRoute    Component = "route"
	ComponentDispatch Component = "dispatch"
	ComponentBudget   Component = "budget"
	ComponentCall     Component = "call"
	ComponentConfig   Component = "config"
	ComponentMember   Component = "member"
	ComponentPeer     Component = "peer"
	ComponentLease    Component = "lease"
	ComponentDrain    Component = "drain"
	ComponentEndpoint Component = "endpoint"
	ComponentPlatform Component = "platform"
)

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	RequestReceived  Kind = "request_received"
	RequestCompleted Kind = "request_answered"
	RequestRefused   Kind = "request_refused"
	RequestBroken    Kind = "request_broken"

	AttemptStarted   Kind = "attempt_started"
	AttemptCompleted Kind = "attempt_ended"
	AttemptFailed    Kind = "attempt_failed"
	AttemptCanceled  Kind = "attempt_canceled"
	ResponseDropped  Kind = "answer_dropped"

	EndpointEjected    Kind = "endpoint_ejected"
	EndpointReinstated Kind = "endpoint_returned"
	EndpointLeaving    Kind = "endpoint_leaving"

	GrantDrawn           Kind = "grant_drawn"
	GrantReturned        Kind = "grant_returned"
	GrantTransferred     Kind = "grant_transferred"
	TokensReserved       Kind = "tokens_reserved"
	TokensSettled        Kind = "tokens_settled"
	BillWritten          Kind = "bill_written"
	BillReplicated       Kind = "bill_copied"
	GrantInDoubt         Kind = "doubt_raised"
	InDoubtGrantResolved Kind = "doubt_settled"

	CallClaimed        Kind = "call_claimed"
	CallCompleted      Kind = "call_answered"
	CallOutcomeUnknown Kind = "call_unknown"
	CallReplayed       Kind = "call_replayed"

	RevisionCommitted Kind = "revision_committed"
	RevisionApplied   Kind = "revision_applied"
	RevisionAccepted  Kind = "revision_accepted"

	LeaseAcquired Kind = "lease_taken"
	LeaseLost     Kind = "lease_lost"
	LeaseReleased Kind = "lease_released"
	OrderSent     Kind = "order_sent"
	OrderRefused  Kind = "order_refused"

	MemberJoined       Kind = "member_joined"
	MemberSuspected    Kind = "member_suspected"
	MemberLeft         Kind = "member_left"
	PeerConnected      Kind = "peer_connected"
	PeerDisconnected   Kind = "peer_lost"
	PeerRequestHandled Kind = "peer_handled"

	DrainStarted Kind = "drain_started"
	DrainEnded   Kind = "drain_ended"

	PlatformCommitted Kind = "platform_committed"
	PlatformRead      Kind = "platform_read"
	PlatformFailed    Kind = "platform_failed"
)

// Event is one entry of the timeline. Fields that do not apply are empty.
type Event struct {
	// Time is the hybrid logical clock of the recording process.
	Time hlc.Time `json:"time" cbor:"1,keyasint"`
	// VM and Incarnation identify the process that recorded the event.
	VM          string `json:"vm" cbor:"2,keyasint"`
	Incarnation string `json:"incarnation" cbor:"3,keyasint"`
	// Seq numbers the events of one incarnation from 1 without gaps, so that a
	// gap shows that events were dropped.
	Seq       uint64    `json:"seq" cbor:"4,keyasint"`
	Component Component `json:"duty" cbor:"5,keyasint"`
	Kind      Kind      `json:"kind" cbor:"6,keyasint"`

	// Request, Attempt, Workspace, Endpoint and Peer are the ids or names of
	// what the event is about. Tokens is a number of tokens, and Revision a
	// revision of the configuration.
	Request   string `json:"request,omitempty" cbor:"7,keyasint,omitempty"`
	Attempt   string `json:"attempt,omitempty" cbor:"8,keyasint,omitempty"`
	Workspace string `json:"workspace,omitempty" cbor:"9,keyasint,omitempty"`
	Endpoint  string `json:"endpoint,omitempty" cbor:"10,keyasint,omitempty"`
	Peer      string `json:"peer,omitempty" cbor:"11,keyasint,omitempty"`
	Tokens    int64  `json:"tokens,omitempty" cbor:"12,keyasint,omitempty"`
	Revision  int64  `json:"revision,omitempty" cbor:"13,keyasint,omitempty"`
	// Detail is a short description for operators.
	Detail string `json:"detail,omitempty" cbor:"14,keyasint,omitempty"`
	// Key is the KeyHash of the caller's idempotency key. It is the same for
	// all attempts of one call, also at different routers.
	Key string `json:"key,omitempty" cbor:"15,keyasint,omitempty"`
	// Op is the operation id of a platform transaction. It links the event of a
	// request to the transaction that stored it.
	Op string `json:"op,omitempty" cbor:"16,keyasint,omitempty"`
	// Micros is the duration of the step, in microseconds.
	Micros int64 `json:"micros,omitempty" cbor:"17,keyasint,omitempty"`
}

// Compare orders events by clock, which is causal order, and then by VM,
// incarnation and sequence number, so that the order is total: any two merges of
// the same events agree. It returns -1, 0 or 1, as for slices.SortFunc.
func Compare(a, b Event) int {
	return cmp.Or(
		a.Time.Compare(b.Time),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// Recorder records events. It sets Time, VM, Incarnation and Seq. Record never
// waits for space; a full recorder drops events and counts them. Implementations
// are safe for concurrent use.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that ignores all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
