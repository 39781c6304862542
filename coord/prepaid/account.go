package prepaid

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// account is a holder's state of one workspace. At any moment, spent + open is
// at most granted, and at most cleared and what is released of the rest; the
// table's grant row has at least granted and at least cleared.
type account struct {
	holder    *Holder
	workspace string

	mu        sync.Mutex // guards all below; never held over a call
	granted   int64
	activated int64
	spent     int64
	reserved  int64
	// pending are writes that may still be applied.
	pendingWrites []pendingWrite

	waiters []*waiter
	// busy is set while one goroutine writes.
	writing bool
	// recall asks to return everything that is not in use.
	returnAll bool
	lastLimit int64
	// away is set while the store does not answer, since awaySince; failures
	// counts the calls that failed since.
	unreachable      bool
	unreachableSince time.Time
	failures         int
	// short is the least size that the store was found short of, until
	// shortUntil, with the error that says why.
	shortageSize  int64
	shortageUntil time.Time
	shortageErr   error
	// scarceUntil is until when less stock is held, or none if scarceAll is
	// set; asked is when tokens that others hold were last asked for, and
	// askedAll whether all of them.
	scarceUntil     time.Time
	scarceReturnAll bool
	lastRecall      time.Time
	lastRecallAll   bool
	// heard is when another holder was heard to ask, and heardAll whether for all.
	lastPeerRecall    time.Time
	lastPeerRecallAll bool
	// reread asks to read the rows before the next plan.
	rereadRows bool

	// reported is the part of spent that the total has.
	reportedSpent int64
	// use is that of some seconds, part that by which holders compare; lastUse
	// is when the last reservation was asked for.
	usage, shareUsage rate
	lastReserve       time.Time
	// born and early spread the first draws of holders that start together.
	createdAt         time.Time
	firstDrawFraction float64
	// request is a running mean of the tokens of a reservation.
	meanRequest float64

	// The rows as last seen, and the grants that dead predecessors on this VM
	// have left.
	storedTotal, storedGrant rowstore.Row
	total                    totalRow
	totalRead                bool
	orphanedGrants           []rowstore.Row
}

func newAccount(h *Holder, workspace string) *account {
	a := &account{holder: h, workspace: workspace, meanRequest: initialMeanRequest}
	a.storedTotal.Key = rowstore.Key{Table: ledgerTable, Part: workspace, Name: totalName}
	a.storedGrant.Key = rowstore.Key{Table: ledgerTable, Part: workspace, Name: grantPrefix + h.options.VM + "/" + h.options.Incarnation}
	a.createdAt, a.firstDrawFraction = h.options.Clock.Now(), rand.Float64()
	a.usage, a.shareUsage, a.lastReserve = newRate(a.createdAt, usageTimeConstant), newRate(a.createdAt, shareTimeConstant), a.createdAt
	return a
}

// inUseLocked is what is spent or reserved.
func (a *account) inUseLocked() int64 { return a.spent + a.reserved }

// availableLocked is what can be reserved now.
func (a *account) availableLocked() int64 {
	granted, activated := a.guaranteedLocked()
	return activated + a.holder.heartbeat.unlocked(granted-activated) - a.inUseLocked()
}

func (a *account) now() time.Time { return a.holder.options.Clock.Now() }

