package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// maxConflicts bounds the tries of one change against other holders.
const maxConflicts = 40

// conflictPause is the mean pause after a conflict, an open grant; it spreads
// holders that write at the same time.
const conflictBackoffPerGrant = 300 * time.Microsecond

// maxConflictPause bounds it.
const maxConflictBackoff = 150 * time.Millisecond

// change brings the grant to a plan in one transaction. The outcome of a
// transaction whose answer was lost shows in the own row, which only this holder
// writes: the next transaction expects the versions that it knew, and a conflict
// tells the present ones. Until then the grant counts as the smaller of both
// outcomes.
func (a *account) applyPlan(p *plan) error {
	a.mu.Lock()
	mustRead, mustSpread := !a.totalRead || a.rereadRows, a.rereadRows && len(a.waiters) == 0
	a.mu.Unlock()
	if mustSpread {
		a.spreadWrite()
	}
	if mustRead {
		_, err := a.readRows()
		return err
	}
	recalls := 0
	for attempt := range maxConflicts {
		if p == nil {
			return nil
		}
		tx, apply, err := a.prepareTx(p)
		if errors.Is(err, errShortage) {
			p, err = a.confirmShortage(err, &recalls)
		}
		if err != nil {
			return err
		}
		if tx == nil {
			continue
		}
		err = a.commit(tx, apply)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errConflict) {
			return err
		}
		if attempt > 0 {
			a.backOffConflict() // the rows that the first conflict told are new enough
		}
		a.mu.Lock()
		p = a.planLocked()
		a.mu.Unlock()
	}
	return fmt.Errorf("change the grant of %s: %d conflicts: %w", a.workspace, maxConflicts, ErrUnavailable)
}

// errConflict: the rows were not as expected and have been taken over.
var errConflict = errors.New("rows changed")

func (a *account) commit(tx *rowstore.Tx, apply func(version int64)) error {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	started := a.now()
	result, err := a.holder.options.Store.Commit(ctx, *tx)
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		a.holder.heartbeat.observeStoreClock(result.Now)
		a.holder.heartbeat.observeResponseTime(a.now().Sub(started))
		apply(result.Version)
		a.storeReached()
		return nil
	case errors.As(err, &conflict):
		a.holder.stats.Conflicts.Add(1)
		if err := a.updateFromConflict(tx, conflict); err != nil {
			return err
		}
		a.storeReached()
		return errConflict
	case errors.Is(err, rowstore.ErrUnavailable):
		a.dropLastPendingWrite()
	}
	return fmt.Errorf("change the grant of %s: %w", a.workspace, err)
}

// ownExpectations is the number of rows that a transaction expects beside grants of
// predecessors: the total and the own grant.
const baseExpectations = 2

