package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// maxConflicts bounds the tries of one change against other holders.
const maxConflicts = 40

// conflictPause is the mean pause after a conflict, an open grant; it spreads
// holders that draw at the same time.
const conflictPause = 500 * time.Microsecond

// change applies a plan in one transaction. The outcome of a transaction whose
// answer was lost shows in the own row, which only this holder writes: the
// next transaction expects the versions that it knew, and a conflict tells the
// present ones. Until then the grant counts as the smaller of both outcomes.
func (a *account) change(p *plan) error {
	for range maxConflicts {
		p, err := a.confirm(p)
		if err != nil || p == nil {
			return err
		}
		tx, apply, err := a.prepare(p)
		if err != nil || tx == nil {
			return err
		}
		ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
		result, err := a.holder.options.Store.Commit(ctx, *tx)
		cancel()
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			a.holder.noteStoreTime(result.Now)
			apply(result.Version)
			a.regained()
			return nil
		case errors.As(err, &conflict):
			a.holder.stats.Conflicts.Add(1)
			if err := a.adopt(conflict.Row(a.total.Key), conflict.Row(a.own.Key)); err != nil {
				return err
			}
			a.regained()
			a.pause()
		default:
			return fmt.Errorf("change the grant of %s: %w", a.workspace, err)
		}
		a.mu.Lock()
		p = a.planLocked()
		a.mu.Unlock()
		if p == nil {
			return nil
		}
	}
	return fmt.Errorf("change the grant of %s: %d conflicts: %w", a.workspace, maxConflicts, ErrUnavailable)
}

func (a *account) pause() {
	longest := conflictPause * time.Duration(2*max(a.totalNow.Open, 1))
	select {
	case <-a.holder.options.Clock.After(rand.N(longest)):
	case <-a.holder.ctx.Done():
	}
}

// regained notes that the store answers.
func (a *account) regained() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.away {
		a.holder.options.Log.Info("draws reach the store again", "workspace", a.workspace,
			"away_ms", a.now().Sub(a.awaySince).Milliseconds())
	}
	a.away, a.failures = false, 0
}

// adopt takes over the rows as the store has them. The own row tells what this
// holder was granted, whatever became of transactions whose answers were lost.
func (a *account) adopt(total, own rowstore.Row) error {
	var totalNow totalRow
	if err := decode(total, &totalNow); err != nil {
		return err
	}
	var grant grantRow
	if err := decode(own, &grant); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total, a.own, a.totalNow = total, own, totalNow
	a.totalSeen, a.ownSeen = true, true
	a.granted, a.leaving = grant.Granted, 0
	a.serveLocked()
	return nil
}

// read reads the rows of the workspace.
func (a *account) read() (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	snap, err := a.holder.options.Store.Read(ctx, Table, a.workspace)
	if err != nil {
		return snap, fmt.Errorf("read the grants of %s: %w", a.workspace, err)
	}
	total, own := rowstore.Row{Key: a.total.Key}, rowstore.Row{Key: a.own.Key}
	for _, row := range snap.Rows {
		switch row.Key {
		case a.total.Key:
			total = row
		case a.own.Key:
			own = row
		}
	}
	return snap, a.adopt(total, own)
}

