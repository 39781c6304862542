package prepaid

import (
	"context"
	"fmt"
	"time"
)

// waiter is a reservation that waits for tokens. The account's lock guards deadline
// and recallRequested.
type waiter struct {
	tokens    int64
	arrivedAt time.Time
	// deadline is when the wait ends. It is extended while a recall from other
	// holders is under way, or if enough tokens will be unlocked soon.
	deadline        time.Time
	recallRequested bool       // a recall from other holders was requested
	result          chan error // receives exactly one value; has a buffer of one
}

// awaitResult waits for the waiter's result, until its deadline or the end of ctx.
func (a *account) awaitResult(ctx context.Context, w *waiter) error {
	for {
		a.mu.Lock()
		remaining := w.deadline.Sub(a.now())
		a.mu.Unlock()
		if remaining <= 0 {
			return a.endWait(w, nil)
		}
		select {
		case err := <-w.result:
			return err
		case <-ctx.Done():
			return a.endWait(w, ctx.Err())
		case <-a.holder.options.Clock.After(remaining):
		}
	}
}

// endWait removes a waiter from the queue after its deadline or the end of its
// context, which is cause. If the waiter was served in the meantime, it keeps its
// tokens unless its caller is disconnected, that is, cause is not nil.
func (a *account) endWait(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serveWaitersLocked()
	select {
	case err := <-w.result:
		if err == nil && cause != nil {
			a.reserved -= w.tokens
			a.serveWaitersLocked()
			return fmt.Errorf("%w: %w", ErrUnavailable, cause)
		}
		return err
	default:
	}
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			break
		}
	}
	a.serveWaitersLocked()
	switch {
	case cause != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, cause)
	case w.recallRequested && !a.unreachable:
		return ErrBusy
	}
	return ErrUnavailable
}

// serveWaitersLocked reserves available tokens for waiters in order of arrival.
func (a *account) serveWaitersLocked() {
	for len(a.waiters) > 0 && !a.returnAll && a.availableLocked() >= a.waiters[0].tokens {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.reserved += w.tokens
		w.result <- nil
	}
	if len(a.waiters) > 0 {
		a.startWriterLocked()
	}
}

// refuseWaitersLocked ends the waits for at least minTokens with the error reason.
func (a *account) refuseWaitersLocked(minTokens int64, reason error) {
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		if w.tokens < minTokens {
			remaining = append(remaining, w)
			continue
		}
		w.result <- reason
	}
	a.waiters = remaining
}

// extendWaitsLocked extends the deadline of each waiter whose tokens will be
// unlocked, without the store, within Settings.UnlockWait of its arrival.
func (a *account) extendWaitsLocked() {
	waiters, now := a.waiters, a.now()
	a.waiters = nil // timeToUnlockLocked counts the waiters before w, which are added one by one
	for _, w := range waiters {
		toUnlock := a.timeToUnlockLocked(w.tokens)
		a.waiters = append(a.waiters, w)
		if toUnlock <= w.arrivedAt.Add(a.holder.options.Settings.UnlockWait).Sub(now) {
			w.deadline = later(w.deadline, now.Add(toUnlock))
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// timeToUnlockLocked returns the time until enough tokens are unlocked, without the
// store, for all waiters and a further reservation of tokens.
func (a *account) timeToUnlockLocked(tokens int64) time.Duration {
	granted, activated := a.guaranteedLocked()
	for _, w := range a.waiters {
		tokens += w.tokens
	}
	return a.holder.heartbeat.timeToUnlock(a.inUseLocked()+tokens-activated, granted-activated)
}
