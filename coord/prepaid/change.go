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

// maxConflicts bounds the attempts of one plan that fail because other holders
// write the total at the same time.
const maxConflicts = 40

// conflictBackoffPerGrant is the mean backoff after a conflict, per open grant. It
// spreads holders that write at the same time.
const conflictBackoffPerGrant = 300 * time.Microsecond

// maxConflictBackoff bounds the mean backoff after a conflict with many open grants.
const maxConflictBackoff = 150 * time.Millisecond

// applyPlan brings the grant to a plan in one transaction. If the rows are unknown
// or must be read again, it only reads them; writeLoop then makes a new plan.
//
// If the response to a transaction is lost, the stored grant row, which only this
// holder writes, shows the outcome: the next transaction expects the versions known
// before, and a conflict returns the current ones. Until then the grant counts as
// the smaller of both outcomes.
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
			a.backOffConflict() // the rows returned by the first conflict are recent enough to retry at once
		}
		a.mu.Lock()
		p = a.planLocked()
		a.mu.Unlock()
	}
	return fmt.Errorf("write grant of %s: gave up after %d conflicts: %w", a.workspace, maxConflicts, ErrUnavailable)
}

// errConflict reports that the rows were not as expected. The account has been
// updated with the current ones.
var errConflict = errors.New("rows changed")

// commit sends a transaction, and calls apply with its version if it was applied.
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
	return fmt.Errorf("write grant of %s: %w", a.workspace, err)
}

// baseExpectations is the number of rows that a transaction expects apart from
// orphaned grants: the total and this holder's grant.
const baseExpectations = 2