// adoptConflict takes over the rows that a transaction expected. What it did not
// expect is not in the conflict and stays as it is known.
func (a *account) updateFromConflict(tx *rowstore.Tx, conflict *rowstore.ConflictError) error {
	grant := conflict.Row(a.storedGrant.Key)
	for _, e := range tx.Expect {
		if e.Key == a.storedTotal.Key {
			orphans := a.orphanedGrants
			if len(tx.Expect) > baseExpectations {
				orphans = currentRows(conflict, orphans)
			}
			return a.updateRows(conflict.Row(a.storedTotal.Key), grant, orphans)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.updateGrantLocked(grant)
}

// present returns the rows as they are now, without those that are gone.
func currentRows(conflict *rowstore.ConflictError, rows []rowstore.Row) []rowstore.Row {
	var current []rowstore.Row
	for _, row := range rows {
		if row = conflict.Row(row.Key); row.Version != 0 {
			current = append(current, row)
		}
	}
	return current
}

// spreadPause is the time, a holder, over which holders that learn the same at
// the same moment spread their writes: some times that of a transaction, of which
// a partition does one at a time. maxSpread bounds it.
const (
	writeSpreadPerHolder = 8 * time.Millisecond
	maxWriteSpread       = time.Second
)

func (a *account) spreadWrite() {
	maxDelay := min(writeSpreadPerHolder*time.Duration(max(a.holder.HolderCount(), 1)), maxWriteSpread)
	select {
	case <-a.holder.options.Clock.After(rand.N(maxDelay)):
	case <-a.holder.ctx.Done():
	}
}

func (a *account) backOffConflict() {
	maxDelay := min(conflictBackoffPerGrant*time.Duration(2*max(a.total.OpenGrants, 1)), maxConflictBackoff)
	select {
	case <-a.holder.options.Clock.After(rand.N(maxDelay)):
	case <-a.holder.ctx.Done():
	}
}

// regained notes that the store answers.
func (a *account) storeReached() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable {
		a.holder.options.Log.Info("writes reach the store again", "workspace", a.workspace,
			"away_ms", a.now().Sub(a.unreachableSince).Milliseconds())
	}
	a.unreachable, a.failures = false, 0
}

// adopt takes over the rows as the store has them. The own row tells what this
// holder was granted, whatever became of transactions whose answers were lost.
func (a *account) updateRows(storedTotal, grant rowstore.Row, orphans []rowstore.Row) error {
	var total totalRow
	if err := decode(storedTotal, &total); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.storedTotal, a.total, a.orphanedGrants = storedTotal, total, orphans
	a.totalRead, a.rereadRows = true, false
	return a.updateGrantLocked(grant)
}

func (a *account) updateGrantLocked(storedGrant rowstore.Row) error {
	var grant grantRow
	if err := decode(storedGrant, &grant); err != nil {
		return err
	}
	if storedGrant.Version == 0 && a.storedGrant.Version != 0 {
		a.spent = 0 // the grant was closed; the total keeps what was spent
	}
	a.storedGrant = storedGrant
	a.granted, a.activated, a.reportedSpent = grant.Granted, grant.Activated, grant.Spent
	a.dropSupersededLocked()
	a.serveWaitersLocked()
	return nil
}

// read reads the rows of the workspace.
func (a *account) readRows() (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	snap, err := a.holder.options.Store.Read(ctx, ledgerTable, a.workspace)
	if err != nil {
		return snap, fmt.Errorf("read the grants of %s: %w", a.workspace, err)
	}
	a.holder.heartbeat.observeStoreClock(snap.Now)
	total, grant := rowstore.Row{Key: a.storedTotal.Key}, rowstore.Row{Key: a.storedGrant.Key}
	var orphans []rowstore.Row
	for _, row := range snap.Rows {
		switch {
		case row.Key == a.storedTotal.Key:
			total = row
		case row.Key == a.storedGrant.Key:
			grant = row
		case a.predecessorOf(row) != "":
			orphans = append(orphans, row)
		}
	}
	err = a.updateRows(total, grant, orphans)
	a.storeReached()
	return snap, err
}

// predecessor returns the incarnation of a dead process on this VM whose grant
// the row is, or "".
func (a *account) predecessorOf(row rowstore.Row) string {
	incarnation, found := strings.CutPrefix(row.Key.Name, grantPrefix+a.holder.options.VM+"/")
	if !found || incarnation == a.holder.options.Incarnation {
		return ""
	}
	return incarnation
}

// prepare computes the transaction of a plan, and what to do once it is
// applied. It returns no transaction if there is nothing to write.
func (a *account) prepareTx(p *plan) (*rowstore.Tx, func(version int64), error) {
	limit, ok := a.newestLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.total
	tx := &rowstore.Tx{Expect: []rowstore.Expect{{Key: a.storedTotal.Key, Version: a.storedTotal.Version}, {Key: a.storedGrant.Key, Version: a.storedGrant.Version}}}
	if a.canReclaimLocked() {
		if err := a.reclaimOrphans(tx, &total); err != nil {
			return nil, nil, err
		}
	}
	reclaimed := len(tx.Remove)
	inUse := a.inUseLocked()
	drawn := p.granted - a.granted
	if drawn > 0 {
		if !ok {
			return nil, nil, fmt.Errorf("%w: %w", errShortage, ErrUnlimited)
		}
		drawn = max(min(drawn, limit.Tokens-total.Granted), 0)
		if a.granted+drawn < inUse+p.firstWaiter {
			return nil, nil, errShortage
		}
	}
	grant := grantRow{Granted: max(a.granted+drawn, inUse), Spent: a.spent, InUse: inUse, StoreMs: a.holder.heartbeat.storeMs()}
	grant.Activated = max(min(p.activated, grant.Granted), inUse)
	drawn = grant.Granted - a.granted
	if drawn == 0 && !p.due || drawn == 0 && grant.Activated == a.activated && len(tx.Remove) == 0 && a.storedGrant.Version != 0 && !a.returnAll && len(a.pendingWrites) == 0 {
		return nil, nil, errShortage // nothing can be had
	}
	if a.storedGrant.Version == 0 && a.returnAll && grant.Granted == 0 {
		a.returnAll = false
		return nil, nil, errShortage
	}
	if drawn == 0 && a.storedGrant.Version != 0 && len(tx.Remove) == 0 && !a.returnAll {
		return a.prepareGrantOnly(grant)
	}
	total.Granted += drawn
	total.Spent += a.spent - a.reportedSpent
	total.RecentSpent, total.RecentAsOfMs = total.recentSpentAt(grant.StoreMs)+float64(a.spent-a.reportedSpent), grant.StoreMs
	if ok {
		total.Limit, total.Revision = limit.Tokens, limit.Revision
	}
	closed := a.holder.closing.Load() && a.reserved == 0 && a.returnAll
	if a.storedGrant.Version == 0 {
		total.OpenGrants++
	}
	if closed {
		total.OpenGrants--
		tx.Remove = append(tx.Remove, a.storedGrant.Key)
	} else {
		tx.Put = append(tx.Put, rowstore.Put{Key: a.storedGrant.Key, Value: encode(grant)})
	}
	tx.Put = append(tx.Put, rowstore.Put{Key: a.storedTotal.Key, Value: encode(total)})
	a.addPendingWriteLocked(grant, true)
	return tx, func(version int64) { a.txApplied(total, grant, version, reclaimed, closed) }, nil
}

// prepareOwn computes a transaction that leaves the total as it is, which no
// other holder can be in the way of.
func (a *account) prepareGrantOnly(grant grantRow) (*rowstore.Tx, func(version int64), error) {
	grant.Spent = a.reportedSpent
	tx := &rowstore.Tx{
		Expect: []rowstore.Expect{{Key: a.storedGrant.Key, Version: a.storedGrant.Version}},
		Put:    []rowstore.Put{{Key: a.storedGrant.Key, Value: encode(grant)}},
	}
	a.addPendingWriteLocked(grant, false)
	return tx, func(version int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.storedGrant.Version, a.activated = version, grant.Activated
		a.dropSupersededLocked()
		a.holder.stats.Writes.Add(1)
		a.serveWaitersLocked()
	}, nil
}

// reclaim adds the return of what predecessors had not cleared.
func (a *account) reclaimOrphans(tx *rowstore.Tx, total *totalRow) error {
	for _, row := range a.orphanedGrants {
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			return err
		}
		maxSpent := grant.Activated + a.holder.heartbeat.unlockedToPredecessor(a.predecessorOf(row), grant.Granted-grant.Activated)
		total.Granted -= grant.Granted - maxSpent
		total.Spent += max(maxSpent-grant.Spent, 0)
		total.OpenGrants--
		tx.Expect = append(tx.Expect, rowstore.Expect{Key: row.Key, Version: row.Version})
		tx.Remove = append(tx.Remove, row.Key)
	}
	return nil
}

