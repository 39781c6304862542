package prepaid

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

// waiter is a reservation that waits for tokens. The account's lock guards deadline
// and recallRequested.
type waiter struct {
	tokens int64
	// noWait excludes waits for tokens of other holders and for tokens to be
	// unlocked, since the caller will ask another holder.
	noWait    bool
	arrivedAt time.Time
	// deadline is when the wait ends. It is extended while a recall from other
	// holders is under way, or if enough tokens will be unlocked soon.
	deadline        time.Time
	recallRequested bool       // a recall from other holders was requested
	result          chan error // receives exactly one value; has a buffer of one
}

// unlockPollInterval is the interval at which waiters check for tokens that were
// unlocked.
const unlockPollInterval = 20 * time.Millisecond

// awaitResult waits for the waiter's result, until it gives up or the end of ctx.
func (a *account) awaitResult(ctx context.Context, w *waiter) error {
	for {
		a.mu.Lock()
		a.serveWaitersLocked()
		a.extendLocked()
		a.extendWaitLocked(w)
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
		case <-a.holder.options.Clock.After(min(remaining, unlockPollInterval)):
		}
	}
}

// extendWaitLocked extends the wait of a waiter whose tokens will be unlocked, without
// the store, within Settings.UnlockWait of its arrival.
func (a *account) extendWaitLocked(w *waiter) {
	if w.noWait || !slices.Contains(a.waiters, w) {
		return
	}
	if expected := a.now().Add(a.timeToUnlockLocked(w)); !expected.After(w.arrivedAt.Add(a.holder.options.Settings.UnlockWait)) {
		w.deadline = later(w.deadline, expected)
	}
}

// lateLocked reports whether a waiter can no longer be served in time.
func (a *account) lateLocked(w *waiter) bool {
	return a.now().Sub(w.arrivedAt) > a.holder.options.Settings.InTimeFor
}

// orderWaitersLocked sorts the waiters in the order in which they are served: those in
// time before the late ones, and otherwise by arrival.
func (a *account) orderWaitersLocked() {
	slices.SortStableFunc(a.waiters, func(x, y *waiter) int {
		if late := a.lateLocked(x); late != a.lateLocked(y) {
			if late {
				return 1
			}
			return -1
		}
		return x.arrivedAt.Compare(y.arrivedAt)
	})
}

// removeWaiterLocked removes a waiter if it still waits.
func (a *account) removeWaiterLocked(w *waiter) {
	a.waiters = slices.DeleteFunc(a.waiters, func(other *waiter) bool { return other == w })
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
	toUnlock := a.timeToUnlockLocked(w)
	a.removeWaiterLocked(w)
	a.serveWaitersLocked()
	switch {
	case cause != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, cause)
	case w.recallRequested && !a.unreachable:
		return ErrBusy
	}
	if a.unreachable {
		return unavailableFor(errStoreNotReached, toUnlock)
	}
	return unavailableFor(ErrUnavailable, toUnlock)
}

// serveWaitersLocked reserves available tokens for waiters in their order.
func (a *account) serveWaitersLocked() {
	a.orderWaitersLocked()
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

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// timeToUnlockLocked returns the time until enough tokens are unlocked, without the
// store, for a waiter and those that are served before it, or the longest duration if
// that is not to be expected.
func (a *account) timeToUnlockLocked(w *waiter) time.Duration {
	g, tokens := a.guaranteedLocked(), int64(0)
	for _, other := range a.waiters {
		tokens += other.tokens
		if other == w {
			break
		}
	}
	if a.extensionFailsLocked(a.inUseLocked() + tokens) {
		return math.MaxInt64
	}
	return a.holder.heartbeat.timeToUnlock(a.inUseLocked()+tokens-g.activated, g.granted-g.activated, g.unlockRate)
}
