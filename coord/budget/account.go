package budget

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// account is a holder's state of one budget.
type account struct {
	holder *LocalHolder
	name   Account

	mu sync.Mutex // guards all below; never held over a call
	// tokens is what the grant has in the table, drawn and not returned.
	tokens int64
	// settled and folded count the durable bills since the grant was opened.
	settled int64
	folded  uint64
	// unwritten is spent but its bills are not durable; open is reserved.
	unwritten int64
	open      int64
	// leaving is set aside for a return that is under way.
	leaving int64
	waiters []*waiter
	joined  uint64 // waiters so far
	// jobs are worked off by one goroutine, which runs while busy is set.
	jobs jobs
	busy bool
	// reason is why the last draw failed; none is tried before retryAt, and
	// none ahead of need before prefetchAt.
	reason     error
	retryAt    time.Time
	prefetchAt time.Time
	// shortOf is the least size of a request that the budget was found short
	// of; until shortUntil none of that size is tried.
	shortOf    int64
	shortUntil time.Time

	spending rate
	// request is a running mean of the tokens of a reservation.
	request float64
	lastUse time.Time

	// forgotten is set once the holder has dropped this state.
	forgotten bool

	// changing holds a token while the grant is changed in the table. No peer
	// is asked meanwhile, so that two holders that ask each other can answer.
	changing chan struct{}
	// pending belongs to the holder of the token.
	pending *pendingChange
}

// jobs are the changes of a grant that are asked for.
type jobs struct {
	draw  bool
	close bool
	done  []chan error // told when the close is over
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	number uint64     // counts the waiters of the account
	result chan error // receives once, buffered
}

func newAccount(h *LocalHolder, name Account) *account {
	now := h.options.Clock.Now()
	memory := max(minRateMemory, h.lean(name.Workspace).Horizon/rateMemoryPart)
	return &account{holder: h, name: name, changing: make(chan struct{}, 1), folded: h.biller.durable.Load(), lastUse: now, spending: rate{start: now, last: now, memory: memory}}
}

// availableLocked is what can be reserved now.
func (a *account) availableLocked() int64 {
	return a.tokens - a.settled - a.unwritten - a.open - a.leaving
}

// requestWeight is the weight of a new request in the mean size.
const requestWeight = 0.1

// reserve takes tokens, or waits for them in order of arrival.
func (a *account) reserve(ctx context.Context, tokens int64) error {
	a.mu.Lock()
	if a.forgotten {
		a.mu.Unlock()
		return errForgotten
	}
	now := a.holder.options.Clock.Now()
	a.lastUse = now
	if a.request == 0 {
		a.request = float64(tokens)
	}
	a.request += requestWeight * (float64(tokens) - a.request)
	if len(a.waiters) == 0 && a.availableLocked() >= tokens {
		a.open += tokens
		a.prefetchLocked(now)
		a.mu.Unlock()
		return nil
	}
	if a.open == 0 && tokens >= a.shortOf && now.Before(a.shortUntil) {
		defer a.mu.Unlock()
		return fmt.Errorf("%w: looked for %d tokens a moment ago", ErrExhausted, a.shortOf)
	}
	if len(a.waiters) >= a.holder.options.Settings.MaxWaiting {
		a.mu.Unlock()
		return fmt.Errorf("%w: %d reservations wait", ErrBusy, len(a.waiters))
	}
	a.joined++
	w := &waiter{tokens: tokens, number: a.joined, result: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.jobs.draw = true
	a.startLocked()
	a.mu.Unlock()
	a.holder.stats.Waited.Add(1)
	return a.wait(ctx, w)
}

// wait waits for the waiter's turn, within the bound of the settings.
func (a *account) wait(ctx context.Context, w *waiter) error {
	longest := a.holder.options.Settings.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, deadline.Sub(a.holder.options.Clock.Now())/2)
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return a.giveUp(w, ctx.Err())
	case <-a.holder.options.Clock.After(longest):
		return a.giveUp(w, nil)
	}
}

// giveUp takes a waiter out of the queue. One that was served meanwhile keeps
// its tokens, unless its context ended.
func (a *account) giveUp(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.result:
		if err == nil && cause != nil {
			a.open -= w.tokens
			a.serveLocked()
			return fmt.Errorf("%w: %w", ErrBusy, cause)
		}
		return err
	default:
	}
	a.removeLocked(w)
	a.serveLocked() // a large request may have held up small ones
	switch {
	case a.open > 0 || a.reason == nil:
		if cause == nil {
			return fmt.Errorf("%w: %d tokens are in open reservations", ErrBusy, a.open)
		}
		return fmt.Errorf("%w: %w", ErrBusy, cause)
	}
	return a.reason
}

