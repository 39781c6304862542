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

	mu      sync.Mutex // guards all below; never held over a call
	granted int64
	cleared int64
	spent   int64
	open    int64
	// pending are writes that may still be applied.
	pending []pendingWrite

	waiters []*waiter
	// busy is set while one goroutine writes.
	busy bool
	// recall asks to return everything that is not in use.
	recall    bool
	lastLimit int64
	// away is set while the store does not answer, since awaySince; failures
	// counts the calls that failed since.
	away      bool
	awaySince time.Time
	failures  int
	// short is the least size that the store was found short of, until
	// shortUntil, with the error that says why.
	short      int64
	shortUntil time.Time
	shortErr   error
	// scarceUntil is until when less stock is held, or none if scarceAll is
	// set; asked is when tokens that others hold were last asked for, and
	// askedAll whether all of them.
	scarceUntil time.Time
	scarceAll   bool
	asked       time.Time
	askedAll    bool
	// heard is when another holder was heard to ask, and heardAll whether for all.
	heard    time.Time
	heardAll bool
	// reread asks to read the rows before the next plan.
	reread bool

	// reported is the part of spent that the total has.
	reported int64
	// use is that of some seconds, part that by which holders compare; lastUse
	// is when the last reservation was asked for.
	use, part rate
	lastUse   time.Time
	// born and early spread the first draws of holders that start together.
	born  time.Time
	early float64
	// request is a running mean of the tokens of a reservation.
	request float64

	// The rows as last seen, and the grants that dead predecessors on this VM
	// have left.
	total, own rowstore.Row
	totalNow   totalRow
	totalSeen  bool
	left       []rowstore.Row
}

func newAccount(h *Holder, workspace string) *account {
	a := &account{holder: h, workspace: workspace, request: usualRequest}
	a.total.Key = rowstore.Key{Table: ledgerTable, Part: workspace, Name: totalName}
	a.own.Key = rowstore.Key{Table: ledgerTable, Part: workspace, Name: grantPrefix + h.options.VM + "/" + h.options.Incarnation}
	a.born, a.early = h.options.Clock.Now(), rand.Float64()
	a.use, a.part, a.lastUse = newRate(a.born, rateMemory), newRate(a.born, shareMemory), a.born
	return a
}

// inUseLocked is what is spent or reserved.
func (a *account) inUseLocked() int64 { return a.spent + a.open }

// availableLocked is what can be reserved now.
func (a *account) availableLocked() int64 {
	granted, cleared := a.leastLocked()
	return cleared + a.holder.presence.released(granted-cleared) - a.inUseLocked()
}

func (a *account) now() time.Time { return a.holder.options.Clock.Now() }