// prepare computes the transaction of a plan, and what to do once it is
// applied. It returns no transaction if there is nothing to write.
func (a *account) prepare(p *plan) (*rowstore.Tx, func(version int64), error) {
	limit, ok := a.limit()
	if !ok && p.draw > 0 {
		return nil, nil, fmt.Errorf("%w: %w", errShort, ErrUnlimited)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	draw := p.draw
	if draw > 0 {
		draw = min(draw, limit.Tokens-a.totalNow.Granted)
		if draw <= 0 || draw < p.least {
			return nil, nil, errShort
		}
	} else {
		draw = -min(-draw, max(a.availableLocked(), 0))
	}
	if draw == 0 && !a.recall {
		return nil, nil, nil
	}
	if draw == 0 && a.own.Version == 0 {
		a.recall = false
		return nil, nil, nil
	}
	total := a.totalNow
	total.Granted += draw
	if ok {
		total.Limit, total.Revision = limit.Tokens, limit.Revision
	}
	grant := grantRow{Granted: a.granted + draw, Spent: a.spent, StoreMs: a.holder.storeMs()}
	tx := &rowstore.Tx{Expect: []rowstore.Expect{{Key: a.total.Key, Version: a.total.Version}, {Key: a.own.Key, Version: a.own.Version}}}
	closed := a.holder.closing.Load() && a.open == 0 && a.recall
	if a.own.Version == 0 {
		total.Open++
	}
	if closed {
		total.Open--
		tx.Remove = []rowstore.Key{a.own.Key}
	} else {
		tx.Put = append(tx.Put, rowstore.Put{Key: a.own.Key, Value: encode(grant)})
	}
	tx.Put = append(tx.Put, rowstore.Put{Key: a.total.Key, Value: encode(total)})
	if draw < 0 {
		a.leaving = -draw
	}
	return tx, func(version int64) { a.applied(draw, total, grant, version, closed) }, nil
}

// applied takes over a transaction that the store has.
func (a *account) applied(draw int64, total totalRow, grant grantRow, version int64, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.totalNow, a.totalSeen = total, true
	a.total.Version, a.own.Version = version, version
	a.granted, a.leaving = grant.Granted, 0
	if closed {
		// What was spent stays in the total; the grant starts anew.
		a.own.Version, a.granted, a.spent = 0, a.open, 0
	}
	if draw > 0 {
		a.holder.stats.Draws.Add(1)
	} else {
		a.recall = a.recall && a.availableLocked() > 0
		a.holder.stats.Returns.Add(1)
	}
	a.holder.options.Log.Debug("grant changed", "workspace", a.workspace, "drawn", draw,
		"granted", a.granted, "spent", a.spent, "open", a.open, "total_granted", total.Granted, "version", version)
	a.serveLocked()
}

// deadAfter is the age of a grant's last write after which its holder counts
// as dead when a refusal is worded; holders that live and serve write more
// often than that.
const deadAfter = 15 * time.Second

// limit is the newest limit that this process or the store knows.
func (a *account) limit() (Limit, bool) {
	limit, ok := a.holder.options.Limit(a.workspace)
	if a.totalNow.Revision > limit.Revision {
		return Limit{Tokens: a.totalNow.Limit, Revision: a.totalNow.Revision}, true
	}
	return limit, ok
}

// confirm reads the rows before a waiter is refused on rows that may be out of
// date, and returns the plan as it is then. The error tells whether tokens that
// others hold may come back.
func (a *account) confirm(p *plan) (*plan, error) {
	limit, ok := a.limit()
	if !ok || p.least == 0 || !a.totalSeen || limit.Tokens-a.totalNow.Granted >= p.least {
		return p, nil
	}
	snap, err := a.read()
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	p = a.planLocked()
	a.mu.Unlock()
	limit, _ = a.limit()
	rest := limit.Tokens - a.totalNow.Granted
	if p == nil || p.least == 0 || rest >= p.least {
		return p, nil
	}
	held := a.heldByOthers(snap.Rows)
	a.holder.options.Log.Info("workspace is short of tokens", "workspace", a.workspace,
		"wanted", p.least, "unspent", rest, "held_by_others", held, "limit", limit.Tokens, "store_version", snap.Version)
	if rest+held >= p.least {
		return nil, fmt.Errorf("%w: %w", errShort, ErrBusy)
	}
	return nil, errShort
}

// heldByOthers is what grants of holders that seem to live have not spent.
func (a *account) heldByOthers(rows []rowstore.Row) int64 {
	now, held := a.holder.storeMs(), int64(0)
	for _, row := range rows {
		if row.Key == a.own.Key || row.Key == a.total.Key {
			continue
		}
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			a.holder.options.Log.Error("grant row is unreadable", "row", row.Key.String(), "err", err)
			continue
		}
		if now-grant.StoreMs < deadAfter.Milliseconds() {
			held += grant.Granted - grant.Spent
		}
	}
	return held
}

// decode reads a row's JSON; an absent row leaves v as it is.
func decode(row rowstore.Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}

// encode writes a row's JSON; the row types always encode.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return value
}
