package prepaid

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// hedgeAfter is how long a lender may take to respond before the next one is
	// asked, too. Most responses take a few milliseconds; a VM with a small share of a
	// core may pause for some tens.
	hedgeAfter = 60 * time.Millisecond
	// quickTimeout bounds the wait for lenders that are asked without waiting for
	// tokens. lenderTimeout bounds it otherwise; it covers the wait for tokens that are
	// being unlocked.
	quickTimeout  = 600 * time.Millisecond
	lenderTimeout = 3 * time.Second
	// isolatedFor is how long a router that got no response from any lender asks none
	// of them again.
	isolatedFor = time.Second
)

// ask is one member that a reservation is requested from.
type ask struct {
	member Member
	// noWait excludes waits for tokens that other holders have or that are still to
	// be unlocked, since other members are asked next.
	noWait bool
}

// answer is the outcome of an ask. If err is nil, reservation is set.
type answer struct {
	ask
	reservation *Reservation
	err         error
}

// errNoResponse reports that a lender did not respond.
var errNoResponse = errors.New("lender did not respond")

// isReservationError reports whether err wraps an error that reservations return.
func isReservationError(err error) bool {
	for _, e := range []error{ErrExhausted, ErrBusy, ErrUnavailable, ErrUnlimited, ErrClosed} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// lastAnswer returns the last answer, which decides since askInOrder stops at the first
// reservation, or one with an error if there is none.
func lastAnswer(answers []answer) answer {
	if len(answers) == 0 {
		return answer{err: ErrUnavailable}
	}
	return answers[len(answers)-1]
}

// waitingAsks returns the members at which a reservation waits for tokens after the
// given answers: a lender that responded, preferably this router, and this router with
// a grant of its own if it is no lender. The latter only if no lender is known to reach
// the store: the writes of many routers would conflict with those of the lenders.
func (p *Pool) waitingAsks(answers []answer, lender bool) []ask {
	var asks []ask
	lendersReachStore := false
	for _, a := range answers {
		if !errors.Is(a.err, errNoResponse) && !errors.Is(a.err, ErrClosed) && !errors.Is(a.err, errStoreNotReached) {
			lendersReachStore = true
		}
		switch {
		case errors.Is(a.err, errNoResponse) || errors.Is(a.err, ErrClosed):
		case len(asks) == 0:
			asks = append(asks, ask{member: a.member})
		case errors.Is(a.err, ErrBusy) && a.member.ID == p.options.Self.ID:
			asks[0].member = a.member
		}
	}
	if len(asks) == 0 || !lender && !lendersReachStore {
		asks = append(asks, ask{member: p.options.Self})
	}
	return asks
}

// askInOrder asks one member after another for tokens, and the next one early if one
// takes long. It returns the answers in order of arrival, and stops at the first
// reservation or ErrExhausted.
func (p *Pool) askInOrder(ctx context.Context, workspace string, tokens int64, asks []ask, timeout time.Duration) []answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	incoming := make(chan answer)
	finished := make(chan struct{}) // closed when incoming is no longer read
	defer close(finished)
	var answers []answer
	asked := 0
	for len(answers) < len(asks) {
		if asked == len(answers) {
			next := asks[asked]
			asked++
			if next.member.ID == p.options.Self.ID && asked == len(asks) {
				answers = append(answers, p.askOne(ctx, workspace, tokens, next)) // nobody else to wait for
				return answers
			}
			p.holder.tasks.Go(func() { p.askAsync(ctx, workspace, tokens, next, incoming, finished) })
		}
		var hedge <-chan time.Time
		if asked < len(asks) {
			hedge = p.options.Clock.After(hedgeAfter)
		}
		select {
		case a := <-incoming:
			answers = append(answers, a)
			if a.reservation != nil || errors.Is(a.err, ErrExhausted) {
				return answers
			}
		case <-hedge:
			p.stats.Hedged.Add(1)
			next := asks[asked]
			asked++
			p.holder.tasks.Go(func() { p.askAsync(ctx, workspace, tokens, next, incoming, finished) })
		case <-ctx.Done():
			return append(answers, answer{err: fmt.Errorf("%w: %w", errNoResponse, ctx.Err())})
		case <-p.holder.ctx.Done():
			return append(answers, answer{err: ErrClosed})
		}
	}
	return answers
}

// askAsync runs askOne and sends the answer. A reservation that comes after finished
// is closed is released.
func (p *Pool) askAsync(ctx context.Context, workspace string, tokens int64, next ask, incoming chan<- answer, finished <-chan struct{}) {
	a := p.askOne(ctx, workspace, tokens, next)
	select {
	case incoming <- a:
		return
	case <-finished:
	}
	if a.reservation != nil {
		a.reservation.Settle(0)
	}
}

// askOne reserves tokens at one member.
func (p *Pool) askOne(ctx context.Context, workspace string, tokens int64, next ask) answer {
	a := answer{ask: next}
	if next.member.ID == p.options.Self.ID {
		account := p.holder.account(workspace)
		if a.err = account.reserve(ctx, tokens, next.noWait); a.err == nil {
			a.reservation = account.newReservation(tokens)
		}
		return a
	}
	a.reservation, a.err = p.borrow(ctx, next.member.ID, workspace, tokens, next.noWait)
	return a
}
