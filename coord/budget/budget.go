// Package budget keeps prepaid token budgets by escrow. A holder draws a
// grant from the budget's row before it spends; the sum of all grants never
// passes what was paid, so a holder that is cut off can spend only what is
// already set aside for it.
package budget

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"daisyslip.dev/daisyslip/coord/failure"
)

// Account names a budget of a workspace.
type Account struct {
	Workspace string `json:"workspace" cbor:"1,keyasint"`
	Budget    string `json:"budget" cbor:"2,keyasint"`
}

// String returns workspace/budget.
func (a Account) String() string { return a.Workspace + "/" + a.Budget }

// validate refuses names that would mix up the keys of rows.
func (a Account) validate() error {
	for _, name := range []string{a.Workspace, a.Budget} {
		if name == "" || strings.Contains(name, "/") {
			return failure.New(failure.BadRequest, "check budget", "", fmt.Sprintf("name %q is empty or has a slash", name))
		}
	}
	return nil
}

// Errors of budgets. They are wrapped with the account and the step.
var (
	// ErrExhausted: the budget has too few tokens that are not spent or
	// promised.
	ErrExhausted = errors.New("budget exhausted")
	// ErrBusy: tokens are set aside elsewhere and may come back; trying again
	// can help.
	ErrBusy = errors.New("budget busy")
	// ErrUnavailable: the platform was not reached and the local grant is too
	// small.
	ErrUnavailable = errors.New("budget store unavailable")
	// ErrFenced: an operator has settled this holder's grants as those of a
	// lost process; it may neither draw nor bill again.
	ErrFenced = errors.New("budget holder fenced")
	// ErrNotFound: the account does not exist.
	ErrNotFound = errors.New("no such budget")
	// ErrConflict: the account exists, or an id was used for other content.
	ErrConflict = errors.New("budget conflict")
)

// Request asks for tokens for one caller's request.
type Request struct {
	Account Account
	// Key identifies the request for billing: the caller's idempotency key,
	// or an id unique to this request.
	Key string
	// ID names the request on the time line. Keys of callers are not shown
	// there.
	ID string
	// Digest identifies the request's content.
	Digest string
	// Unique says that no other request can carry Key, because it was made
	// for this one. Only keys of callers, which can come again, cost a row.
	Unique bool
	// Tokens is the most that the request can use.
	Tokens int64
}

// Reservation holds the tokens of one request. Exactly one of Settle and
// Cancel ends it; later calls do nothing.
type Reservation interface {
	// Settle bills the tokens used, at most the tokens reserved, once for
	// the request's key. With the platform up it returns after the bill is
	// durable; during an outage, after the bill is kept as safe as the
	// settings ask.
	Settle(ctx context.Context, used int64) error
	// Cancel gives all tokens back: nothing ran.
	Cancel()
}

// Holder holds grants for one process and reserves tokens from them.
type Holder interface {
	// Reserve sets tokens aside, drawing or fetching more if it must and the
	// context's deadline allows.
	Reserve(ctx context.Context, req Request) (Reservation, error)
	// Close stops taking reservations, writes all bills and returns what is
	// unspent to the platform.
	Close(ctx context.Context) error
}

// Balance is a budget as the platform's table shows it. Paid = Unspent +
// Held + Settled + InDoubt always holds. All values are tokens.
type Balance struct {
	Account Account `json:"account"`
	Paid    int64   `json:"paid"`
	Unspent int64   `json:"unspent"`
	Held    int64   `json:"held"`
	Settled int64   `json:"settled"`
	// InDoubt is what grants of lost holders have left: spent or not, nobody
	// knows.
	InDoubt int64 `json:"in_doubt"`
	// Burned is the part of Settled that operators settled without a bill.
	WrittenOff int64 `json:"burned"`
	// Replayed is what callers were served again for keys already billed;
	// it is part of no other value.
	Replayed int64 `json:"replayed"`
	// Approximate says that the budget changed during every read, so that
	// Held is what the other values leave.
	Approximate bool `json:"approximate,omitempty"`
}
