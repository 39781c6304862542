package prepaid

import (
	"context"
	"fmt"
	"time"
)

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	came   time.Time
	// until is when the wait ends; it moves on while others are asked for tokens
	// or enough is released soon.
	until  time.Time
	asked  bool       // others were asked for tokens
	result chan error // receives once, buffered
}

// wait waits for the waiter's result, until its time or ctx ends.
func (a *account) wait(ctx context.Context, w *waiter) error {
	for {
		a.mu.Lock()
		left := w.until.Sub(a.now())
		a.mu.Unlock()
		if left <= 0 {
			return a.giveUp(w, nil)
		}
		select {
		case err := <-w.result:
			return err
		case <-ctx.Done():
			return a.giveUp(w, ctx.Err())
		case <-a.holder.options.Clock.After(left):
		}
	}
}

// giveUp takes a waiter out of the queue. One that was served meanwhile keeps
// its tokens unless its caller is gone.
func (a *account) giveUp(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serveLocked()
	select {
	case err := <-w.result:
		if err == nil && cause != nil {
			a.open -= w.tokens
			a.serveLocked()
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
	a.serveLocked()
	switch {
	case cause != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, cause)
	case w.asked && !a.away:
		return ErrBusy
	}
	return ErrUnavailable
}

// serveLocked gives tokens to waiters in order.
func (a *account) serveLocked() {
	for len(a.waiters) > 0 && !a.recall && a.availableLocked() >= a.waiters[0].tokens {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.open += w.tokens
		w.result <- nil
	}
	if len(a.waiters) > 0 {
		a.wakeLocked()
	}
}

// refuseLocked ends the waiters that want at least size.
func (a *account) refuseLocked(size int64, reason error) {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if w.tokens < size {
			kept = append(kept, w)
			continue
		}
		w.result <- reason
	}
	a.waiters = kept
}

// awaitReleaseLocked has waiters stay for tokens that are released soon without
// the store.
func (a *account) awaitReleaseLocked() {
	waiters, now := a.waiters, a.now()
	a.waiters = nil
	for _, w := range waiters {
		wait := a.untilReleasedLocked(w.tokens)
		a.waiters = append(a.waiters, w)
		if wait <= w.came.Add(a.holder.options.Settings.UnlockWait).Sub(now) {
			w.until = later(w.until, now.Add(wait))
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
func (a *account) untilReleasedLocked(tokens int64) time.Duration {
	granted, cleared := a.leastLocked()
	for _, w := range a.waiters {
		tokens += w.tokens
	}
	return a.holder.presence.untilReleased(a.inUseLocked()+tokens-cleared, granted-cleared)
}
