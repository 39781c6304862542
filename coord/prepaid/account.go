package prepaid

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// account is a holder's state for one workspace. Amounts are in tokens.
//
// Invariants, at any moment: spent + reserved is at most granted, and at most
// activated plus the unlocked part of granted - activated. The stored grant row has
// at least the values of granted, activated and unlockRate.
type account struct {
	holder    *Holder
	workspace string

	mu sync.Mutex // guards all fields below; never held during a call to the store
	// granted, activated and unlockRate are those of the stored grant row as last
	// known. spent and reserved are counted locally since the grant was opened.
	granted    int64
	activated  int64
	unlockRate float64
	spent      int64
	reserved   int64
	// storedGranted is what the stored grant row has as granted, which the total
	// includes. It differs from granted after the store was restored from a copy, until
	// the grant is written again.
	storedGranted int64
	// grantEra is the era of the store in which this holder last wrote its grant row or
	// found that it has none. seq is the number of its writes of the row. openedMs is the
	// store's clock when the grant was opened. closed is set once the grant was returned.
	grantEra, seq, openedMs int64
	closed                  bool
	// pendingWrites are writes that may still be applied by the store.
	pendingWrites []pendingWrite
	// rowSeq and rowReplicas are the number and the replicas of the stored grant row.
	// renewReplicas requests a write of the row with other replicas.
	// acknowledged has the newest extension that each replica has recorded. extending is
	// set while one is requested, and extendFailedAt is when that failed last.
	// writtenAt is when the newest write of the row was sent that was applied.
	rowSeq         int64
	rowReplicas    []bus.ID
	writtenAt      time.Time
	renewReplicas  bool
	acknowledged   map[bus.ID]acknowledgement
	extending      bool
	extendFailedAt time.Time
	// orphanBounds has, by the name of an orphaned grant's row, how much of the grant its
	// extensions let the predecessor use. boundingOrphans is set while replicas are asked.
	orphanBounds    map[string]orphanBound
	boundingOrphans bool
	// lostGrants are fenced grants of lost holders that the next write reclaims.
	lostGrants []lostGrant

	waiters []*waiter // in order of arrival
	// writing is set while a goroutine runs writeLoop; there is at most one.
	writing bool
	// returnAll requests the return of everything that is not in use.
	returnAll bool
	// lastLimit is the limit that checkLimit saw last.
	lastLimit int64
	// unreachable is set while calls to the store fail, which they do since
	// unreachableSince; failures counts the failed calls since then.
	unreachable      bool
	unreachableSince time.Time
	failures         int
	// shortageSize is the smallest reservation, in tokens, that the store had too
	// few tokens for. Until shortageUntil, reservations of that size or more fail
	// with shortageErr.
	shortageSize  int64
	shortageUntil time.Time
	shortageErr   error
	// Until scarceUntil, the account keeps a smaller headroom, or none if
	// scarceReturnAll is set. lastRecall is when this holder last requested a
	// recall from other holders, and lastRecallAll whether it asked for all of
	// their headroom.
	scarceUntil     time.Time
	scarceReturnAll bool
	lastRecall      time.Time
	lastRecallAll   bool
	// lastPeerRecall is when the last recall request of another holder was
	// received, and lastPeerRecallAll whether that asked for all headroom.
	lastPeerRecall    time.Time
	lastPeerRecallAll bool
	// rereadRows requests a read of the rows before the next plan. reclaiming requests
	// the first one for the grants of predecessors.
	rereadRows, reclaiming bool
	// reportUse requests a write of the grant row if what it reports as in use,
	// storedInUse, is out of date: other holders judge by it whether a recall can
	// bring them tokens.
	reportUse   bool
	storedInUse int64

	// reportedSpent is the part of spent that the stored grant row reports and the
	// total includes.
	reportedSpent int64
	// usage is the use over the last few seconds, from which the headroom follows.
	// shareUsage covers a longer time and is compared with the use of other
	// holders. lastReserve is the time of the last reservation request.
	usage, shareUsage rate
	lastReserve       time.Time
	// createdAt and firstDrawFraction, a random number from 0 to 1 excluding 1,
	// spread the first draws of holders that start at the same time.
	createdAt         time.Time
	firstDrawFraction float64
	// meanRequest is a running mean of the tokens of a reservation.
	meanRequest float64

	// The rows as last seen, with total decoded from storedTotal, and the grant
	// rows that dead predecessors on this VM left behind. Only the goroutine of
	// writeLoop changes them, so it also reads them without mu.
	storedTotal, storedGrant rowstore.Row
	total                    totalRow
	totalRead                bool
	orphanedGrants           []rowstore.Row
	// foreignRows are the grant rows of all other holders while the total is not
	// confirmed. readEra is the era of the rows, and markedEra the newest one that they
	// mark.
	foreignRows        []rowstore.Row
	readEra, markedEra int64
}

