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

// account is the state of one budget at a holder: its grant, the reservations
// from it and those that wait for tokens.
type account struct {
	holder *LocalHolder
	name   Account

	// mu guards the fields up to dropped. It is never held during a call to the
	// platform or a peer.
	mu sync.Mutex
	// grantTokens is the size of the grant in the table: tokens drawn and not
	// returned.
	grantTokens int64
	// settled is the sum of the durable bills since the grant was opened, in
	// tokens. lastCounted is the number of the last of these bills.
	settled     int64
	lastCounted uint64
	// unwritten counts spent tokens whose bills are not durable yet, and
	// reserved counts tokens of open reservations.
	unwritten int64
	reserved  int64
	// returning counts tokens set aside for a return that is in progress.
	returning  int64
	waiters    []*waiter
	lastWaiter uint64 // number of the waiter that joined last
	// jobs are executed by one goroutine, which runs while working is set.
	jobs    jobs
	working bool
	// lastDrawErr is the error of the last draw, nil if it succeeded. No draw
	// is attempted before nextDrawAt, and none ahead of need before
	// nextPrefetchAt.
	lastDrawErr    error
	nextDrawAt     time.Time
	nextPrefetchAt time.Time
	// exhaustedSize is the size of the smallest request for which the budget
	// was found exhausted. Until exhaustedUntil, requests of this size or more
	// are refused without another draw.
	exhaustedSize  int64
	exhaustedUntil time.Time

	spending decayingRate
	// meanRequest is an exponential moving average of the tokens of a
	// reservation.
	meanRequest float64
	// lastUsed is when tokens were last requested or settled.
	lastUsed time.Time

	// dropped is set once the holder has removed this state from its accounts.
	dropped bool

	// changeLock is a lock that can be awaited together with a context. Sending
	// a value to the channel, which has a buffer of one, acquires it, and
	// receiving the value releases it. Only its owner may change the grant in
	// the table. It is never held while a peer is called, so that two holders
	// that recall tokens from each other can both respond.
	changeLock chan struct{}
	// pending is the last change if its outcome is unknown; changeLock guards
	// it.
	pending *pendingChange
}

// jobs are the changes of a grant that are requested and not started.
type jobs struct {
	draw         bool
	close        bool
	closeResults []chan error // receive the outcome of the close; each is buffered
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	number uint64     // position in the order in which waiters joined the account
	result chan error // receives once, buffered
}

// newAccount returns the state of an account without a grant.
func newAccount(h *LocalHolder, name Account) *account {
	now := h.options.Clock.Now()
	timeConstant := max(minRateTimeConstant, h.grantPolicy(name.Workspace).Horizon/rateHorizonDivisor)
	return &account{holder: h, name: name, changeLock: make(chan struct{}, 1), lastCounted: h.biller.lastDurable.Load(), lastUsed: now, spending: decayingRate{start: now, lastAdded: now, timeConstant: timeConstant}}
}

// availableLocked returns the tokens that can be reserved now. The caller
// holds a.mu, as for all methods with the suffix Locked.
func (a *account) availableLocked() int64 {
	return a.grantTokens - a.settled - a.unwritten - a.reserved - a.returning
}

// meanRequestWeight is the weight of a new request in the mean request size.
const meanRequestWeight = 0.1