func (a *account) removeLocked(w *waiter) {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// settle ends a reservation of which used tokens were spent.
func (a *account) settle(reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open -= reserved
	a.unwritten += used
	a.lastUse = a.holder.options.Clock.Now()
	a.spending.add(a.lastUse, used)
	a.serveLocked()
}

// durable moves bills from unwritten to settled; last is the number of the
// last bill of their batch. void tokens were replays and are available again.
func (a *account) durable(settled, void int64, last uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unwritten -= settled + void
	a.settled += settled
	a.folded = max(a.folded, last)
	if void > 0 {
		a.serveLocked()
	}
}

// serveLocked gives tokens to waiters in order, and asks for a draw if some
// are left.
func (a *account) serveLocked() {
	for len(a.waiters) > 0 && a.availableLocked() >= a.waiters[0].tokens {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.open += w.tokens
		w.result <- nil
	}
	if len(a.waiters) > 0 {
		a.jobs.draw = true
		a.startLocked()
	}
}

// refuseLocked ends the waiters after a failed draw, unless open reservations
// may still free tokens for them. Those that joined after the draw began, whose
// last waiter had the number joined, wait on: what it saw may be out of date for
// them. If the budget is short of what the first one wants, smaller ones wait
// on, too.
func (a *account) refuseLocked(reason error, now time.Time, joined uint64) {
	a.reason = reason
	short := errors.Is(reason, errShort)
	first := a.firstUpTo(joined)
	if first == nil {
		return
	}
	if a.open > 0 || a.unwritten > 0 && a.holder.biller.replaysPending() {
		if short {
			a.passLocked()
		}
		return
	}
	var least int64
	if short {
		least = first.tokens
		if errors.Is(reason, ErrExhausted) {
			a.shortOf, a.shortUntil = least, now.Add(exhaustedPause)
		}
	}
	var rest []*waiter
	for _, w := range a.waiters {
		if w.tokens < least || w.number > joined {
			rest = append(rest, w)
			continue
		}
		w.result <- reason
	}
	a.waiters = rest
	a.serveLocked()
}

// firstUpTo returns the first waiter whose number is not above joined, or nil.
func (a *account) firstUpTo(joined uint64) *waiter {
	for _, w := range a.waiters {
		if w.number <= joined {
			return w
		}
	}
	return nil
}

// passLocked lets waiters that fit go before the first one, for which the
// budget has too little now, and has the next one tried first.
func (a *account) passLocked() {
	var rest []*waiter
	for _, w := range a.waiters {
		if a.availableLocked() < w.tokens {
			rest = append(rest, w)
			continue
		}
		a.open += w.tokens
		w.result <- nil
	}
	if len(rest) > 1 {
		rest = append(rest[1:], rest[0])
	}
	a.waiters = rest
}

// targetLocked is what the grant should have available.
func (a *account) targetLocked(now time.Time) int64 {
	byRate := a.spending.perSecond(now) * a.holder.lean(a.name.Workspace).Horizon.Seconds()
	return int64(math.Ceil(max(byRate, firstRequests*a.request)))
}

// firstRequests is the number of requests that a grant covers before the
// spending rate is known.
const firstRequests = 4

// prefetchLocked asks for a draw ahead of need once the stock is below the low
// water of the lean.
func (a *account) prefetchLocked(now time.Time) {
	if a.jobs.draw || a.holder.closing.Load() || now.Before(a.retryAt) || now.Before(a.prefetchAt) {
		return
	}
	if float64(a.availableLocked()) < a.holder.lean(a.name.Workspace).LowWaterMark*float64(a.targetLocked(now)) {
		a.jobs.draw = true
		a.startLocked()
	}
}

// spareLocked is what the grant can give away: all that is not in use. Of two
// holders that both wait for more, the one that lacks more gives, and of equal
// ones the one with the greater id, so that one of them is served.
func (a *account) spareLocked(to bus.ID, lacks int64) int64 {
	if len(a.waiters) > 0 {
		_, own := a.shortLocked()
		if own < lacks || own == lacks && a.holder.self.ID.String() < to.String() {
			return 0
		}
	}
	return max(0, a.availableLocked())
}

// errForgotten: the state of the account was dropped meanwhile; look it up
// again.
var errForgotten = errors.New("account state dropped")

// checkIdle closes a grant without use, and later drops the account.
func (a *account) checkIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.holder.options.Clock.Now()
	if a.open > 0 || a.unwritten > 0 || len(a.waiters) > 0 || a.busy {
		return
	}
	if now.Sub(a.lastUse) < a.holder.lean(a.name.Workspace).IdleAfter {
		return
	}
	if a.tokens == 0 {
		a.forgetLocked()
		return
	}
	a.jobs.close = true
	a.startLocked()
}

// forgetLocked drops the account unless a change is under way.
func (a *account) forgetLocked() {
	select {
	case a.changing <- struct{}{}:
		defer func() { <-a.changing }()
	default:
		return
	}
	if a.pending != nil {
		a.jobs.close = true // settles it
		a.startLocked()
		return
	}
	a.forgotten = true
	a.holder.forget(a)
}
