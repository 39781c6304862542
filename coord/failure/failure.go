// Package failure defines the error that the components of a router return to each
// other, and that reaches callers. It carries a code, the step that failed, the
// peer at which it failed, and whether the work was executed.
package failure

import (
	"errors"
	"fmt"
	"time"
)

// Code classifies a failure. Codes are part of the API for callers.
type Code string

// The failure codes.
const (
	BadRequest       Code = "bad_request"
	Unauthorized     Code = "unauthorized"
	Forbidden        Code = "forbidden"
	NotFound         Code = "not_found"
	MethodNotAllowed Code = "method_not_allowed"
	TooLarge         Code = "too_large"
	Conflict         Code = "conflict"
	KeyReused        Code = "idempotency_key_reused"
	KeyRequired      Code = "idempotency_key_required"
	BudgetExhausted  Code = "budget_exhausted"
	BudgetBusy       Code = "budget_busy"
	Overloaded       Code = "overloaded"
	NoEndpoint       Code = "no_endpoint"
	Deadline         Code = "deadline_exceeded"
	StoreUnavailable Code = "store_unavailable"
	EndpointFailed   Code = "endpoint_failed"
	OutcomeUnknown   Code = "outcome_unknown"
	Draining         Code = "draining"
	PeerUnavailable  Code = "peer_unavailable"
	StaleView        Code = "stale_view"
	Quarantined      Code = "quarantined"
	Canceled         Code = "canceled"
	Internal         Code = "internal"
)

// Ran says whether the work of a failed request was executed.
type Ran string

// The values of Ran. RanNo is used only if no byte of the call was sent to an
// endpoint, or if every endpoint that it was sent to has reported that it did not
// execute it.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure at a step of the request path.
type Error struct {
	Code Code
	// Step names the operation that failed, such as "draw grant".
	Step string
	// Peer names the other side, such as an endpoint, a router or "platform".
	// It is empty if the failure is local.
	Peer string
	// Message tells the caller what happened and what to do about it.
	Message string
	// Ran says whether the work was executed.
	Ran Ran
	// RetryAfter is the time after which a retry may succeed. Zero means that a
	// retry alone does not help.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// New returns a failure with RanNo and without a cause.
func New(code Code, step, peer, message string) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Message: message, Ran: RanNo}
}

// Wrap returns a failure with RanNo and the cause err, whose text is the message.
func Wrap(code Code, step, peer string, err error) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Message: err.Error(), Ran: RanNo, Err: err}
}

// WithRan returns a copy of e with Ran set to ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetry returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the step, the peer, the code and the message.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s: %s", e.Step, e.Code, e.Message)
	}
	return fmt.Sprintf("%s at %s: %s: %s", e.Step, e.Peer, e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// As returns the first failure in err's chain, or nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// CodeOf returns the code of the first failure in err's chain, or Internal if there
// is none.
func CodeOf(err error) Code {
	if e := As(err); e != nil {
		return e.Code
	}
	return Internal
}
