package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// grantRows are the rows that a change of a grant reads. Source is the
// budget's row or the share row of the holder's failure domain.
type grantRows struct {
	budget, source, grant platform.Row
}

// read reads the rows of the grant.
func (a *account) read(ctx context.Context) (grantRows, error) {
	self := a.holder.self
	rows, err := a.holder.options.Table.Get(ctx,
		budgetKey(a.name), shareKey(a.name, self.Domain), grantKey(a.name, self.ID.Incarnation), fenceKey(self.ID.Incarnation))
	if err != nil {
		return grantRows{}, a.unavailable(err)
	}
	if rows[3].Version > 0 { // an operator has settled this holder's grants
		a.holder.fenced.Store(true)
		return grantRows{}, fmt.Errorf("change grant: %w: %w", ErrUnavailable, ErrFenced)
	}
	if rows[0].Version == 0 {
		return grantRows{}, fmt.Errorf("draw grant: %w", ErrNotFound)
	}
	read := grantRows{budget: rows[0], source: rows[0], grant: rows[2]}
	share, err := a.usesShare(rows[0], rows[2])
	if share {
		read.source = rows[1]
	}
	return read, err
}

// usesShare decides from which row the grant is drawn: an open grant keeps
// its row, a new one takes the share row once the budget's row has many.
func (a *account) usesShare(budgetAt, grantAt platform.Row) (bool, error) {
	if grantAt.Version > 0 {
		grant, err := decode[grantRow](grantAt)
		return grant.Source != budgetAt.Key, err
	}
	row, err := decode[sourceRow](budgetAt)
	return a.holder.self.Domain != "" && row.Open >= a.holder.options.Settings.ShareRowThreshold, err
}

// refillShare is the share of the budget's unspent tokens that one refill of a
// share row moves.
const refillShare = 1.0 / 32

// refillOf is what a refill moves when nobody needs more.
func refillOf(budget *sourceRow) int64 { return int64(refillShare * float64(budget.unspent())) }

// refill moves tokens from the budget's row to the share row, so that it has
// need unspent. It tells whether the account draws on a share row and tokens
// were moved.
func (a *account) refill(ctx context.Context, need int64) (bool, error) {
	rows, err := a.read(ctx)
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
	amount := min(budget.unspent(), max(need, refillOf(&budget)))
	if amount <= 0 {
		return false, nil
	}
	budget.Granted += amount
	share.Paid += amount
	return a.move(ctx, rows.budget, budget, rows.source, share)
}

// collect moves what other failure domains' share rows have unspent back to
// the budget's row.
func (a *account) collect(ctx context.Context) (bool, error) {
	own := shareKey(a.name, a.holder.self.Domain)
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
		if share.unspent() <= 0 || row.Key == own {
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
		ok, err := a.move(ctx, rows[0], budget, row, share)
		if err != nil {
			return moved, err
		}
		moved = moved || ok
	}
	return moved, nil
}

// move writes a budget's row and a share row. A lost reply needs no memory:
// wherever the tokens are, the two rows say so.
func (a *account) move(ctx context.Context, budgetAt platform.Row, budget sourceRow, shareAt platform.Row, share sourceRow) (bool, error) {
	err := commit(ctx, a.holder.options.Table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{at(budgetAt), at(shareAt)},
		Writes: []platform.Write{put(budgetAt.Key, budget), put(shareAt.Key, share)},
	})
	if platform.IsConflict(err) {
		a.holder.stats.Conflicts.Add(1)
		return true, nil // somebody moved tokens; look again
	}
	return err == nil, err
}
