package budget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// pendingChange is a change of a grant whose outcome is not known yet.
type pendingChange struct {
	txn    platform.Txn
	after  grantRow
	closed bool
	drawn  int64 // tokens; negative when returned
	// ended is set once the service said that the transaction can no longer
	// be applied; the row then tells whether it was.
	ended bool
}

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
	a.busy = a.holder.spawn(a.work)
}

// work does the jobs that are asked for, one at a time, until none is left.
func (a *account) work() {
	for {
		a.mu.Lock()
		todo := a.jobs
		a.jobs = jobs{draw: todo.draw && (todo.close || todo.recall > 0)}
		if !todo.draw && !todo.close && todo.recall == 0 || a.holder.ctx.Err() != nil {
			a.busy = false
			a.mu.Unlock()
			tell(todo.done, a.holder.ctx.Err())
			return
		}
		a.mu.Unlock()
		switch {
		case todo.close:
			tell(todo.done, a.giveBack(-1))
		case todo.recall > 0:
			tell(todo.done, a.giveBack(todo.recall))
		default:
			a.draw()
		}
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
	needless := wait > 0 && len(a.waiters) == 0
	a.mu.Unlock()
	if needless {
		return
	}
	if clock.Sleep(a.holder.ctx, a.holder.options.Clock, wait) != nil {
		return
	}
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
		a.retryAt = now.Add(a.holder.options.Settings.RetryAfter)
		a.refuseLocked(err, now)
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
	return a.change(func(budget, source *sourceRow, g *grantRow) error {
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
		byRest := int64(lean.RestShare * float64(rest) / float64(max(source.Open, 1)))
		byHeld := max(few, int64(lean.HeldShare*float64(budget.Paid))-(a.tokens-a.settled))
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

// giveBack returns up to limit tokens that are available; a negative limit
// closes the grant.
func (a *account) giveBack(limit int64) error {
	err := a.change(func(_, source *sourceRow, g *grantRow) error {
		a.mu.Lock()
		defer a.mu.Unlock()
		if limit < 0 && (a.open > 0 || a.unwritten > 0 || len(a.waiters) > 0) {
			return errInUse
		}
		a.leaving = 0
		amount := max(0, a.availableLocked())
		if limit >= 0 {
			amount = min(amount, limit)
		}
		if g.Tokens == 0 || limit >= 0 && amount == 0 {
			return errNothing
		}
		a.leaving = amount
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
		return nil
	}
	return err
}

// change applies step to the grant and its source in one transaction. One
// whose reply was lost is settled first. Only the goroutine of the jobs calls
// it.
func (a *account) change(step func(budget, source *sourceRow, g *grantRow) error) error {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	for {
		if err := a.resend(ctx); err != nil {
			return a.unavailable(err)
		}
		rows, err := a.read(ctx)
		if err != nil {
			return err
		}
		if a.pending != nil {
			a.readBack(rows.grant)
		}
		next, err := a.prepare(rows, step)
		if err != nil {
			return err
		}
		a.pending = next
		err = commit(ctx, a.holder.options.Table, next.txn)
		switch platform.KindOf(err) {
		case platform.KindConflict:
			next.ended = true
			a.holder.stats.Conflicts.Add(1)
			continue
		case platform.KindUnknown:
			return a.unavailable(err)
		}
		if err != nil {
			a.pending = nil
			return a.unavailable(err)
		}
		a.apply(next)
		return nil
	}
}

func (a *account) unavailable(err error) error {
	return fmt.Errorf("change grant at platform: %w: %w", ErrUnavailable, err)
}

// resend settles a pending change by sending it again.
func (a *account) resend(ctx context.Context) error {
	if a.pending == nil || a.pending.ended {
		return nil
	}
	err := commit(ctx, a.holder.options.Table, a.pending.txn)
	switch {
	case err == nil:
		a.apply(a.pending)
	case platform.IsConflict(err):
		a.pending.ended = true
	default:
		return err
	}
	return nil
}

// readBack tells from the row whether a change that has ended was applied.
func (a *account) readBack(row platform.Row) {
	now, err := decode[grantRow](row)
	p := a.pending
	if err == nil && (now.Op == p.txn.OpID || p.closed && row.Version == 0) {
		a.apply(p)
		return
	}
	a.pending = nil
}

// apply takes over a change that the table has.
func (a *account) apply(p *pendingChange) {
	a.mu.Lock()
	a.tokens = p.after.Tokens
	if p.drawn < 0 {
		a.leaving = 0
	}
	if p.closed {
		a.tokens = 0
		a.settled -= p.after.Settled
	}
	a.serveLocked()
	a.mu.Unlock()
	a.pending = nil
	a.report(p)
}

func (a *account) report(p *pendingChange) {
	stats, req := &a.holder.stats, Request{Account: a.name}
	if p.drawn > 0 {
		stats.Draws.Add(1)
		stats.DrawnTokens.Add(p.drawn)
		a.holder.record(event.GrantDrawn, req, p.drawn, "")
		return
	}
	stats.Returns.Add(1)
	stats.ReturnedTokens.Add(-p.drawn)
	a.holder.record(event.GrantReturned, req, -p.drawn, "")
}

// prepare computes the transaction of a change.
func (a *account) prepare(rows grantRows, step func(budget, source *sourceRow, g *grantRow) error) (*pendingChange, error) {
	budget, err := decode[sourceRow](rows.budget)
	if err != nil {
		return nil, err
	}
	source, err := decode[sourceRow](rows.source)
	if err != nil {
		return nil, err
	}
	grant, err := decode[grantRow](rows.grant)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	grant.Settled, grant.Folded = a.settled, a.folded
	a.mu.Unlock()
	before := grant.Tokens
	grant.Holder, grant.Source, grant.Op = a.holder.self.ID.String(), rows.source.Key, uuid.NewString()
	if err := step(&budget, &source, &grant); err != nil {
		return nil, err
	}
	p := &pendingChange{after: grant, drawn: grant.Tokens - before, closed: grant.Tokens == grant.Settled}
	write := put(rows.grant.Key, grant)
	if rows.grant.Version == 0 {
		source.Open++
	}
	if p.closed {
		write = platform.Write{Key: rows.grant.Key, Delete: true}
		source.Settled += grant.Settled
		source.Open--
	}
	p.txn = platform.Txn{
		OpID:   grant.Op,
		Conds:  []platform.Cond{at(rows.source), at(rows.grant), {Key: fenceKey(a.holder.self.ID.Incarnation)}},
		Writes: []platform.Write{put(rows.source.Key, source), write},
	}
	return p, nil
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
		if clock.Sleep(ctx, a.holder.options.Clock, a.holder.options.Settings.RetryAfter) != nil {
			return err
		}
	}
}