// newAccount returns the account of a workspace, without a grant.
func newAccount(h *Holder, workspace string) *account {
	a := &account{holder: h, workspace: workspace, meanRequest: initialMeanRequest, acknowledged: make(map[bus.ID]acknowledgement), orphanBounds: make(map[string]orphanBound)}
	a.storedTotal.Key = rowstore.Key{Table: ledgerTable, Part: workspace, Name: totalName}
	a.storedGrant.Key = rowstore.Key{Table: ledgerTable, Part: workspace, Name: grantPrefix + h.options.VM + "/" + h.options.Incarnation}
	a.createdAt, a.firstDrawFraction = h.options.Clock.Now(), rand.Float64()
	a.usage, a.shareUsage, a.lastReserve = newRate(a.createdAt, usageTimeConstant), newRate(a.createdAt, shareTimeConstant), a.createdAt
	return a
}

// inUseLocked returns the tokens that are spent or reserved.
func (a *account) inUseLocked() int64 { return a.spent + a.reserved }

// availableLocked returns the tokens that can be reserved now. It counts only what
// is guaranteed whatever the outcome of pending writes.
func (a *account) availableLocked() int64 {
	g := a.guaranteedLocked()
	unlocked := g.activated + a.holder.heartbeat.unlocked(g.granted-g.activated, g.unlockRate)
	return min(unlocked, a.usableLocked()) - a.inUseLocked()
}

// now returns the time of the holder's clock.
func (a *account) now() time.Time { return a.holder.options.Clock.Now() }