// applied takes over a transaction that the store has.
func (a *account) txApplied(total totalRow, grant grantRow, version int64, reclaimed int, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	drawn := grant.Granted - a.granted
	if reclaimed > 0 {
		a.holder.stats.Reclaims.Add(int64(reclaimed))
		a.holder.options.Log.Info("grants of predecessors taken up", "workspace", a.workspace, "grants", reclaimed,
			"came_back", a.total.Granted+drawn-total.Granted, "version", version)
	}
	if reclaimed > 0 {
		a.orphanedGrants = nil
	}
	a.total, a.storedTotal.Version, a.storedGrant.Version = total, version, version
	a.granted, a.activated, a.reportedSpent = grant.Granted, grant.Activated, grant.Spent
	a.dropSupersededLocked()
	if closed {
		// What was spent stays in the total; the grant starts anew.
		a.storedGrant.Version, a.granted, a.activated, a.spent, a.reportedSpent = 0, 0, 0, 0, 0
	}
	a.returnAll = a.returnAll && a.granted > a.inUseLocked()
	a.holder.stats.Writes.Add(1)
	level := slog.LevelDebug
	if drawn != 0 {
		level = slog.LevelInfo
	}
	a.holder.options.Log.Log(context.Background(), level, "grant changed", "workspace", a.workspace, "drawn", drawn, "granted", a.granted,
		"cleared", a.activated, "spent", a.spent, "open", a.reserved, "total_granted", total.Granted, "limit", total.Limit, "version", version)
	a.serveWaitersLocked()
}

// limit is the newest limit that this process or the store knows.
func (a *account) newestLimit() (Limit, bool) {
	limit, ok := a.holder.options.Limit(a.workspace)
	if a.total.Revision > limit.Revision {
		return Limit{Tokens: a.total.Limit, Revision: a.total.Revision}, true
	}
	return limit, ok
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
