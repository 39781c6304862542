// Package budget enforces prepaid token budgets by escrow. Before a holder
// spends, it draws a grant: tokens that a transaction moves from the budget's
// row to a row of its own. The sum of all grants never exceeds the tokens
// paid, so a holder that loses the platform can spend only what its grant
// already holds.
//
// Each request reserves tokens from the local grant and, when it ends, is
// billed for the tokens it used. Bills are written to the platform's table in
// batches. While the platform is unreachable, peers store replicas of the
// bills.
//
// Once many grants are open on the row of one budget, new grants are drawn on
// share rows instead. Each failure domain has a share row, to which tokens are
// moved from the budget's row.
//
// A lost holder is one that is no longer a member of the fleet. The tokens of
// its grants that have no bills are in doubt, because they may have been spent.
// They are not granted to others until an operator resolves the grants, which
// fences the holder's incarnation: it can neither draw nor bill any more.
package budget

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"daisyslip.dev/daisyslip/coord/failure"
)

// Account identifies a budget of a workspace.
type Account struct {
	Workspace string `json:"workspace" cbor:"1,keyasint"`
	Budget    string `json:"budget" cbor:"2,keyasint"`
}

// String returns workspace/budget.
func (a Account) String() string { return a.Workspace + "/" + a.Budget }

// validate rejects empty names and names with a slash, since names are parts
// of row keys, which slashes separate.
func (a Account) validate() error {
	for _, name := range []string{a.Workspace, a.Budget} {
		if name == "" || strings.Contains(name, "/") {
			return failure.New(failure.BadRequest, "check budget", "", fmt.Sprintf("name %q is empty or has a slash", name))
		}
	}
	return nil
}

// Errors of budgets. Returned errors wrap them with the account and the
// operation.
var (
	// ErrExhausted means that the budget has fewer tokens that are neither
	// spent nor reserved than the request needs.
	ErrExhausted = errors.New("budget exhausted")
	// ErrBusy means that the missing tokens are reserved or granted elsewhere
	// and may be returned, so that a retry can succeed.
	ErrBusy = errors.New("budget busy")
	// ErrUnavailable means that the platform is unreachable and the local
	// grant is too small for the request, or that this holder cannot accept
	// reservations at present.
	ErrUnavailable = errors.New("budget store unavailable")
	// ErrFenced means that an operator has resolved this holder's grants as
	// those of a dead process; it may neither draw nor bill any more.
	ErrFenced = errors.New("budget holder fenced")
	// ErrNotFound means that the account, or the grant to resolve, does not
	// exist.
	ErrNotFound = errors.New("no such budget")
	// ErrConflict means that an id or key was already used for other content,
	// or that the request contradicts the stored state.
	ErrConflict = errors.New("budget conflict")
)

// Request describes the tokens that one caller's request needs.
type Request struct {
	Account Account
	// Key identifies the request for billing: the caller's idempotency key, or
	// an id unique to this request.
	Key string
	// ID identifies the request in events. Callers' keys are not shown there.
	ID string
	// Digest identifies the content of the request. A key that comes again
	// with another digest is a conflict.
	Digest string
	// Unique means that no other request can carry Key, because it was
	// generated for this one. Only callers' keys, which can be sent again,
	// need a row of their own.
	Unique bool
	// Tokens is the maximum number of tokens that the request can use.
	Tokens int64
}

// Reservation is the claim of one request on tokens of a grant. Exactly one
// call of Settle or Cancel ends it; later calls do nothing.
type Reservation interface {
	// Settle bills the tokens used, at most the tokens reserved, once for the
	// request's key. While the platform is reachable, it returns after the
	// bill is durable there; during an outage, after as many peers as the
	// grant policy requires store a replica of the bill.
	Settle(ctx context.Context, used int64) error
	// Cancel releases all reserved tokens without a bill. The caller must be
	// sure that the request did not execute.
	Cancel()
}

// Holder manages the grants of one process and reserves tokens from them.
type Holder interface {
	// Reserve reserves tokens for req. If the grant is too small, it draws
	// more tokens or recalls them from other holders, as long as the deadline
	// of ctx allows.
	Reserve(ctx context.Context, req Request) (Reservation, error)
	// Close stops accepting reservations, writes all bills and returns the
	// unspent tokens to the platform.
	Close(ctx context.Context) error
}

// Balance is the state of a budget as read from the platform's table. All
// values are tokens, and Paid = Unspent + Held + Settled + InDoubt always
// holds. Held is the unspent part of the grants of live holders.
type Balance struct {
	Account Account `json:"account"`
	Paid    int64   `json:"paid"`
	Unspent int64   `json:"unspent"`
	Held    int64   `json:"held"`
	Settled int64   `json:"settled"`
	// InDoubt is the unbilled part of the grants of lost holders. It is
	// unknown how much of it was spent.
	InDoubt int64 `json:"in_doubt"`
	// WrittenOff is the part of Settled that operators charged without a bill
	// when they resolved in-doubt grants.
	WrittenOff int64 `json:"burned"`
	// Replayed counts the tokens of retries with an already billed key that
	// were not charged again; it is part of no other value.
	Replayed int64 `json:"replayed"`
	// Approximate means that the budget changed during every attempt to read
	// it, so that Held was computed from the other values.
	Approximate bool `json:"approximate,omitempty"`
}
