package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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
	restored := a.totalRead && a.readEra != a.holder.eras.observe()
	// While the store was unreachable, it can have been restored.
	mustRead, mustSpread := !a.totalRead || a.rereadRows || restored || a.unreachable, (a.rereadRows || restored) && len(a.waiters) == 0
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
	era := a.holder.eras.observe()
	var conflict *rowstore.ConflictError
	switch {
	case err == nil && (result.Era != a.readEra || era != a.readEra):
		// The write is lost, or its expectations held for other rows than those known.
		return a.readAfterConflict()
	case err == nil:
		a.holder.heartbeat.observeStoreClock(result.Now)
		a.holder.heartbeat.observeResponseTime(a.now().Sub(started))
		apply(result.Version)
		a.mu.Lock()
		a.writtenAt = started
		a.mu.Unlock()
		a.storeReached()
		return nil
	case errors.As(err, &conflict):
		a.holder.stats.Conflicts.Add(1)
		a.mu.Lock()
		mustRead := conflict.Era != a.readEra || era != a.readEra || a.unconfirmedLocked()
		a.mu.Unlock()
		if mustRead {
			return a.readAfterConflict()
		}
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

// readAfterConflict reads the rows again, since those of a conflict do not suffice, and
// returns errConflict.
func (a *account) readAfterConflict() error {
	if _, err := a.readRows(); err != nil {
		return err
	}
	return errConflict
}

// baseExpectations is the number of rows that a transaction expects apart from
// orphaned grants: the total, this holder's grant and the mark of the next era.
const baseExpectations = 3

// updateFromConflict updates the account with the current rows that a conflict
// returns. Rows that the transaction did not expect are not among them and stay as
// they are known.
func (a *account) updateFromConflict(tx *rowstore.Tx, conflict *rowstore.ConflictError) error {
	storedGrant := conflict.Row(a.storedGrant.Key)
	a.mu.Lock()
	a.dropChangedLostLocked(func(key rowstore.Key) int64 {
		if !slices.ContainsFunc(tx.Expect, func(e rowstore.Expect) bool { return e.Key == key }) {
			return versionUnknown
		}
		return conflict.Row(key).Version
	})
	a.mu.Unlock()
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
// rows. Those that the transaction did not expect stay as they are.
func currentRows(conflict *rowstore.ConflictError, rows []rowstore.Row) []rowstore.Row {
	var current []rowstore.Row
	for _, row := range rows {
		expected := slices.ContainsFunc(conflict.Rows, func(r rowstore.Row) bool { return r.Key == row.Key })
		if expected {
			row = conflict.Row(row.Key)
		}
		if row.Version != 0 {
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
	a.boundOrphansLocked()
	return a.updateGrantLocked(storedGrant)
}

// updateGrantLocked updates the account with the stored row of its grant, and drops
// pending writes that it supersedes.
func (a *account) updateGrantLocked(storedGrant rowstore.Row) error {
	var grant grantRow
	if err := decode(storedGrant, &grant); err != nil {
		return err
	}
	if a.restoresGrantLocked() {
		a.keepGrantLocked(storedGrant, grant)
		return nil
	}
	if storedGrant.Version == 0 && a.storedGrant.Version != 0 {
		a.spent = 0 // the grant was closed; the total includes what was spent
	}
	a.storedGrant = storedGrant
	a.granted, a.activated, a.unlockRate, a.reportedSpent = grant.Granted, grant.Activated, grant.UnlockRate, grant.Spent
	a.rowSeq, a.rowReplicas = grant.Seq, grant.Replicas
	a.storedGranted, a.grantEra, a.seq = grant.Granted, a.readEra, max(a.seq, grant.Seq)
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
	if snap.Era < a.holder.eras.observe() {
		return snap, fmt.Errorf("read grants of %s: response of an earlier era: %w", a.workspace, rowstore.ErrUnavailable)
	}
	a.holder.heartbeat.observeStoreClock(snap.Now)
	storedTotal, storedGrant := rowstore.Row{Key: a.storedTotal.Key}, rowstore.Row{Key: a.storedGrant.Key}
	var orphans, foreign []rowstore.Row
	for _, row := range snap.Rows {
		if row.Key != a.storedGrant.Key && strings.HasPrefix(row.Key.Name, grantPrefix) {
			foreign = append(foreign, row)
		}
		switch {
		case row.Key == a.storedTotal.Key:
			storedTotal = row
		case row.Key == a.storedGrant.Key:
			storedGrant = row
		case a.predecessorOf(row) != "":
			orphans = append(orphans, row)
		}
	}
	a.mu.Lock()
	a.readEra, a.markedEra = snap.Era, newestMark(snap.Rows)
	a.mu.Unlock()
	err = a.updateRows(storedTotal, storedGrant, orphans)
	a.mu.Lock()
	a.foreignRows = nil
	if a.unconfirmedLocked() {
		a.foreignRows = foreign
	}
	a.dropChangedLostLocked(func(key rowstore.Key) int64 { return rowOf(snap.Rows, key).Version })
	a.mu.Unlock()
	a.holder.noteGrants(a.workspace, foreign)
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
