// Package failure defines the error that crosses the duties of a router. It
// carries what a caller or an operator needs: a code, the step that failed,
// the peer at which it failed, and whether the work ran.
package failure

import (
	"errors"
	"fmt"
	"time"
)

// Code names a kind of failure. Codes are part of the caller's contract.
type Code string

// The codes of the caller's contract.
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
	Canceled         Code = "canceled"
	Internal         Code = "internal"
)

// Ran says whether the work of a failed request ran.
type Ran string

// The values of Ran. RanNo is said only when no byte of the call has left for
// an endpoint, or when every endpoint that was tried has said that it did not
// run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure at a step of the request path.
type Error struct {
	Code Code
	// Step names what was being done, such as "draw grant".
	Step string
	// Peer names the other end, such as an endpoint, a router or "platform".
	// It is empty when the failure is local.
	Peer string
	// Message tells the caller what happened and what to do next.
	Message string
	// Ran tells whether the work ran.
	Ran Ran
	// RetryAfter is the time after which another try can help; zero means
	// that trying again does not help by itself.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// New returns a failure that did not run.
func New(code Code, step, peer, message string) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Message: message, Ran: RanNo}
}

// Wrap returns a failure that did not run, caused by err.
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

// Error formats the step, the peer and the message.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s: %s", e.Step, e.Code, e.Message)
	}
	return fmt.Sprintf("%s at %s: %s: %s", e.Step, e.Peer, e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// As returns the failure in err's chain, or nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// CodeOf returns the code of the failure in err's chain, or Internal.
func CodeOf(err error) Code {
	if e := As(err); e != nil {
		return e.Code
	}
	return Internal
}
