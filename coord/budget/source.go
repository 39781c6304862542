package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// grantRows are the rows that a change of a grant reads. source is the
// budget's row or the share row of the holder's failure domain.
type grantRows struct {
	budget, source, grant platform.Row
}

// readGrantRows reads the rows for a change of the grant. It returns
// ErrFenced if the incarnation is fenced and ErrNotFound if the budget does
// not exist.
func (a *account) readGrantRows(ctx context.Context) (grantRows, error) {
	self := a.holder.self
	rows, err := a.holder.options.Table.Get(ctx,
		budgetKey(a.name), shareKey(a.name, self.Domain), grantKey(a.name, self.ID.Incarnation), fenceKey(self.ID.Incarnation))
	if err != nil {
		return grantRows{}, a.unavailable(err)
	}
	if rows[3].Version > 0 { // an operator has resolved this holder's grants
		a.holder.fenced.Store(true)
		return grantRows{}, fmt.Errorf("change grant: %w: %w", ErrUnavailable, ErrFenced)
	}
	if rows[0].Version == 0 {
		return grantRows{}, fmt.Errorf("draw grant: %w", ErrNotFound)
	}
	rowsRead := grantRows{budget: rows[0], source: rows[0], grant: rows[2]}
	share, err := a.drawsOnShareRow(rows[0], rows[2])
	if share {
		rowsRead.source = rows[1]
	}
	return rowsRead, err
}

// drawsOnShareRow decides from which row the grant is drawn: an open grant
// keeps its source row, and a new one uses the share row once the budget's
// row has ShareRowThreshold open grants. A holder without a failure domain
// always uses the budget's row.
func (a *account) drawsOnShareRow(budgetTableRow, grantTableRow platform.Row) (bool, error) {
	if grantTableRow.Version > 0 {
		grant, err := decode[grantRow](grantTableRow)
		return grant.Source != budgetTableRow.Key, err
	}
	row, err := decode[sourceRow](budgetTableRow)
	return a.holder.self.Domain != "" && row.OpenGrants >= a.holder.options.Settings.ShareRowThreshold, err
}

// refillShare is the fraction of the budget's unspent tokens that one refill
// moves to a share row.
const refillShare = 1.0 / 32

// defaultRefill returns the tokens that a refill moves if no waiter needs
// more.
func defaultRefill(budget *sourceRow) int64 { return int64(refillShare * float64(budget.unspent())) }

// refill moves tokens from the budget's row to the share row: at least needed
// tokens, if the budget has so many. It reports whether the account draws on a
// share row and a transfer was attempted.
func (a *account) refill(ctx context.Context, needed int64) (bool, error) {
	rows, err := a.readGrantRows(ctx)
	if err != nil || rows.source.Key == rows.budget.Key {
		return false, err
	}
	budget, err := decode[sourceRow](rows.budget)
	if err != nil {
		return false, err
	}
	share, err := decode[sourceRow](rows.source)
	if err != nil {
		return false, err
	}
	amount := min(budget.unspent(), max(needed, defaultRefill(&budget)))
	if amount <= 0 {
		return false, nil
	}
	budget.Granted += amount
	share.Paid += amount
	return a.moveTokens(ctx, rows.budget, budget, rows.source, share)
}

// reclaimShares moves the unspent tokens of other failure domains' share rows
// back to the budget's row and reports whether it attempted a transfer.
func (a *account) reclaimShares(ctx context.Context) (bool, error) {
	localKey := shareKey(a.name, a.holder.self.Domain)
	prefix := shareKey(a.name, "")
	shares, err := readAll(ctx, a.holder.options.Table, prefix, prefix)
	if err != nil {
		return false, err
	}
	moved := false
	for _, row := range shares {
		share, err := decode[sourceRow](row)
		if err != nil {
			return moved, err
		}
		if share.unspent() <= 0 || row.Key == localKey {
			continue
		}
		rows, err := a.holder.options.Table.Get(ctx, budgetKey(a.name))
		if err != nil {
			return moved, err
		}
		budget, err := decode[sourceRow](rows[0])
		if err != nil {
			return moved, err
		}
		budget.Returned += share.unspent()
		share.Paid -= share.unspent()
		ok, err := a.moveTokens(ctx, rows[0], budget, row, share)
		if err != nil {
			return moved, err
		}
		moved = moved || ok
	}
	return moved, nil
}

// moveTokens writes a budget's row and a share row in one transaction. An
// unknown outcome need not be resolved: the two rows always account for all
// tokens. It also reports true after a conflict, since another holder moved
// tokens and the caller should read the rows again.
func (a *account) moveTokens(ctx context.Context, budgetTableRow platform.Row, budget sourceRow, shareTableRow platform.Row, share sourceRow) (bool, error) {
	err := commit(ctx, a.holder.options.Table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{unchanged(budgetTableRow), unchanged(shareTableRow)},
		Writes: []platform.Write{putRow(budgetTableRow.Key, budget), putRow(shareTableRow.Key, share)},
	})
	if platform.IsConflict(err) {
		a.holder.stats.Conflicts.Add(1)
		return true, nil // another holder changed the rows; read them again
	}
	return err == nil, err
}