// reserve takes tokens, or waits for them in order of arrival.
func (a *account) reserve(ctx context.Context, tokens int64) error {
	a.checkLimit()
	a.mu.Lock()
	now := a.now()
	a.usage.add(now, tokens)
	a.shareUsage.add(now, tokens)
	a.lastReserve = now
	a.meanRequest += meanRequestWeight * (float64(tokens) - a.meanRequest)
	if len(a.waiters) == 0 && !a.returnAll && a.availableLocked() >= tokens {
		a.reserved += tokens
		a.startWriterLocked()
		a.mu.Unlock()
		return nil
	}
	if tokens >= a.shortageSize && now.Before(a.shortageUntil) {
		defer a.mu.Unlock()
		return a.shortageErr
	}
	wait := a.holder.heartbeat.maxStoreWait()
	if a.unreachable {
		if wait = a.timeToUnlockLocked(tokens); wait > a.holder.options.Settings.UnlockWait {
			defer a.mu.Unlock()
			a.startWriterLocked()
			return ErrUnavailable
		}
	}
	w := &waiter{tokens: tokens, arrivedAt: now, deadline: now.Add(wait), result: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.startWriterLocked()
	a.mu.Unlock()
	return a.awaitResult(ctx, w)
}

// requestWeight is the weight of a new request in the mean size: long prompts and
// short ones alternate, and the stock must not follow each.
const meanRequestWeight = 0.05

// usualRequest is the size of a request before any is known, in tokens: a long
// prompt with a short answer.
const initialMeanRequest = 5000

func (a *account) settle(reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= reserved
	a.spent += used
	now := a.now()
	a.usage.add(now, used-reserved)
	a.shareUsage.add(now, used-reserved)
	a.serveWaitersLocked()
}

// checkLimit notes a limit that fell, after which the grant goes back.
func (a *account) checkLimit() {
	limit, ok := a.holder.options.Limit(a.workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok && limit.Tokens < a.lastLimit && a.granted > 0 {
		a.returnAll = true
	}
	if ok && limit.Tokens > a.lastLimit {
		a.shortageUntil = time.Time{}
	}
	if ok {
		a.lastLimit = limit.Tokens
	}
	if a.returnAll {
		a.startWriterLocked()
	}
}

// check looks for something to write, and without the store for waiters that can be
// served now.
func (a *account) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serveWaitersLocked()
	a.startWriterLocked()
}

// wanted has the account hold less stock for a while, or none.
func (a *account) recallReceived(all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scarceReturnAll = all || a.scarceReturnAll && a.scarceLocked()
	now := a.now()
	a.scarceUntil = now.Add(a.holder.options.Settings.ScarceFor)
	a.lastPeerRecall, a.lastPeerRecallAll = now, all
	a.rereadRows = a.granted > a.inUseLocked()
	a.startWriterLocked()
}

// overdrawn reports whether uncleared tokens are in use.
func (h *Holder) usesInactiveTokens() bool {
	for _, a := range h.accounts.All() {
		a.mu.Lock()
		_, activated := a.guaranteedLocked()
		usesInactive := a.inUseLocked() > activated
		if usesInactive {
			a.startWriterLocked()
		}
		a.mu.Unlock()
		if usesInactive {
			return true
		}
	}
	return false
}

// wakeLocked starts the goroutine of writes if there is one to make.
func (a *account) startWriterLocked() {
	if a.writing || a.holder.ctx.Err() != nil {
		return
	}
	if !a.totalRead || a.rereadRows || a.planLocked() != nil {
		a.writing = a.holder.tasks.Go(a.writeLoop)
	}
}

var errShortage = errors.New("too few tokens unspent")

// work writes until nothing is due.
func (a *account) writeLoop() {
	for {
		a.mu.Lock()
		p := a.planLocked()
		if p == nil && a.totalRead && !a.rereadRows || a.holder.ctx.Err() != nil {
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

// failed handles a write that did not happen and tells whether to go on.
func (a *account) handleWriteError(err error) bool {
	h := a.holder
	a.mu.Lock()
	if errors.Is(err, errShortage) {
		if len(a.waiters) > 0 {
			tokens := a.waiters[0].tokens
			a.shortageSize, a.shortageErr = tokens, shortageReason(err)
			a.shortageUntil = a.now().Add(h.options.Settings.ShortageFor)
			a.refuseWaitersLocked(tokens, a.shortageErr)
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
	h.stats.Failures.Add(1)
	if !a.unreachable {
		a.unreachable, a.unreachableSince = true, a.now()
		h.options.Log.Warn("writes wait for the store", "workspace", a.workspace, "err", err.Error(),
			"granted", a.granted, "cleared", a.activated, "spent", a.spent, "open", a.reserved)
	}
	a.extendWaitsLocked()
	backoff := h.options.Settings.RetryInterval
	if a.failures > 0 {
		backoff = unreachableRetryInterval
	}
	a.failures++
	storeReached := h.heartbeat.nextStoreReached()
	a.serveWaitersLocked()
	hasWaiters := len(a.waiters) > 0
	a.mu.Unlock()
	// One duty asks whether the store answers, not each account.
	select {
	case <-h.options.Clock.After(backoff/2 + rand.N(backoff/2)):
		return true
	case <-storeReached:
		if !hasWaiters {
			a.spreadWrite()
		}
		return true
	case <-h.ctx.Done():
		a.mu.Lock()
		a.writing = false
		a.mu.Unlock()
		return false
	}
}

// awayPause is the pause between an account's own tries of a store that does
// not answer, if nothing is heard of it.
const unreachableRetryInterval = 3 * time.Second

// shortReason returns the error for waiters.
func shortageReason(err error) error {
	for _, reason := range []error{ErrBusy, ErrUnlimited} {
		if errors.Is(err, reason) {
			return reason
		}
	}
	return ErrExhausted
}

// startClose asks for the return of the whole grant.
func (a *account) startClose() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuseWaitersLocked(0, ErrClosed)
	a.returnAll = a.granted > 0 || len(a.pendingWrites) > 0 || a.writing
	a.startWriterLocked()
}

// awaitClose waits for the return.
func (a *account) awaitClose(ctx context.Context) error {
	for {
		a.mu.Lock()
		done := !a.returnAll
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("return the grant of %s: %w", a.workspace, ctx.Err())
		case <-a.holder.options.Clock.After(closePollInterval):
		}
	}
}

// closePoll is the interval of looking whether a grant is returned.
const closePollInterval = 2 * time.Millisecond
