package prepaid

import (
	"errors"
	"math/rand/v2"
	"time"
)

// startWriterLocked starts writeLoop if there is something to read or write and it
// is not running.
func (a *account) startWriterLocked() {
	if a.writing || a.holder.ctx.Err() != nil {
		return
	}
	if a.readDueLocked() || a.planLocked() != nil {
		a.writing = a.holder.tasks.Go(a.writeLoop)
		if a.granted == 0 {
			a.holder.heartbeat.wakeUp() // a first draw needs a recent heartbeat
		}
	}
}

// readDueLocked reports whether the rows must be read. A process that is expected to hold
// no grant reads them only for waiters, or for a grant that it or a predecessor has.
func (a *account) readDueLocked() bool {
	if a.totalRead && !a.rereadRows && a.readEra == a.holder.eras.observe() {
		return false
	}
	return a.reclaiming || a.granted > 0 || a.returnAll || len(a.waiters) > 0 || len(a.pendingWrites) > 0 || a.holder.isLender(a.workspace)
}

// errShortage reports that the total has too few tokens for a plan, or that the
// plan has nothing to write.
var errShortage = errors.New("too few tokens unspent")

// writeLoop reads and writes until nothing is due or the holder stops.
func (a *account) writeLoop() {
	for {
		a.mu.Lock()
		p := a.planLocked()
		if p == nil && !a.readDueLocked() || a.holder.ctx.Err() != nil {
			a.writing = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		err := a.applyPlan(p)
		if err == nil {
			continue
		}
		if !a.handleWriteError(err) {
			return
		}
	}
}

// handleWriteError handles the error of a plan that was not applied, and reports
// whether writeLoop continues. For a shortage it refuses the waiters that need as
// much; for other errors it waits until the next attempt is due.
func (a *account) handleWriteError(err error) bool {
	h := a.holder
	a.mu.Lock()
	if errors.Is(err, errShortage) {
		if len(a.waiters) > 0 {
			w, reason := a.waiters[0], shortageReason(err)
			if w.noWait && errors.Is(reason, ErrBusy) {
				// No recall was requested, so a reservation that waits may succeed.
				a.waiters = a.waiters[1:]
				w.result <- reason
				a.mu.Unlock()
				return true
			}
			a.shortageSize, a.shortageErr = w.tokens, reason
			a.shortageUntil = a.now().Add(h.options.Settings.ShortageFor)
			a.refuseWaitersLocked(w.tokens, reason)
			a.mu.Unlock()
			return true
		}
		recall := a.needsRecallLocked()
		a.writing = false
		a.mu.Unlock()
		if recall {
			h.tasks.Go(func() { a.recallAhead() })
		}
		return false
	}
	if errors.Is(err, errUnconfirmed) {
		a.mu.Unlock()
		return a.awaitConfirmation()
	}
	h.stats.Failures.Add(1)
	h.eras.callFailed()
	if !a.unreachable {
		a.unreachable, a.unreachableSince = true, a.now()
		h.options.Log.Warn("grant writes failed, waiting for the store", "workspace", a.workspace, "err", err.Error(),
			"granted", a.granted, "cleared", a.activated, "spent", a.spent, "open", a.reserved)
	}
	backoff, closeStarted := h.options.Settings.RetryInterval, h.closeStarted
	if h.closing.Load() {
		closeStarted = nil // it has been handled
	} else if a.failures > 0 {
		backoff = unreachableRetryInterval
	}
	a.failures++
	storeReached := h.heartbeat.nextStoreReached()
	a.serveWaitersLocked()
	hasWaiters := len(a.waiters) > 0
	a.mu.Unlock()
	// The heartbeat checks for all accounts whether the store responds.
	select {
	case <-h.options.Clock.After(backoff/2 + rand.N(backoff/2)):
		return true
	case <-storeReached:
		if !hasWaiters {
			a.spreadWrite()
		}
		return true
	case <-closeStarted:
		return true
	case <-h.ctx.Done():
		return a.endWriteLoop()
	}
}

// endWriteLoop ends writeLoop since the holder stops.
func (a *account) endWriteLoop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	return false
}

// awaitConfirmation waits until the total may be confirmed, and reports whether writeLoop
// continues.
func (a *account) awaitConfirmation() bool {
	select {
	case <-a.holder.options.Clock.After(a.holder.options.Settings.RetryInterval):
		return true
	case <-a.holder.ctx.Done():
		return a.endWriteLoop()
	}
}

// unreachableRetryInterval is the interval at which an account retries an
// unreachable store by itself if the heartbeat does not report that the store
// responds. A holder that closes has no time to wait that long.
const unreachableRetryInterval = 3 * time.Second

// shortageReason returns the exported error that waiters get for a shortage.
func shortageReason(err error) error {
	for _, reason := range []error{ErrBusy, ErrUnlimited} {
		if errors.Is(err, reason) {
			return reason
		}
	}
	return ErrExhausted
}
