package prepaid

import (
	"context"
	"fmt"
	"time"
)

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens    int64
	arrivedAt time.Time
	// until is when the wait ends; it moves on while others are asked for tokens
	// or enough is released soon.
	deadline        time.Time
	recallRequested bool       // others were asked for tokens
	result          chan error // receives once, buffered
}

// wait waits for the waiter's result, until its time or ctx ends.
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

// giveUp takes a waiter out of the queue. One that was served meanwhile keeps
// its tokens unless its caller is gone.
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

// serveLocked gives tokens to waiters in order.
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

// refuseLocked ends the waiters that want at least size.
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

// awaitReleaseLocked has waiters stay for tokens that are released soon without
// the store.
func (a *account) extendWaitsLocked() {
	waiters, now := a.waiters, a.now()
	a.waiters = nil
	for _, w := range waiters {
		toUnlock := a.timeToUnlockLocked(w.tokens)
		a.waiters = append(a.waiters, w)
		if toUnlock <= w.arrivedAt.Add(a.holder.options.Settings.UnlockWait).Sub(now) {
			w.deadline = later(w.deadline, now.Add(toUnlock))
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// untilReleasedLocked is the time until tokens are free beyond those that are
// waited for, without the store.
func (a *account) timeToUnlockLocked(tokens int64) time.Duration {
	granted, activated := a.guaranteedLocked()
	for _, w := range a.waiters {
		tokens += w.tokens
	}
	return a.holder.heartbeat.timeToUnlock(a.inUseLocked()+tokens-activated, granted-activated)
}
