package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// pendingChange is a change of a grant whose outcome is not known yet.
type pendingChange struct {
	txn      platform.Txn
	newGrant grantRow
	closed   bool
	drawn    int64 // tokens; negative when returned
	// ended is set once the service said that the transaction can no longer
	// be applied; the row then tells whether it was.
	notPending bool
}

// hold takes the token of changes; the result gives it back.
func (a *account) lockChanges(ctx context.Context) (release func(), err error) {
	select {
	case a.changeLock <- struct{}{}:
		return func() { <-a.changeLock }, nil
	case <-ctx.Done():
		return nil, a.unavailable(ctx.Err())
	}
}

// change applies step to the grant and its source in one transaction.
func (a *account) change(ctx context.Context, step func(budget, source *sourceRow, g *grantRow) error) error {
	unlock, err := a.lockChanges(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	return a.changeLocked(ctx, step)
}

// changeHeld is change for a holder of the token. A change whose reply was
// lost is settled first.
func (a *account) changeLocked(ctx context.Context, step func(budget, source *sourceRow, g *grantRow) error) error {
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
			next.notPending = true
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
func (a *account) resendPending(ctx context.Context) error {
	if a.pending == nil || a.pending.notPending {
		return nil
	}
	err := commit(ctx, a.holder.options.Table, a.pending.txn)
	switch {
	case err == nil:
		a.apply(a.pending)
	case platform.IsConflict(err):
		a.pending.notPending = true
	default:
		return err
	}
	return nil
}

// readBack tells from the row whether a change that has ended was applied.
func (a *account) resolvePending(grantAt platform.Row) {
	now, err := decode[grantRow](grantAt)
	change := a.pending
	if err == nil && (now.LastOpID == change.txn.OpID || change.closed && grantAt.Version == 0) {
		a.apply(change)
		return
	}
	a.pending = nil
}

// apply takes over a change that the table has.
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
