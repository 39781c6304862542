package budget

import (
	"context"
	"errors"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// errNothingToChange means that a draw ahead of need would move too few
// tokens to be worth a write, or that there is nothing to return.
var errNothingToChange = errors.New("nothing to change")

// errGrantInUse means that a grant is not closed because it has open
// reservations, unwritten bills or waiters.
var errGrantInUse = errors.New("grant in use")

// errShortage means that the source row has fewer tokens than a waiter needs.
var errShortage = errors.New("too few tokens unspent")

// startLocked starts the goroutine that executes the jobs, unless it is
// already running or the holder has stopped.
func (a *account) startLocked() {
	if a.working || a.holder.ctx.Err() != nil {
		return
	}
	a.working = a.holder.running.Go(a.runJobs)
}

// runJobs executes the requested jobs, one at a time, until none remains or
// the holder stops. If both are requested, the close is executed first.
func (a *account) runJobs() {
	for {
		a.mu.Lock()
		todo := a.jobs
		a.jobs = jobs{draw: todo.draw && todo.close}
		if !todo.draw && !todo.close || a.holder.ctx.Err() != nil {
			a.working = false
			a.mu.Unlock()
			notifyAll(todo.closeResults, a.holder.ctx.Err())
			return
		}
		a.mu.Unlock()
		if !todo.close {
			a.draw()
			continue
		}
		_, err := a.returnTokens(a.holder.ctx, -1)
		notifyAll(todo.closeResults, err)
	}
}

// notifyAll sends err on all channels, which are buffered.
func notifyAll(results []chan error, err error) {
	for _, ch := range results {
		ch <- err
	}
}

// draw enlarges the grant for the waiters and up to the target headroom. If
// it fails, it refuses the waiters that it cannot serve.
func (a *account) draw() {
	a.mu.Lock()
	wait := a.nextDrawAt.Sub(a.holder.options.Clock.Now())
	// A draw ahead of need by a holder that is closing would take tokens that
	// nobody returns.
	skip := (wait > 0 || a.holder.closing.Load()) && len(a.waiters) == 0
	a.mu.Unlock()
	if skip {
		return
	}
	if clock.Sleep(a.holder.ctx, a.holder.options.Clock, wait) != nil {
		return
	}
	a.mu.Lock()
	lastWaiter := a.lastWaiter
	a.mu.Unlock()
	err := a.tryDraw()
	if errors.Is(err, errShortage) {
		err = a.recall(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.lastDrawErr = nil
		a.serveWaitersLocked()
	case errors.Is(err, errNothingToChange):
		a.nextPrefetchAt = a.holder.options.Clock.Now().Add(prefetchBackoff)
		a.serveWaitersLocked()
	default:
		a.holder.stats.DrawFailures.Add(1)
		now := a.holder.options.Clock.Now()
		a.nextDrawAt = now.Add(a.holder.options.Settings.RetryBackoff)
		a.refuseWaitersLocked(err, now, lastWaiter)
		a.jobs.draw = a.jobs.draw || len(a.waiters) > 0
	}
}

// exhaustedBackoff is how long requests of the same size or more are refused
// without another draw after a budget was found exhausted.
const exhaustedBackoff = 2 * time.Second

// prefetchBackoff is the wait after a draw ahead of need that found too few
// tokens.
const prefetchBackoff = 5 * time.Second

// minDrawRequests is the number of requests of mean size that a draw ahead of
// need must cover to be worth a write.
const minDrawRequests = 2

// tryDraw draws tokens from the source row in one change. It returns
// errShortage if the source has too few tokens for the first waiter and
// errNothingToChange if nobody waits and the draw would be too small.
func (a *account) tryDraw() error {
	policy := a.holder.grantPolicy(a.name.Workspace)
	return a.change(a.holder.ctx, func(budget, source *sourceRow, g *grantRow) error {
		a.mu.Lock()
		defer a.mu.Unlock()
		shortage, firstShortage := a.shortageLocked()
		target := a.targetHeadroomLocked(a.holder.options.Clock.Now())
		minDraw := int64(minDrawRequests * a.meanRequest)
		sourceUnspent := source.unspent()
		refill := int64(0)
		if g.Source != budgetKey(a.name) {
			refill = defaultRefill(budget)
			sourceUnspent = max(sourceUnspent, refill)
		}
		maxByUnspent := int64(policy.MaxDrawShare * float64(sourceUnspent) / float64(max(source.OpenGrants, 1)))
		maxByGrant := max(minDraw, int64(policy.MaxGrantShare*float64(budget.Paid))) - (a.grantTokens - a.settled)
		amount := min(target-a.availableLocked(), maxByUnspent, maxByGrant)
		if firstShortage == 0 && amount < minDraw {
			return errNothingToChange
		}
		if amount > source.unspent() && refill >= minDraw {
			return errShortage // the share row is refilled first
		}
		amount = min(max(amount, shortage), source.unspent())
		if amount < firstShortage || amount <= 0 {
			return errShortage
		}
		g.Tokens += amount
		source.Granted += amount
		return nil
	})
}

// shortageLocked returns the tokens that all waiters lack together, and those
// that the first one lacks.
func (a *account) shortageLocked() (all, first int64) {
	for i, w := range a.waiters {
		all += w.tokens
		if i == 0 {
			first = max(0, w.tokens-a.availableLocked())
		}
	}
	return max(0, all-a.availableLocked()), first
}

// returnTokens returns up to limit available tokens to the source row and
// reports how many. A negative limit closes the grant, which fails with
// errGrantInUse while the grant is in use.
func (a *account) returnTokens(ctx context.Context, limit int64) (int64, error) {
	unlock, err := a.lockChanges(ctx)
	if err != nil {
		return 0, err
	}
	defer unlock()
	var returned int64
	err = a.changeHoldingLock(ctx, func(_, source *sourceRow, g *grantRow) error {
		a.mu.Lock()
		defer a.mu.Unlock()
		if limit < 0 && (a.reserved > 0 || a.unwritten > 0 || len(a.waiters) > 0) {
			return errGrantInUse
		}
		a.returning, returned = 0, 0
		amount := max(0, a.availableLocked())
		if limit >= 0 {
			amount = min(amount, limit)
		}
		if g.Tokens == 0 || limit >= 0 && amount == 0 {
			return errNothingToChange
		}
		a.returning, returned = amount, amount
		g.Tokens -= amount
		source.Returned += amount
		return nil
	})
	if a.pending == nil {
		a.mu.Lock()
		a.returning = 0
		a.serveWaitersLocked()
		a.mu.Unlock()
	}
	if errors.Is(err, errNothingToChange) {
		return 0, nil
	}
	return returned, err
}

// close closes the grant and returns its unspent tokens. It retries until it
// succeeds, ctx ends or the holder is fenced.
func (a *account) close(ctx context.Context) error {
	for {
		if a.holder.fenced.Load() {
			return ErrFenced
		}
		result := make(chan error, 1)
		a.mu.Lock()
		a.jobs.close = true
		a.jobs.closeResults = append(a.jobs.closeResults, result)
		a.startLocked()
		a.mu.Unlock()
		var err error
		select {
		case err = <-result:
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