// reserve reserves tokens from the grant. If too few are available, it
// requests a draw and waits; waiters are served in order of arrival.
func (a *account) reserve(ctx context.Context, tokens int64) error {
	a.mu.Lock()
	if a.dropped {
		a.mu.Unlock()
		return errAccountDropped
	}
	now := a.holder.options.Clock.Now()
	a.lastUsed = now
	if a.meanRequest == 0 {
		a.meanRequest = float64(tokens)
	}
	a.meanRequest += meanRequestWeight * (float64(tokens) - a.meanRequest)
	if len(a.waiters) == 0 && a.availableLocked() >= tokens {
		a.reserved += tokens
		a.prefetchLocked(now)
		a.mu.Unlock()
		return nil
	}
	if a.reserved == 0 && tokens >= a.exhaustedSize && now.Before(a.exhaustedUntil) {
		defer a.mu.Unlock()
		return fmt.Errorf("%w: looked for %d tokens a moment ago", ErrExhausted, a.exhaustedSize)
	}
	if len(a.waiters) >= a.holder.options.Settings.MaxWaiting {
		a.mu.Unlock()
		return fmt.Errorf("%w: %d reservations wait", ErrBusy, len(a.waiters))
	}
	a.lastWaiter++
	w := &waiter{tokens: tokens, number: a.lastWaiter, result: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.jobs.draw = true
	a.startLocked()
	a.mu.Unlock()
	a.holder.stats.Waited.Add(1)
	return a.wait(ctx, w)
}

// wait waits until w is served or refused, at most for MaxWait and for half
// of the time to the deadline of ctx.
func (a *account) wait(ctx context.Context, w *waiter) error {
	maxWait := a.holder.options.Settings.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, deadline.Sub(a.holder.options.Clock.Now())/2)
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return a.abandonWait(w, ctx.Err())
	case <-a.holder.options.Clock.After(maxWait):
		return a.abandonWait(w, nil)
	}
}

// abandonWait removes a waiter whose wait has ended. If it was served
// meanwhile, it keeps its tokens unless its context has ended. A nil cause
// means that the maximum wait has passed.
func (a *account) abandonWait(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.result:
		if err == nil && cause != nil {
			a.reserved -= w.tokens
			a.serveWaitersLocked()
			return fmt.Errorf("%w: %w", ErrBusy, cause)
		}
		return err
	default:
	}
	a.removeWaiterLocked(w)
	a.serveWaitersLocked() // w may have been a large request at the head that blocked smaller ones
	switch {
	case a.reserved > 0 || a.lastDrawErr == nil:
		if cause == nil {
			return fmt.Errorf("%w: %d tokens are in open reservations", ErrBusy, a.reserved)
		}
		return fmt.Errorf("%w: %w", ErrBusy, cause)
	}
	return a.lastDrawErr
}