// reserve takes tokens, or waits for them in order of arrival.
func (a *account) reserve(ctx context.Context, tokens int64) error {
	a.checkLimit()
	a.mu.Lock()
	now := a.now()
	a.use.add(now, tokens)
	a.part.add(now, tokens)
	a.lastUse = now
	a.request += requestWeight * (float64(tokens) - a.request)
	if len(a.waiters) == 0 && !a.recall && a.availableLocked() >= tokens {
		a.open += tokens
		a.wakeLocked()
		a.mu.Unlock()
		return nil
	}
	if tokens >= a.short && now.Before(a.shortUntil) {
		defer a.mu.Unlock()
		return a.shortErr
	}
	wait := a.holder.presence.patience()
	if a.away {
		if wait = a.untilReleasedLocked(tokens); wait > a.holder.options.Settings.UnlockWait {
			defer a.mu.Unlock()
			a.wakeLocked()
			return ErrUnavailable
		}
	}
	w := &waiter{tokens: tokens, came: now, until: now.Add(wait), result: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.wakeLocked()
	a.mu.Unlock()
	return a.wait(ctx, w)
}

// requestWeight is the weight of a new request in the mean size: long prompts and
// short ones alternate, and the stock must not follow each.
const requestWeight = 0.05

// usualRequest is the size of a request before any is known, in tokens: a long
// prompt with a short answer.
const usualRequest = 5000

func (a *account) settle(reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open -= reserved
	a.spent += used
	now := a.now()
	a.use.add(now, used-reserved)
	a.part.add(now, used-reserved)
	a.serveLocked()
}

// checkLimit notes a limit that fell, after which the grant goes back.
func (a *account) checkLimit() {
	limit, ok := a.holder.options.Limit(a.workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok && limit.Tokens < a.lastLimit && a.granted > 0 {
		a.recall = true
	}
	if ok && limit.Tokens > a.lastLimit {
		a.shortUntil = time.Time{}
	}
	if ok {
		a.lastLimit = limit.Tokens
	}
	if a.recall {
		a.wakeLocked()
	}
}

// check looks for something to write, and without the store for waiters that can be
// served now.
func (a *account) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serveLocked()
	a.wakeLocked()
}

// wanted has the account hold less stock for a while, or none.
func (a *account) wanted(all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scarceAll = all || a.scarceAll && a.scarceLocked()
	now := a.now()
	a.scarceUntil = now.Add(a.holder.options.Settings.ScarceFor)
	a.heard, a.heardAll = now, all
	a.reread = a.granted > a.inUseLocked()
	a.wakeLocked()
}

// overdrawn reports whether uncleared tokens are in use.
func (h *Holder) overdrawn() bool {
	for _, a := range h.accounts.All() {
		a.mu.Lock()
		_, cleared := a.leastLocked()
		over := a.inUseLocked() > cleared
		if over {
			a.wakeLocked()
		}
		a.mu.Unlock()
		if over {
			return true
		}
	}
	return false
}

// wakeLocked starts the goroutine of writes if there is one to make.
func (a *account) wakeLocked() {
	if a.busy || a.holder.ctx.Err() != nil {
		return
	}
	if !a.totalSeen || a.reread || a.planLocked() != nil {
		a.busy = a.holder.running.Go(a.work)
	}
}

var errShort = errors.New("too few tokens unspent")

// work writes until nothing is due.
func (a *account) work() {
	for {
		a.mu.Lock()
		p := a.planLocked()
		if p == nil && a.totalSeen && !a.reread || a.holder.ctx.Err() != nil {
			a.busy = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		err := a.change(p)
		if err == nil {
			continue
		}
		if !a.failed(err) {
			return
		}
	}
}

// failed handles a write that did not happen and tells whether to go on.
func (a *account) failed(err error) bool {
	h := a.holder
	a.mu.Lock()
	if errors.Is(err, errShort) {
		if len(a.waiters) > 0 {
			size := a.waiters[0].tokens
			a.short, a.shortErr = size, shortReason(err)
			a.shortUntil = a.now().Add(h.options.Settings.ShortageFor)
			a.refuseLocked(size, a.shortErr)
			a.mu.Unlock()
			return true
		}
		ask := a.starvedLocked()
		a.busy = false
		a.mu.Unlock()
		if ask {
			h.running.Go(func() { a.askAhead() })
		}
		return false
	}
	h.stats.Failures.Add(1)
	if !a.away {
		a.away, a.awaySince = true, a.now()
		h.options.Log.Warn("writes wait for the store", "workspace", a.workspace, "err", err.Error(),
			"granted", a.granted, "cleared", a.cleared, "spent", a.spent, "open", a.open)
	}
	a.awaitReleaseLocked()
	pause := h.options.Settings.RetryInterval
	if a.failures > 0 {
		pause = awayPause
	}
	a.failures++
	contact := h.presence.next()
	a.serveLocked()
	hasty := len(a.waiters) > 0
	a.mu.Unlock()
	// One duty asks whether the store answers, not each account.
	select {
	case <-h.options.Clock.After(pause/2 + rand.N(pause/2)):
		return true
	case <-contact:
		if !hasty {
			a.spread()
		}
		return true
	case <-h.ctx.Done():
		a.mu.Lock()
		a.busy = false
		a.mu.Unlock()
		return false
	}
}

// awayPause is the pause between an account's own tries of a store that does
// not answer, if nothing is heard of it.
const awayPause = 3 * time.Second

// shortReason returns the error for waiters.
func shortReason(err error) error {
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
	a.refuseLocked(0, ErrClosed)
	a.recall = a.granted > 0 || len(a.pending) > 0 || a.busy
	a.wakeLocked()
}

// awaitClose waits for the return.
func (a *account) awaitClose(ctx context.Context) error {
	for {
		a.mu.Lock()
		done := !a.recall
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("return the grant of %s: %w", a.workspace, ctx.Err())
		case <-a.holder.options.Clock.After(closePoll):
		}
	}
}

// closePoll is the interval of looking whether a grant is returned.
const closePoll = 2 * time.Millisecond