// updateFromConflict updates the account with the current rows that a conflict
// returns. Rows that the transaction did not expect are not among them and stay as
// they are known.
func (a *account) updateFromConflict(tx *rowstore.Tx, conflict *rowstore.ConflictError) error {
	storedGrant := conflict.Row(a.storedGrant.Key)
	for _, e := range tx.Expect {
		if e.Key == a.storedTotal.Key {
			orphans := a.orphanedGrants
			if len(tx.Expect) > baseExpectations {
				orphans = currentRows(conflict, orphans)
			}
			return a.updateRows(conflict.Row(a.storedTotal.Key), storedGrant, orphans)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.updateGrantLocked(storedGrant)
}

// currentRows returns the current versions of rows from a conflict, without removed
// rows.
func currentRows(conflict *rowstore.ConflictError, rows []rowstore.Row) []rowstore.Row {
	var current []rowstore.Row
	for _, row := range rows {
		if row = conflict.Row(row.Key); row.Version != 0 {
			current = append(current, row)
		}
	}
	return current
}

const (
	// writeSpreadPerHolder is the time, per holder, over which holders that observe
	// the same change at the same moment spread their writes. It is several times
	// the duration of a transaction, since a partition executes one at a time.
	// maxWriteSpread bounds the spread.
	writeSpreadPerHolder = 8 * time.Millisecond
	maxWriteSpread       = time.Second
)

// spreadWrite waits for a random time before a write that other holders make, too.
func (a *account) spreadWrite() {
	maxDelay := min(writeSpreadPerHolder*time.Duration(a.holder.holderCount(a.workspace)), maxWriteSpread)
	select {
	case <-a.holder.options.Clock.After(rand.N(maxDelay)):
	case <-a.holder.ctx.Done():
	}
}

// backOffConflict waits for a random time after a conflict.
func (a *account) backOffConflict() {
	maxDelay := min(conflictBackoffPerGrant*time.Duration(2*max(a.total.OpenGrants, 1)), maxConflictBackoff)
	select {
	case <-a.holder.options.Clock.After(rand.N(maxDelay)):
	case <-a.holder.ctx.Done():
	}
}

// storeReached records that the store has responded.
func (a *account) storeReached() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable {
		a.holder.options.Log.Info("store reachable again, grant writes resume", "workspace", a.workspace,
			"away_ms", a.now().Sub(a.unreachableSince).Milliseconds())
	}
	a.unreachable, a.failures = false, 0
}

// updateRows updates the account with rows read from the store. The stored grant
// row says what this holder was granted, whatever the outcome of transactions whose
// responses were lost.
func (a *account) updateRows(storedTotal, storedGrant rowstore.Row, orphans []rowstore.Row) error {
	var total totalRow
	if err := decode(storedTotal, &total); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.storedTotal, a.total, a.orphanedGrants = storedTotal, total, orphans
	a.totalRead, a.rereadRows, a.reclaiming = true, false, false
	return a.updateGrantLocked(storedGrant)
}

// updateGrantLocked updates the account with the stored row of its grant, and drops
// pending writes that it supersedes.
func (a *account) updateGrantLocked(storedGrant rowstore.Row) error {
	var grant grantRow
	if err := decode(storedGrant, &grant); err != nil {
		return err
	}
	if storedGrant.Version == 0 && a.storedGrant.Version != 0 {
		a.spent = 0 // the grant was closed; the total includes what was spent
	}
	a.storedGrant = storedGrant
	a.granted, a.activated, a.unlockRate, a.reportedSpent = grant.Granted, grant.Activated, grant.UnlockRate, grant.Spent
	a.storedInUse, a.reportUse = grant.InUse, a.reportUse && grant.InUse != a.inUseLocked()
	a.dropSupersededLocked()
	a.serveWaitersLocked()
	return nil
}

// readRows reads all rows of the workspace and updates the account with them.
func (a *account) readRows() (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	snap, err := a.holder.options.Store.Read(ctx, ledgerTable, a.workspace)
	if err != nil {
		return snap, fmt.Errorf("read grants of %s: %w", a.workspace, err)
	}
	a.holder.heartbeat.observeStoreClock(snap.Now)
	storedTotal, storedGrant := rowstore.Row{Key: a.storedTotal.Key}, rowstore.Row{Key: a.storedGrant.Key}
	var orphans []rowstore.Row
	for _, row := range snap.Rows {
		switch {
		case row.Key == a.storedTotal.Key:
			storedTotal = row
		case row.Key == a.storedGrant.Key:
			storedGrant = row
		case a.predecessorOf(row) != "":
			orphans = append(orphans, row)
		}
	}
	err = a.updateRows(storedTotal, storedGrant, orphans)
	a.storeReached()
	return snap, err
}

// predecessorOf returns the incarnation of the dead process on this VM that the
// grant row belongs to, or "" if it is no such row.
func (a *account) predecessorOf(row rowstore.Row) string {
	incarnation, found := strings.CutPrefix(row.Key.Name, grantPrefix+a.holder.options.VM+"/")
	if !found || incarnation == a.holder.options.Incarnation {
		return ""
	}
	return incarnation
}

// prepareTx returns the transaction of a plan and a function to call with its
// version once it is applied. It returns errShortage if the total has too few
// tokens, the workspace has no limit or there is nothing to write.
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
	grant.UnlockRate = a.holder.options.Settings.UnlockFactor * a.usage.perSecond(a.now())
	grant.Activated = max(min(p.activated, grant.Granted), inUse)
	drawn = grant.Granted - a.granted
	if drawn == 0 && !p.due || drawn == 0 && grant.Activated == a.activated && !a.reportUse && len(tx.Remove) == 0 && a.storedGrant.Version != 0 && !a.returnAll && len(a.pendingWrites) == 0 {
		return nil, nil, errShortage // no tokens can be drawn and nothing else is to be written
	}
	if a.storedGrant.Version == 0 && a.returnAll && grant.Granted == 0 {
		a.returnAll = false // there is no grant to return
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

// prepareGrantOnly returns a transaction that leaves the total unchanged, so that
// it cannot conflict with writes of other holders.
func (a *account) prepareGrantOnly(grant grantRow) (*rowstore.Tx, func(version int64), error) {
	grant.Spent = a.reportedSpent // the total does not include more than that
	tx := &rowstore.Tx{
		Expect: []rowstore.Expect{{Key: a.storedGrant.Key, Version: a.storedGrant.Version}},
		Put:    []rowstore.Put{{Key: a.storedGrant.Key, Value: encode(grant)}},
	}
	a.addPendingWriteLocked(grant, false)
	return tx, func(version int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.storedGrant.Version, a.activated, a.unlockRate = version, grant.Activated, grant.UnlockRate
		a.storedInUse, a.reportUse = grant.InUse, false
		a.dropSupersededLocked()
		a.holder.stats.Writes.Add(1)
		a.serveWaitersLocked()
	}, nil
}

// reclaimOrphans adds to a transaction the return of the tokens in orphaned grants
// that the predecessors cannot have spent, and the removal of these grants.
func (a *account) reclaimOrphans(tx *rowstore.Tx, total *totalRow) error {
	for _, row := range a.orphanedGrants {
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			return err
		}
		maxSpent := grant.Activated + a.holder.heartbeat.unlockedToPredecessor(a.predecessorOf(row), grant.Granted-grant.Activated, grant.UnlockRate)
		total.Granted -= grant.Granted - maxSpent
		total.Spent += max(maxSpent-grant.Spent, 0)
		total.OpenGrants--
		tx.Expect = append(tx.Expect, rowstore.Expect{Key: row.Key, Version: row.Version})
		tx.Remove = append(tx.Remove, row.Key)
	}
	return nil
}

// txApplied updates the account after its transaction was applied at version.
// reclaimed is the number of orphaned grants in it; closed says that it removed
// this holder's grant.
func (a *account) txApplied(total totalRow, grant grantRow, version int64, reclaimed int, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	drawn := grant.Granted - a.granted
	if reclaimed > 0 {
		a.holder.stats.Reclaims.Add(int64(reclaimed))
		a.holder.options.Log.Info("orphaned grants of predecessors reclaimed", "workspace", a.workspace, "grants", reclaimed,
			"came_back", a.total.Granted+drawn-total.Granted, "version", version)
	}
	if reclaimed > 0 {
		a.orphanedGrants = nil
	}
	a.total, a.storedTotal.Version, a.storedGrant.Version = total, version, version
	a.granted, a.activated, a.unlockRate, a.reportedSpent = grant.Granted, grant.Activated, grant.UnlockRate, grant.Spent
	a.storedInUse, a.reportUse = grant.InUse, false
	a.dropSupersededLocked()
	if closed {
		// The total keeps what was spent; a later grant starts from zero.
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

// newestLimit returns the limit with the greater revision of those that this
// process and the stored total have.
func (a *account) newestLimit() (Limit, bool) {
	limit, ok := a.holder.options.Limit(a.workspace)
	if a.total.Revision > limit.Revision {
		return Limit{Tokens: a.total.Limit, Revision: a.total.Revision}, true
	}
	return limit, ok
}

// decode decodes a row's JSON into v. An absent row leaves v unchanged.
func decode(row rowstore.Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}

// encode returns a row's JSON. It panics on an error, which the row types cannot
// cause.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return value
}
