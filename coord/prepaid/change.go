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
const conflictPause = 300 * time.Microsecond

// maxConflictPause bounds it.
const maxConflictPause = 150 * time.Millisecond

// change brings the grant to a plan in one transaction. The outcome of a
// transaction whose answer was lost shows in the own row, which only this holder
// writes: the next transaction expects the versions that it knew, and a conflict
// tells the present ones. Until then the grant counts as the smaller of both
// outcomes.
func (a *account) change(p *plan) error {
	a.mu.Lock()
	read, spread := !a.totalSeen || a.reread, a.reread && len(a.waiters) == 0
	a.mu.Unlock()
	if spread {
		a.spread()
	}
	if read {
		_, err := a.read()
		return err
	}
	asked := 0
	for try := range maxConflicts {
		if p == nil {
			return nil
		}
		tx, apply, err := a.prepare(p)
		if errors.Is(err, errShort) {
			p, err = a.confirmShort(err, &asked)
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
		if try > 0 {
			a.pause() // the rows that the first conflict told are new enough
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
		a.holder.presence.note(result.Now)
		a.holder.presence.answered(a.now().Sub(started))
		apply(result.Version)
		a.regained()
		return nil
	case errors.As(err, &conflict):
		a.holder.stats.Conflicts.Add(1)
		if err := a.adoptConflict(tx, conflict); err != nil {
			return err
		}
		a.regained()
		return errConflict
	case errors.Is(err, rowstore.ErrUnavailable):
		a.refused()
	}
	return fmt.Errorf("change the grant of %s: %w", a.workspace, err)
}

// ownExpectations is the number of rows that a transaction expects beside grants of
// predecessors: the total and the own grant.
const ownExpectations = 2

// adoptConflict takes over the rows that a transaction expected. What it did not
// expect is not in the conflict and stays as it is known.
func (a *account) adoptConflict(tx *rowstore.Tx, conflict *rowstore.ConflictError) error {
	own := conflict.Row(a.own.Key)
	for _, e := range tx.Expect {
		if e.Key == a.total.Key {
			left := a.left
			if len(tx.Expect) > ownExpectations {
				left = present(conflict, left)
			}
			return a.adopt(conflict.Row(a.total.Key), own, left)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.adoptOwnLocked(own)
}

// present returns the rows as they are now, without those that are gone.
func present(conflict *rowstore.ConflictError, rows []rowstore.Row) []rowstore.Row {
	var now []rowstore.Row
	for _, row := range rows {
		if row = conflict.Row(row.Key); row.Version != 0 {
			now = append(now, row)
		}
	}
	return now
}

// spreadPause is the time, a holder, over which holders that learn the same at
// the same moment spread their writes: some times that of a transaction, of which
// a partition does one at a time. maxSpread bounds it.
const (
	spreadPause = 8 * time.Millisecond
	maxSpread   = time.Second
)

func (a *account) spread() {
	longest := min(spreadPause*time.Duration(max(a.holder.HolderCount(), 1)), maxSpread)
	select {
	case <-a.holder.options.Clock.After(rand.N(longest)):
	case <-a.holder.ctx.Done():
	}
}

func (a *account) pause() {
	longest := min(conflictPause*time.Duration(2*max(a.totalNow.Open, 1)), maxConflictPause)
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
		a.holder.options.Log.Info("writes reach the store again", "workspace", a.workspace,
			"away_ms", a.now().Sub(a.awaySince).Milliseconds())
	}
	a.away, a.failures = false, 0
}

// adopt takes over the rows as the store has them. The own row tells what this
// holder was granted, whatever became of transactions whose answers were lost.
func (a *account) adopt(total, own rowstore.Row, left []rowstore.Row) error {
	var totalNow totalRow
	if err := decode(total, &totalNow); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total, a.totalNow, a.left = total, totalNow, left
	a.totalSeen, a.reread = true, false
	return a.adoptOwnLocked(own)
}

func (a *account) adoptOwnLocked(own rowstore.Row) error {
	var grant grantRow
	if err := decode(own, &grant); err != nil {
		return err
	}
	if own.Version == 0 && a.own.Version != 0 {
		a.spent = 0 // the grant was closed; the total keeps what was spent
	}
	a.own = own
	a.granted, a.cleared, a.reported = grant.Granted, grant.Cleared, grant.Spent
	a.settlePendingLocked()
	a.serveLocked()
	return nil
}

// read reads the rows of the workspace.
func (a *account) read() (rowstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	snap, err := a.holder.options.Store.Read(ctx, ledgerTable, a.workspace)
	if err != nil {
		return snap, fmt.Errorf("read the grants of %s: %w", a.workspace, err)
	}
	a.holder.presence.note(snap.Now)
	total, own := rowstore.Row{Key: a.total.Key}, rowstore.Row{Key: a.own.Key}
	var left []rowstore.Row
	for _, row := range snap.Rows {
		switch {
		case row.Key == a.total.Key:
			total = row
		case row.Key == a.own.Key:
			own = row
		case a.predecessor(row) != "":
			left = append(left, row)
		}
	}
	err = a.adopt(total, own, left)
	a.regained()
	return snap, err
}

// predecessor returns the incarnation of a dead process on this VM whose grant
// the row is, or "".
func (a *account) predecessor(row rowstore.Row) string {
	incarnation, found := strings.CutPrefix(row.Key.Name, grantPrefix+a.holder.options.VM+"/")
	if !found || incarnation == a.holder.options.Incarnation {
		return ""
	}
	return incarnation
}

// prepare computes the transaction of a plan, and what to do once it is
// applied. It returns no transaction if there is nothing to write.
func (a *account) prepare(p *plan) (*rowstore.Tx, func(version int64), error) {
	limit, ok := a.limit()
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.totalNow
	tx := &rowstore.Tx{Expect: []rowstore.Expect{{Key: a.total.Key, Version: a.total.Version}, {Key: a.own.Key, Version: a.own.Version}}}
	if a.leftKnown() {
		if err := a.reclaim(tx, &total); err != nil {
			return nil, nil, err
		}
	}
	reclaimed := len(tx.Remove)
	inUse := a.inUseLocked()
	draw := p.granted - a.granted
	if draw > 0 {
		if !ok {
			return nil, nil, fmt.Errorf("%w: %w", errShort, ErrUnlimited)
		}
		draw = max(min(draw, limit.Tokens-total.Granted), 0)
		if a.granted+draw < inUse+p.first {
			return nil, nil, errShort
		}
	}
	grant := grantRow{Granted: max(a.granted+draw, inUse), Spent: a.spent, Used: inUse, StoreMs: a.holder.presence.storeMs()}
	grant.Cleared = max(min(p.cleared, grant.Granted), inUse)
	draw = grant.Granted - a.granted
	if draw == 0 && !p.due || draw == 0 && grant.Cleared == a.cleared && len(tx.Remove) == 0 && a.own.Version != 0 && !a.recall && len(a.pending) == 0 {
		return nil, nil, errShort // nothing can be had
	}
	if a.own.Version == 0 && a.recall && grant.Granted == 0 {
		a.recall = false
		return nil, nil, errShort
	}
	if draw == 0 && a.own.Version != 0 && len(tx.Remove) == 0 && !a.recall {
		return a.prepareOwn(grant)
	}
	total.Granted += draw
	total.Spent += a.spent - a.reported
	total.Recent, total.RecentMs = total.recent(grant.StoreMs)+float64(a.spent-a.reported), grant.StoreMs
	if ok {
		total.Limit, total.Revision = limit.Tokens, limit.Revision
	}
	closed := a.holder.closing.Load() && a.open == 0 && a.recall
	if a.own.Version == 0 {
		total.Open++
	}
	if closed {
		total.Open--
		tx.Remove = append(tx.Remove, a.own.Key)
	} else {
		tx.Put = append(tx.Put, rowstore.Put{Key: a.own.Key, Value: encode(grant)})
	}
	tx.Put = append(tx.Put, rowstore.Put{Key: a.total.Key, Value: encode(total)})
	a.addPendingLocked(grant, true)
	return tx, func(version int64) { a.applied(total, grant, version, reclaimed, closed) }, nil
}

// prepareOwn computes a transaction that leaves the total as it is, which no
// other holder can be in the way of.
func (a *account) prepareOwn(grant grantRow) (*rowstore.Tx, func(version int64), error) {
	grant.Spent = a.reported
	tx := &rowstore.Tx{
		Expect: []rowstore.Expect{{Key: a.own.Key, Version: a.own.Version}},
		Put:    []rowstore.Put{{Key: a.own.Key, Value: encode(grant)}},
	}
	a.addPendingLocked(grant, false)
	return tx, func(version int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.own.Version, a.cleared = version, grant.Cleared
		a.settlePendingLocked()
		a.holder.stats.Writes.Add(1)
		a.serveLocked()
	}, nil
}

// reclaim adds the return of what predecessors had not cleared.
func (a *account) reclaim(tx *rowstore.Tx, total *totalRow) error {
	for _, row := range a.left {
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			return err
		}
		spent := grant.Cleared + a.holder.presence.releasedBefore(a.predecessor(row), grant.Granted-grant.Cleared)
		total.Granted -= grant.Granted - spent
		total.Spent += max(spent-grant.Spent, 0)
		total.Open--
		tx.Expect = append(tx.Expect, rowstore.Expect{Key: row.Key, Version: row.Version})
		tx.Remove = append(tx.Remove, row.Key)
	}
	return nil
}

// applied takes over a transaction that the store has.
func (a *account) applied(total totalRow, grant grantRow, version int64, reclaimed int, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	drawn := grant.Granted - a.granted
	if reclaimed > 0 {
		a.holder.stats.Reclaims.Add(int64(reclaimed))
		a.holder.options.Log.Info("grants of predecessors taken up", "workspace", a.workspace, "grants", reclaimed,
			"came_back", a.totalNow.Granted+drawn-total.Granted, "version", version)
	}
	if reclaimed > 0 {
		a.left = nil
	}
	a.totalNow, a.total.Version, a.own.Version = total, version, version
	a.granted, a.cleared, a.reported = grant.Granted, grant.Cleared, grant.Spent
	a.settlePendingLocked()
	if closed {
		// What was spent stays in the total; the grant starts anew.
		a.own.Version, a.granted, a.cleared, a.spent, a.reported = 0, 0, 0, 0, 0
	}
	a.recall = a.recall && a.granted > a.inUseLocked()
	a.holder.stats.Writes.Add(1)
	level := slog.LevelDebug
	if drawn != 0 {
		level = slog.LevelInfo
	}
	a.holder.options.Log.Log(context.Background(), level, "grant changed", "workspace", a.workspace, "drawn", drawn, "granted", a.granted,
		"cleared", a.cleared, "spent", a.spent, "open", a.open, "total_granted", total.Granted, "limit", total.Limit, "version", version)
	a.serveLocked()
}

// limit is the newest limit that this process or the store knows.
func (a *account) limit() (Limit, bool) {
	limit, ok := a.holder.options.Limit(a.workspace)
	if a.totalNow.Revision > limit.Revision {
		return Limit{Tokens: a.totalNow.Limit, Revision: a.totalNow.Revision}, true
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
