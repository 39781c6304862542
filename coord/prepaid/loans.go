package prepaid

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/failure"
)

// The kinds of requests between routers.
const (
	kindReserve bus.Kind = "prepaid.reserve"
	kindSettle  bus.Kind = "prepaid.settle"
)

// reserveRequest asks a lender for tokens. ID is unique to the borrowing process.
type reserveRequest struct {
	ID        uint64 `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Tokens    int64  `cbor:"3,keyasint"`
	// NoWait says that another lender will be asked if this one has too few tokens.
	NoWait bool `cbor:"4,keyasint,omitempty"`
}

// reserveOutcome is the response to a reserveRequest.
type reserveOutcome uint8

// The outcomes. Each but outcomeReserved stands for one error of this package.
const (
	outcomeReserved reserveOutcome = iota
	outcomeExhausted
	outcomeBusy
	outcomeUnavailable
	outcomeUnlimited
	outcomeClosed
	outcomeStoreNotReached
)

// reserveResponse is the response to a reserveRequest.
type reserveResponse struct {
	Outcome reserveOutcome `cbor:"1,keyasint"`
	// RetryAfterMS is the time after which a retry can succeed, in milliseconds, or
	// 0 if it is not known.
	RetryAfterMS int64 `cbor:"2,keyasint,omitempty"`
}

// outcomeErrors has the error that the borrower returns for each outcome.
var outcomeErrors = map[reserveOutcome]error{
	outcomeReserved: nil, outcomeExhausted: ErrExhausted, outcomeBusy: ErrBusy,
	outcomeUnavailable: ErrUnavailable, outcomeUnlimited: ErrUnlimited, outcomeClosed: ErrClosed,
	outcomeStoreNotReached: errStoreNotReached,
}

// outcomeOf returns the outcome that stands for err.
func outcomeOf(err error) reserveOutcome {
	if errors.Is(err, errStoreNotReached) {
		return outcomeStoreNotReached // which also is ErrUnavailable
	}
	for outcome, e := range outcomeErrors {
		if e == nil && err == nil || e != nil && errors.Is(err, e) {
			return outcome
		}
	}
	return outcomeUnavailable
}

// settleRequest reports the use of borrowed tokens.
type settleRequest struct {
	Loans []settledLoan `cbor:"1,keyasint"`
}

// settledLoan is the end of one reservation. A reservation that the lender does not
// know yet is refused when its request arrives.
type settledLoan struct {
	ID   uint64 `cbor:"1,keyasint"`
	Used int64  `cbor:"2,keyasint"`
}

// settleResponse is the response to a settleRequest.
type settleResponse struct{}

// loanKey identifies a reservation that another router has made here.
type loanKey struct {
	borrower bus.ID
	id       uint64
}

// loan is a reservation for another router. It has no account while the request is
// being served, and once it is settled.
type loan struct {
	account *account
	tokens  int64
	settled bool
	since   time.Time // of the last change
}

// loans are the reservations of other routers at this one. Every request is handled
// at most once, in any order of arrival: an entry remains for loanMemory after it is
// settled.
type loans struct {
	pool *Pool

	mu      sync.Mutex // guards entries; not held while an account's lock is taken
	entries map[loanKey]*loan
}

const (
	// loanMemory is how long a settled loan is remembered. It is longer than a
	// message between routers can be under way.
	loanMemory = time.Minute
	// maxLoanAge is the age at which a loan counts as spent, since the borrower has
	// died or lost contact for good.
	maxLoanAge = 5 * time.Minute
)

// init registers the handlers of p.
func (l *loans) init(p *Pool) {
	l.pool = p
	l.entries = make(map[loanKey]*loan)
	bus.Handle(p.options.Bus, kindReserve, l.reserve)
	bus.Handle(p.options.Bus, kindSettle, l.settle)
}

// maxLoanTokens bounds the tokens of one reservation, so that sums do not overflow.
const maxLoanTokens = 1 << 42

// errLoanSettled reports a reservation that its borrower has already given up.
var errLoanSettled = failure.New(failure.Conflict, string(kindReserve), "", "the reservation was settled before it was made")

// reserve handles a request for tokens.
func (l *loans) reserve(ctx context.Context, from bus.ID, r reserveRequest) (reserveResponse, error) {
	if _, limited := l.pool.holder.options.Limit(r.Workspace); !limited {
		return reserveResponse{Outcome: outcomeUnlimited}, nil
	}
	if r.Tokens < 0 || r.Tokens > maxLoanTokens {
		return reserveResponse{}, failure.New(failure.BadRequest, string(kindReserve), "", fmt.Sprintf("%d tokens requested", r.Tokens))
	}
	key := loanKey{from, r.ID}
	if !l.begin(key, r.Tokens) {
		return reserveResponse{}, errLoanSettled
	}
	err := l.pool.holder.reserveForPeer(ctx, r.Workspace, r.Tokens, r.NoWait)
	if l.end(key, l.pool.holder.account(r.Workspace), err) {
		l.pool.stats.Lent.Add(1)
	}
	after, _ := RetryAfter(err)
	return reserveResponse{Outcome: outcomeOf(err), RetryAfterMS: after.Milliseconds()}, nil
}

// begin enters a reservation, unless it was entered or settled before.
func (l *loans) begin(key loanKey, tokens int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[key] != nil {
		return false
	}
	l.entries[key] = &loan{tokens: tokens, since: l.pool.options.Clock.Now()}
	return true
}

// end completes a reservation and reports whether it has become a loan. If it was
// settled in the meantime, its tokens are returned at once.
func (l *loans) end(key loanKey, a *account, err error) bool {
	l.mu.Lock()
	entry := l.entries[key]
	entry.since = l.pool.options.Clock.Now()
	settled := entry.settled
	switch {
	case err != nil:
		delete(l.entries, key)
	case !settled:
		entry.account = a
	}
	l.mu.Unlock()
	if err == nil && settled {
		a.settle(entry.tokens, 0)
	}
	return err == nil && !settled
}

// settle handles the settlement of loans.
func (l *loans) settle(_ context.Context, from bus.ID, r settleRequest) (settleResponse, error) {
	for _, s := range r.Loans {
		l.settleLoan(loanKey{from, s.ID}, s.Used)
	}
	return settleResponse{}, nil
}

// settleLoan ends one loan. Of several settlements of a loan only the first counts.
func (l *loans) settleLoan(key loanKey, used int64) {
	l.mu.Lock()
	entry := l.entries[key]
	if entry == nil {
		entry = &loan{}
		l.entries[key] = entry
	}
	a := entry.account
	if entry.settled {
		a = nil
	}
	entry.account, entry.settled, entry.since = nil, true, l.pool.options.Clock.Now()
	l.mu.Unlock()
	if a != nil {
		a.settle(entry.tokens, min(max(used, 0), entry.tokens))
	}
}

// outstanding returns the number of loans that are not settled.
func (l *loans) outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, entry := range l.entries {
		if entry.account != nil {
			n++
		}
	}
	return n
}

// prune forgets settled loans after loanMemory, and counts loans as spent after
// maxLoanAge.
func (l *loans) prune() {
	now := l.pool.options.Clock.Now()
	l.mu.Lock()
	var expired []*loan
	for key, entry := range l.entries {
		age := now.Sub(entry.since)
		switch {
		case entry.settled && age > loanMemory:
			delete(l.entries, key)
		case entry.account != nil && age > maxLoanAge:
			expired = append(expired, entry)
			delete(l.entries, key)
		}
	}
	l.mu.Unlock()
	for _, entry := range expired {
		entry.account.settle(entry.tokens, entry.tokens)
	}
}

// settleAll counts all loans as spent, since this router stops and will not learn how
// much of them was.
func (l *loans) settleAll() {
	l.mu.Lock()
	var open []*loan
	for key, entry := range l.entries {
		if entry.account != nil {
			open = append(open, entry)
			l.entries[key] = &loan{settled: true, since: entry.since}
		}
	}
	l.mu.Unlock()
	for _, entry := range open {
		entry.account.settle(entry.tokens, entry.tokens)
	}
}

// reserveForPeer reserves tokens for another router. As in Pool.Reserve, only the
// last lender that is asked waits for tokens.
func (h *Holder) reserveForPeer(ctx context.Context, workspace string, tokens int64, noWait bool) error {
	if h.closing.Load() {
		return fmt.Errorf("reserve for %s: %w", workspace, ErrClosed)
	}
	return h.account(workspace).reserve(ctx, tokens, noWait)
}
