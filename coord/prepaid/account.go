package prepaid

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// account is a holder's state of one workspace. At any moment, spent + open
// is at most granted, and the table's grant row has at least granted.
type account struct {
	holder    *Holder
	workspace string

	mu      sync.Mutex // guards all below; never held over a call
	granted int64
	spent   int64
	open    int64
	// leaving is set aside for a return whose outcome is not known.
	leaving int64
	waiters []*waiter
	// busy is set while one goroutine changes the grant.
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

	use rate
	// request is a running mean of the tokens of a reservation.
	request float64

	// The rows as last seen; they belong to the goroutine that is busy.
	total, own         rowstore.Row
	totalSeen, ownSeen bool
	totalNow           totalRow
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	result chan error // receives once, buffered
}

func newAccount(h *Holder, workspace string) *account {
	a := &account{holder: h, workspace: workspace}
	a.total.Key = rowstore.Key{Table: Table, Part: workspace, Name: totalName}
	a.own.Key = rowstore.Key{Table: Table, Part: workspace, Name: grantPrefix + h.options.Incarnation}
	a.use = newRate(h.options.Clock.Now())
	return a
}

func (a *account) availableLocked() int64 { return a.granted - a.spent - a.open - a.leaving }

func (a *account) now() time.Time { return a.holder.options.Clock.Now() }

// requestWeight is the weight of a new request in the mean size.
const requestWeight = 0.2

// reserve takes tokens, or waits for them in order of arrival.
func (a *account) reserve(ctx context.Context, tokens int64) error {
	a.checkLimit()
	a.mu.Lock()
	now := a.now()
	a.use.add(now, tokens)
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
	if a.away && now.Sub(a.awaySince) > a.holder.options.Settings.WaitMax {
		defer a.mu.Unlock()
		a.wakeLocked()
		return ErrUnavailable
	}
	w := &waiter{tokens: tokens, result: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	a.wakeLocked()
	a.mu.Unlock()
	return a.wait(ctx, w)
}

func (a *account) wait(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return a.giveUp(w, ctx.Err())
	case <-a.holder.options.Clock.After(a.holder.options.Settings.WaitMax):
		return a.giveUp(w, nil)
	}
}

// giveUp takes a waiter out of the queue. One that was served meanwhile keeps
// its tokens unless its caller is gone.
func (a *account) giveUp(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
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
	if cause != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, cause)
	}
	return ErrUnavailable
}

func (a *account) settle(reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open -= reserved
	a.spent += used
	a.use.add(a.now(), used-reserved)
	a.serveLocked()
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

// check looks for surplus.
func (a *account) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked()
}

// wakeLocked starts the goroutine of changes if there is one to make.
func (a *account) wakeLocked() {
	if a.busy || a.holder.ctx.Err() != nil {
		return
	}
	if a.planLocked() != nil {
		a.busy = a.holder.spawn(a.work)
	}
}

// targetLocked is the stock that the grant should have.
func (a *account) targetLocked() int64 {
	if !a.totalSeen {
		return 0 // how much is left is not known yet
	}
	s := a.holder.options.Settings
	byUse := a.use.perSecond(a.now()) * s.Horizon.Seconds()
	rest := float64(a.lastLimit - a.totalNow.Granted)
	byRest := s.RestShare * max(rest, 0) / float64(max(a.totalNow.Open, 1))
	return int64(math.Min(byUse, byRest))
}

// plan is a change of the grant.
type plan struct {
	// draw is the number of tokens to draw, and negative for a return.
	draw int64
	// least is what the draw must give for the first waiter.
	least int64
}

// planLocked returns the change that is due, or nil.
func (a *account) planLocked() *plan {
	s := a.holder.options.Settings
	available := a.availableLocked()
	if a.recall {
		return &plan{draw: -max(available, 0)}
	}
	if a.holder.closing.Load() {
		return nil
	}
	target := a.targetLocked()
	if len(a.waiters) > 0 {
		all := int64(0)
		for _, w := range a.waiters {
			all += w.tokens
		}
		return &plan{draw: max(all+target-available, 1), least: max(a.waiters[0].tokens-available, 1)}
	}
	ahead := target - available
	if float64(available) < s.LowWater*float64(target) && float64(ahead) >= a.request {
		return &plan{draw: ahead}
	}
	if a.totalSeen && available > 0 && float64(available) > s.Surplus*float64(max(target, 1)) && a.use.quiet(a.now(), s.Horizon) {
		return &plan{draw: target - available}
	}
	return nil
}

var errShort = errors.New("too few tokens unspent")

// work makes changes until none is due.
func (a *account) work() {
	for {
		a.mu.Lock()
		p := a.planLocked()
		if p == nil || a.holder.ctx.Err() != nil {
			a.busy = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		err := a.change(p)
		if err == nil {
			continue
		}
		if !a.failed(p, err) {
			return
		}
	}
}

// failed handles a change that did not happen and tells whether to go on.
func (a *account) failed(p *plan, err error) bool {
	h := a.holder
	a.mu.Lock()
	if errors.Is(err, errShort) {
		reason := a.shortReason(err)
		if len(a.waiters) > 0 {
			size := a.waiters[0].tokens
			a.short, a.shortErr = size, reason
			a.shortUntil = a.now().Add(h.options.Settings.ShortFor)
			a.refuseLocked(size, reason)
			a.mu.Unlock()
			return true
		}
		a.busy = false
		a.mu.Unlock()
		return false
	}
	h.stats.Failures.Add(1)
	if !a.away {
		a.away, a.awaySince = true, a.now()
		h.options.Log.Warn("draws wait for the store", "workspace", a.workspace, "err", err)
	}
	if a.now().Sub(a.awaySince) > h.options.Settings.WaitMax {
		a.refuseLocked(0, ErrUnavailable)
	}
	pause := min(h.options.Settings.RetryAfter<<min(a.failures, maxDoublings), maxRetryPause)
	a.failures++
	a.mu.Unlock()
	select {
	case <-h.options.Clock.After(pause/2 + rand.N(pause/2)):
		return true
	case <-h.ctx.Done():
		a.mu.Lock()
		a.busy = false
		a.mu.Unlock()
		return false
	}
}

// maxRetryPause bounds the pause between calls of a store that does not
// answer; maxDoublings keeps its computation in range.
const (
	maxRetryPause = 800 * time.Millisecond
	maxDoublings  = 4
)

// shortReason returns the error for waiters.
func (a *account) shortReason(err error) error {
	if errors.Is(err, ErrBusy) {
		return ErrBusy
	}
	if errors.Is(err, ErrUnlimited) {
		return ErrUnlimited
	}
	return ErrExhausted
}

// close returns the whole grant.
func (a *account) close(ctx context.Context) error {
	a.mu.Lock()
	a.refuseLocked(0, ErrClosed)
	a.recall = true
	a.wakeLocked()
	a.mu.Unlock()
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