// removeWaiterLocked removes w from the queue if it is there.
func (a *account) removeWaiterLocked(w *waiter) {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// settle ends a reservation and adds the tokens used to the unwritten ones.
func (a *account) settle(reservedTokens, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= reservedTokens
	a.unwritten += used
	a.lastUsed = a.holder.options.Clock.Now()
	a.spending.add(a.lastUsed, used)
	a.serveWaitersLocked()
}

// markDurable updates the account after bills were written: settled tokens
// were charged, and uncharged ones, which belong to replays, are available
// again. last is the number of the last bill of their batch.
func (a *account) markDurable(settled, uncharged int64, last uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unwritten -= settled + uncharged
	a.settled += settled
	a.lastCounted = max(a.lastCounted, last)
	if uncharged > 0 {
		a.serveWaitersLocked()
	}
}

// serveWaitersLocked serves waiters in order while tokens suffice, and
// requests a draw if some remain.
func (a *account) serveWaitersLocked() {
	for len(a.waiters) > 0 && a.availableLocked() >= a.waiters[0].tokens {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.reserved += w.tokens
		w.result <- nil
	}
	if len(a.waiters) > 0 {
		a.jobs.draw = true
		a.startLocked()
	}
}

// refuseWaitersLocked refuses the waiters after a failed draw, unless open
// reservations or unwritten bills may still free tokens for them. lastWaiter
// is the number of the last waiter that had joined when the draw began: those
// that joined later keep waiting, since the state that the draw read may be
// out of date for them. If the budget has too few tokens for the first
// waiter, waiters with smaller requests keep waiting, too.
func (a *account) refuseWaitersLocked(reason error, now time.Time, lastWaiter uint64) {
	a.lastDrawErr = reason
	shortage := errors.Is(reason, errShortage)
	first := a.firstWaiterUpTo(lastWaiter)
	if first == nil {
		return
	}
	if a.reserved > 0 || a.unwritten > 0 && a.holder.biller.mayFreeTokens() {
		if shortage {
			a.serveFittingWaitersLocked()
		}
		return
	}
	var minRefused int64
	if shortage {
		minRefused = first.tokens
		if errors.Is(reason, ErrExhausted) {
			a.exhaustedSize, a.exhaustedUntil = minRefused, now.Add(exhaustedBackoff)
		}
	}
	var remaining []*waiter
	for _, w := range a.waiters {
		if w.tokens < minRefused || w.number > lastWaiter {
			remaining = append(remaining, w)
			continue
		}
		w.result <- reason
	}
	a.waiters = remaining
	a.serveWaitersLocked()
}

// firstWaiterUpTo returns the first waiter whose number is at most last, or nil.
func (a *account) firstWaiterUpTo(last uint64) *waiter {
	for _, w := range a.waiters {
		if w.number <= last {
			return w
		}
	}
	return nil
}

// serveFittingWaitersLocked serves all waiters for which enough tokens are
// available, out of order, because the budget has too few tokens for the
// first one now. It then moves the first remaining waiter to the end, so that
// the next draw is for another one.
func (a *account) serveFittingWaitersLocked() {
	var remaining []*waiter
	for _, w := range a.waiters {
		if a.availableLocked() < w.tokens {
			remaining = append(remaining, w)
			continue
		}
		a.reserved += w.tokens
		w.result <- nil
	}
	if len(remaining) > 1 {
		remaining = append(remaining[1:], remaining[0])
	}
	a.waiters = remaining
}

// targetHeadroomLocked returns the tokens that the grant should have
// available: the spending expected within the policy's horizon, but at least
// initialRequests requests of mean size.
func (a *account) targetHeadroomLocked(now time.Time) int64 {
	byRate := a.spending.perSecond(now) * a.holder.grantPolicy(a.name.Workspace).Horizon.Seconds()
	return int64(math.Ceil(max(byRate, initialRequests*a.meanRequest)))
}

// initialRequests is the number of requests of mean size that the target
// headroom covers at least. This minimum determines the target before the
// spending rate is known.
const initialRequests = 4

// prefetchLocked requests a draw ahead of need if the available tokens are
// below the low-water mark of the policy.
func (a *account) prefetchLocked(now time.Time) {
	if a.jobs.draw || a.holder.closing.Load() || now.Before(a.nextDrawAt) || now.Before(a.nextPrefetchAt) {
		return
	}
	if float64(a.availableLocked()) < a.holder.grantPolicy(a.name.Workspace).LowWaterMark*float64(a.targetHeadroomLocked(now)) {
		a.jobs.draw = true
		a.startLocked()
	}
}

// surplusLocked returns the tokens of the grant that are not in use and that
// can therefore be returned for requester, a holder that lacks
// requesterShortage tokens. If both holders have waiters, only the one with the
// larger shortage returns its tokens, and with equal shortages the one with
// the greater id, so that one of them can be served.
func (a *account) surplusLocked(requester bus.ID, requesterShortage int64) int64 {
	if len(a.waiters) > 0 {
		_, localShortage := a.shortageLocked()
		if localShortage < requesterShortage || localShortage == requesterShortage && a.holder.self.ID.String() < requester.String() {
			return 0
		}
	}
	return max(0, a.availableLocked())
}

// errAccountDropped means that the state of the account was dropped
// meanwhile; the caller fetches it again from the holder.
var errAccountDropped = errors.New("account state dropped")

// checkIdle closes the grant if it is idle, and drops the account once it has
// no grant.
func (a *account) checkIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.holder.options.Clock.Now()
	if a.reserved > 0 || a.unwritten > 0 || len(a.waiters) > 0 || a.working {
		return
	}
	if now.Sub(a.lastUsed) < a.holder.grantPolicy(a.name.Workspace).IdleAfter {
		return
	}
	if a.grantTokens == 0 {
		a.dropLocked()
		return
	}
	a.jobs.close = true
	a.startLocked()
}

// dropLocked drops the account unless a change of its grant is in progress.
func (a *account) dropLocked() {
	select {
	case a.changeLock <- struct{}{}:
		defer func() { <-a.changeLock }()
	default:
		return
	}
	if a.pending != nil {
		a.jobs.close = true // the close resolves the pending change
		a.startLocked()
		return
	}
	a.dropped = true
	a.holder.dropAccount(a)
}