// reserve takes tokens from the grant. If too few are available, it queues behind
// earlier waiters that are in time until tokens are available, the wait times out or
// ctx ends. It fails at once while a shortage of that many tokens is remembered, and if
// the store is unreachable and the tokens are not unlocked within Settings.UnlockWait.
// With noWait, it waits neither for tokens of other holders nor for tokens to be
// unlocked.
func (a *account) reserve(ctx context.Context, tokens int64, noWait bool) error {
	a.checkLimit()
	a.mu.Lock()
	now := a.now()
	a.usage.add(now, tokens)
	a.shareUsage.add(now, tokens)
	a.lastReserve = now
	a.meanRequest += meanRequestWeight * (float64(tokens) - a.meanRequest)
	a.orderWaitersLocked()
	if (len(a.waiters) == 0 || a.lateLocked(a.waiters[0])) && !a.returnAll && a.availableLocked() >= tokens {
		a.reserved += tokens
		a.startWriterLocked()
		a.mu.Unlock()
		return nil
	}
	if tokens >= a.shortageSize && now.Before(a.shortageUntil) {
		defer a.mu.Unlock()
		return a.shortageErr
	}
	w := &waiter{tokens: tokens, noWait: noWait, arrivedAt: now, result: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.orderWaitersLocked()
	a.extendLocked()
	wait, toUnlock := a.holder.heartbeat.maxStoreWait(), a.timeToUnlockLocked(w)
	if a.unreachable && (noWait || toUnlock > a.holder.options.Settings.UnlockWait) {
		defer a.mu.Unlock()
		a.removeWaiterLocked(w)
		a.startWriterLocked()
		return unavailableFor(errStoreNotReached, toUnlock)
	}
	if noWait {
		wait = min(wait, maxQuickWait)
	}
	w.deadline = now.Add(wait)
	a.startWriterLocked()
	a.mu.Unlock()
	return a.awaitResult(ctx, w)
}

// maxQuickWait bounds the wait for the store of a reservation that is also requested
// elsewhere. It covers the response of a slow store.
const maxQuickWait = 400 * time.Millisecond

// unavailableFor returns err with the time until enough tokens are unlocked, if they
// ever are.
func unavailableFor(err error, toUnlock time.Duration) error {
	if toUnlock == math.MaxInt64 {
		return err
	}
	return &RetryError{Err: err, After: toUnlock}
}

// newReservation returns a reservation of tokens that reserve has taken.
func (a *account) newReservation(tokens int64) *Reservation {
	o := a.holder.options
	return &Reservation{settle: func(used int64) { a.settle(tokens, used) }, tokens: tokens, lender: bus.ID{VM: o.VM, Incarnation: o.Incarnation}}
}

// meanRequestWeight is the weight of a new request in meanRequest. It is small
// because long and short prompts alternate and the headroom must not follow each of
// them.
const meanRequestWeight = 0.05

// initialMeanRequest is the assumed size of a request, in tokens, before any is
// seen: a long prompt with a short response.
const initialMeanRequest = 5000

// settle ends a reservation of reserved tokens, of which used were spent. used may
// exceed reserved.
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

// checkLimit reads the workspace's limit. A lower limit makes the account return
// what is not in use; a higher one ends a remembered shortage and scarcity.
func (a *account) checkLimit() {
	limit, ok := a.holder.options.Limit(a.workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok && limit.Tokens < a.lastLimit && a.granted > 0 {
		a.returnAll = true
	}
	if ok && limit.Tokens > a.lastLimit {
		a.shortageUntil, a.scarceUntil, a.scarceReturnAll = time.Time{}, time.Time{}, false
	}
	if ok {
		a.lastLimit = limit.Tokens
	}
	if a.returnAll {
		a.startWriterLocked()
	}
}

// check serves waiters from tokens that have become available without the store,
// and starts a write if one is due.
func (a *account) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serveWaitersLocked()
	a.startWriterLocked()
}

// reclaim reads the rows, so that grants of predecessors are found and reclaimed.
func (a *account) reclaim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaiming = !a.totalRead
	a.startWriterLocked()
}

// recallReceived handles a recall request of another holder: for Settings.ScarceFor
// the account keeps less headroom, or none if all is set.
func (a *account) recallReceived(all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scarceReturnAll = all || a.scarceReturnAll && a.scarceLocked()
	now := a.now()
	a.scarceUntil = now.Add(a.holder.options.Settings.ScarceFor)
	a.lastPeerRecall, a.lastPeerRecallAll = now, all
	a.rereadRows = a.granted > a.inUseLocked() // otherwise there is nothing to return
	a.reportUse = true
	a.startWriterLocked()
}

// usesInactiveTokens reports whether any account uses more than its activated
// tokens. It starts the write of the first such account that it finds.
func (h *Holder) usesInactiveTokens() bool {
	for _, a := range h.accounts.All() {
		a.mu.Lock()
		usesInactive := a.inUseLocked() > a.guaranteedLocked().activated
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

// startClose refuses all waiters and requests the return of the whole grant.
func (a *account) startClose() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuseWaitersLocked(0, ErrClosed)
	a.returnAll = a.granted > 0 || len(a.pendingWrites) > 0 || a.writing
	a.startWriterLocked()
}

// awaitClose waits until the grant is returned or ctx ends.
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
			return fmt.Errorf("return grant of %s: %w", a.workspace, ctx.Err())
		case <-a.holder.options.Clock.After(closePollInterval):
		}
	}
}

// closePollInterval is the interval at which awaitClose checks whether the grant is
// returned.
const closePollInterval = 2 * time.Millisecond
