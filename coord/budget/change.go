package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// pendingChange is a change of a grant that was sent and whose outcome may be
// unknown.
type pendingChange struct {
	// txn performs the change. newGrant is the grant row after it, and closed
	// means that it deletes the row.
	txn      platform.Txn
	newGrant grantRow
	closed   bool
	drawn    int64 // tokens added to the grant; negative if tokens were returned
	// conflicted is set once the platform has reported a conflict: the
	// transaction cannot be applied any more, and the grant row shows whether
	// it was applied before.
	conflicted bool
}

// lockChanges acquires changeLock; unlock releases it. It fails with
// ErrUnavailable if ctx ends first.
func (a *account) lockChanges(ctx context.Context) (unlock func(), err error) {
	select {
	case a.changeLock <- struct{}{}:
		return func() { <-a.changeLock }, nil
	case <-ctx.Done():
		return nil, a.unavailable(ctx.Err())
	}
}

// change applies step to the grant and its source row in one transaction.
// step may run several times, each time on rows that were just read; it
// returns an error to abort the change.
func (a *account) change(ctx context.Context, step func(budget, source *sourceRow, g *grantRow) error) error {
	unlock, err := a.lockChanges(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	return a.changeHoldingLock(ctx, step)
}

// changeHoldingLock is change for a caller that has acquired changeLock. If the
// outcome of the previous change is unknown, it is determined first. On
// ErrUnavailable the change may still be applied later and stays pending if
// its outcome is unknown.
func (a *account) changeHoldingLock(ctx context.Context, step func(budget, source *sourceRow, g *grantRow) error) error {
	ctx, cancel := context.WithTimeout(ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	for {
		if err := a.resendPending(ctx); err != nil {
			return a.unavailable(err)
		}
		rows, err := a.readGrantRows(ctx)
		if err != nil {
			return err
		}
		if a.pending != nil {
			a.resolvePending(rows.grant)
		}
		next, err := a.prepare(rows, step)
		if err != nil {
			return err
		}
		a.pending = next
		err = commit(ctx, a.holder.options.Table, next.txn)
		switch platform.KindOf(err) {
		case platform.KindConflict:
			next.conflicted = true
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

// unavailable wraps err as ErrUnavailable.
func (a *account) unavailable(err error) error {
	return fmt.Errorf("change grant at platform: %w: %w", ErrUnavailable, err)
}

// resendPending sends the pending change again, with the same operation id,
// to learn its outcome. A conflict leaves it to resolvePending.
func (a *account) resendPending(ctx context.Context) error {
	if a.pending == nil || a.pending.conflicted {
		return nil
	}
	err := commit(ctx, a.holder.options.Table, a.pending.txn)
	switch {
	case err == nil:
		a.apply(a.pending)
	case platform.IsConflict(err):
		a.pending.conflicted = true
	default:
		return err
	}
	return nil
}

// resolvePending decides from the grant row whether a change that can no
// longer be applied was applied, and clears the pending change.
func (a *account) resolvePending(grantTableRow platform.Row) {
	current, err := decode[grantRow](grantTableRow)
	change := a.pending
	if err == nil && (current.LastOpID == change.txn.OpID || change.closed && grantTableRow.Version == 0) {
		a.apply(change)
		return
	}
	a.pending = nil
}

// apply updates the account after a change was applied in the table.
func (a *account) apply(p *pendingChange) {
	a.mu.Lock()
	a.grantTokens = p.newGrant.Tokens
	if p.drawn < 0 {
		a.returning = 0
	}
	if p.closed {
		a.grantTokens = 0
		a.settled -= p.newGrant.Settled
	}
	a.serveWaitersLocked()
	a.mu.Unlock()
	a.pending = nil
	a.recordChange(p)
}

// recordChange counts a change and records its event.
func (a *account) recordChange(p *pendingChange) {
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

// prepare applies step to the rows as read and builds the transaction that
// writes them. A grant without unspent tokens is closed: its row is deleted
// and its settled tokens move to the source row.
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
	grant.Settled, grant.LastCounted = a.settled, a.lastCounted
	a.mu.Unlock()
	tokensBefore := grant.Tokens
	grant.Holder, grant.Source, grant.LastOpID = a.holder.self.ID.String(), rows.source.Key, uuid.NewString()
	if err := step(&budget, &source, &grant); err != nil {
		return nil, err
	}
	p := &pendingChange{newGrant: grant, drawn: grant.Tokens - tokensBefore, closed: grant.Tokens == grant.Settled}
	write := putRow(rows.grant.Key, grant)
	if rows.grant.Version == 0 {
		source.OpenGrants++
	}
	if p.closed {
		write = platform.Write{Key: rows.grant.Key, Delete: true}
		source.Settled += grant.Settled
		source.OpenGrants--
	}
	p.txn = platform.Txn{
		OpID:   grant.LastOpID,
		Conds:  []platform.Cond{unchanged(rows.source), unchanged(rows.grant), {Key: fenceKey(a.holder.self.ID.Incarnation)}},
		Writes: []platform.Write{putRow(rows.source.Key, source), write},
	}
	return p, nil
}
