package budget

import (
	"context"
	"errors"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// errNothing: a draw ahead of need found too little to be worth a write.
var errNothing = errors.New("nothing to change")

// errInUse: a grant with open work is not closed.
var errInUse = errors.New("grant in use")

// errShort: the source has less than a waiter needs.
var errShort = errors.New("too few tokens unspent")

// startLocked starts the goroutine of the jobs.
func (a *account) startLocked() {
	if a.busy || a.holder.ctx.Err() != nil {
		return
	}
	a.busy = a.holder.running.Go(a.work)
}

// work does the jobs that are asked for, one at a time, until none is left.
func (a *account) work() {
	for {
		a.mu.Lock()
		todo := a.jobs
		a.jobs = jobs{draw: todo.draw && todo.close}
		if !todo.draw && !todo.close || a.holder.ctx.Err() != nil {
			a.busy = false
			a.mu.Unlock()
			tell(todo.done, a.holder.ctx.Err())
			return
		}
		a.mu.Unlock()
		if !todo.close {
			a.draw()
			continue
		}
		_, err := a.giveBack(a.holder.ctx, -1)
		tell(todo.done, err)
	}
}

func tell(all []chan error, err error) {
	for _, ch := range all {
		ch <- err
	}
}

// draw enlarges the grant for those who wait and for the target.
func (a *account) draw() {
	a.mu.Lock()
	wait := a.retryAt.Sub(a.holder.options.Clock.Now())
	// A draw ahead of need that a holder in its planned stop still has to do
	// would hold tokens that nobody returns.
	needless := (wait > 0 || a.holder.closing.Load()) && len(a.waiters) == 0
	a.mu.Unlock()
	if needless {
		return
	}
	if clock.Sleep(a.holder.ctx, a.holder.options.Clock, wait) != nil {
		return
	}
	a.mu.Lock()
	joined := a.joined
	a.mu.Unlock()
	err := a.tryDraw()
	if errors.Is(err, errShort) {
		err = a.recall(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.reason = nil
		a.serveLocked()
	case errors.Is(err, errNothing):
		a.prefetchAt = a.holder.options.Clock.Now().Add(prefetchPause)
		a.serveLocked()
	default:
		a.holder.stats.DrawFailures.Add(1)
		now := a.holder.options.Clock.Now()
		a.retryAt = now.Add(a.holder.options.Settings.RetryBackoff)
		a.refuseLocked(err, now, joined)
		a.jobs.draw = a.jobs.draw || len(a.waiters) > 0
	}
}

// exhaustedPause is how long an exhausted budget is not looked at again for a
// request of the same size or more.
const exhaustedPause = 2 * time.Second

// prefetchPause is the pause after a draw ahead of need that found little.
const prefetchPause = 5 * time.Second

// minDrawRequests is the least number of requests that a draw ahead of need
// covers.
const minDrawRequests = 2

// tryDraw draws once.
func (a *account) tryDraw() error {
	lean := a.holder.lean(a.name.Workspace)
	return a.change(a.holder.ctx, func(budget, source *sourceRow, g *grantRow) error {
		a.mu.Lock()
		defer a.mu.Unlock()
		short, least := a.shortLocked()
		target := a.targetLocked(a.holder.options.Clock.Now())
		few := int64(minDrawRequests * a.request)
		rest := source.unspent()
		refill := int64(0)
		if g.Source != budgetKey(a.name) {
			refill = refillOf(budget)
			rest = max(rest, refill)
		}
		byRest := int64(lean.MaxDrawShare * float64(rest) / float64(max(source.Open, 1)))
		byHeld := max(few, int64(lean.MaxGrantShare*float64(budget.Paid))) - (a.tokens - a.settled)
		amount := min(target-a.availableLocked(), byRest, byHeld)
		if least == 0 && amount < few {
			return errNothing
		}
		if amount > source.unspent() && refill >= few {
			return errShort // worth a refill of the share row
		}
		amount = min(max(amount, short), source.unspent())
		if amount < least || amount <= 0 {
			return errShort
		}
		g.Tokens += amount
		source.Granted += amount
		return nil
	})
}

// shortLocked is what all waiters lack, and what the first one lacks.
func (a *account) shortLocked() (all, first int64) {
	for i, w := range a.waiters {
		all += w.tokens
		if i == 0 {
			first = max(0, w.tokens-a.availableLocked())
		}
	}
	return max(0, all-a.availableLocked()), first
}

// giveBack returns up to limit tokens that are available, and says how many;
// a negative limit closes the grant.
func (a *account) giveBack(ctx context.Context, limit int64) (int64, error) {
	release, err := a.hold(ctx)
	if err != nil {
		return 0, err
	}
	defer release()
	var returned int64
	err = a.changeHeld(ctx, func(_, source *sourceRow, g *grantRow) error {
		a.mu.Lock()
		defer a.mu.Unlock()
		if limit < 0 && (a.open > 0 || a.unwritten > 0 || len(a.waiters) > 0) {
			return errInUse
		}
		a.leaving, returned = 0, 0
		amount := max(0, a.availableLocked())
		if limit >= 0 {
			amount = min(amount, limit)
		}
		if g.Tokens == 0 || limit >= 0 && amount == 0 {
			return errNothing
		}
		a.leaving, returned = amount, amount
		g.Tokens -= amount
		source.Returned += amount
		return nil
	})
	if a.pending == nil {
		a.mu.Lock()
		a.leaving = 0
		a.serveLocked()
		a.mu.Unlock()
	}
	if errors.Is(err, errNothing) {
		return 0, nil
	}
	return returned, err
}

// close returns the whole grant.
func (a *account) close(ctx context.Context) error {
	for {
		if a.holder.fenced.Load() {
			return ErrFenced
		}
		done := make(chan error, 1)
		a.mu.Lock()
		a.jobs.close = true
		a.jobs.done = append(a.jobs.done, done)
		a.startLocked()
		a.mu.Unlock()
		var err error
		select {
		case err = <-done:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrFenced) {
			return err
		}
		if clock.Sleep(ctx, a.holder.options.Clock, a.holder.options.Settings.RetryBackoff) != nil {
			return err
		}
	}
}
