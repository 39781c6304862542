package budget

import (
	"context"
	"fmt"
	"strings"

	"daisyslip.dev/daisyslip/coord/platform"
)

// Ledger reads and changes budgets in the platform's table. It is safe for
// concurrent use.
type Ledger struct {
	table  platform.Table
	isLive func(holder string) bool
}

// NewLedger returns a ledger over table that regards every holder as live.
func NewLedger(table platform.Table) *Ledger {
	return &Ledger{table: table, isLive: func(string) bool { return true }}
}

// WithLive returns a ledger that calls live to find out whether a holder's
// process is a member of the fleet. The result decides which grants are shown
// as in doubt and can be resolved; tokens are never granted because of it
// alone.
func (l *Ledger) WithLive(live func(holder string) bool) *Ledger {
	return &Ledger{table: l.table, isLive: live}
}

// TopUp adds paid tokens to an account and creates it if it does not exist. A
// top-up with the same id is applied once; with another amount it returns
// ErrConflict.
func (l *Ledger) TopUp(ctx context.Context, a Account, id string, tokens int64) (Balance, error) {
	if err := a.validate(); err != nil {
		return Balance{}, err
	}
	for {
		rows, err := l.table.Get(ctx, budgetKey(a), topUpPrefix+a.String()+"/"+id)
		if err != nil {
			return Balance{}, fmt.Errorf("top up %s: %w", a, err)
		}
		if rows[1].Version > 0 {
			return l.appliedTopUp(ctx, a, id, rows[1], tokens)
		}
		row, err := decode[sourceRow](rows[0])
		if err != nil {
			return Balance{}, err
		}
		row.Paid += tokens
		_, err = platform.CommitUntilKnown(ctx, l.table, platform.Txn{
			OpID:   "topup:" + a.String() + ":" + id + ":" + fmt.Sprint(rows[0].Version),
			Conds:  []platform.Cond{unchanged(rows[0]), unchanged(rows[1])},
			Writes: []platform.Write{putRow(rows[0].Key, row), putRow(rows[1].Key, tokens)},
		})
		if err != nil && platform.KindOf(err) != platform.KindConflict && (platform.KindOf(err) != platform.KindUnknown || ctx.Err() != nil) {
			return Balance{}, fmt.Errorf("top up %s: %w", a, err)
		}
	}
}

// appliedTopUp returns the result of a top-up that was applied before.
func (l *Ledger) appliedTopUp(ctx context.Context, a Account, id string, row platform.Row, tokens int64) (Balance, error) {
	applied, err := decode[int64](row)
	if err != nil {
		return Balance{}, err
	}
	if applied != tokens {
		return Balance{}, fmt.Errorf("top up %s: %w: id %q was applied with %d tokens", a, ErrConflict, id, applied)
	}
	return l.Balance(ctx, a)
}

// Balance reads an account: its budget row, share rows, open grants and the
// bills that the grants' rows do not count yet. It returns ErrNotFound if the
// account does not exist.
func (l *Ledger) Balance(ctx context.Context, a Account) (Balance, error) {
	var balance Balance
	for range maxBalanceReads {
		var stable bool
		var err error
		if balance, stable, err = l.readBalance(ctx, a); err != nil {
			return Balance{}, fmt.Errorf("read budget %s: %w", a, err)
		}
		if stable {
			return balance, nil
		}
	}
	balance.Approximate = true
	balance.Held = balance.Paid - balance.Unspent - balance.Settled - balance.InDoubt
	return balance, nil
}

// maxBalanceReads bounds the attempts to read a budget that keeps changing.
const maxBalanceReads = 5

// readBalance reads an account once. Every change of a grant also writes its
// source row, so the result is consistent (stable) if no source row changed
// during the read.
func (l *Ledger) readBalance(ctx context.Context, a Account) (b Balance, stable bool, err error) {
	before, err := l.readSources(ctx, a)
	if err != nil {
		return b, false, err
	}
	b.Account = a
	for i, row := range before {
		source, err := decode[sourceRow](row)
		if err != nil {
			return b, false, err
		}
		if i == 0 {
			b.Paid = source.Paid
		}
		b.Unspent += source.unspent()
		b.Settled += source.Settled
		b.WrittenOff += source.WrittenOff
	}
	grants, err := l.readGrants(ctx, grantPrefix+a.String()+"/")
	if err != nil {
		return b, false, err
	}
	for _, g := range grants {
		billed, replayed, err := billedSinceCounted(ctx, l.table, g)
		if err != nil {
			return b, false, err
		}
		b.Settled += g.grant.Settled + billed
		b.Replayed += replayed
		if remaining := g.grant.Tokens - g.grant.Settled - billed; l.isLive(g.grant.Holder) {
			b.Held += remaining
		} else {
			b.InDoubt += remaining
		}
	}
	after, err := l.readSources(ctx, a)
	if err != nil {
		return b, false, err
	}
	return b, sameVersions(before, after), nil
}

// readSources reads the budget's row, which comes first, and its share rows.
func (l *Ledger) readSources(ctx context.Context, a Account) ([]platform.Row, error) {
	rows, err := l.table.Get(ctx, budgetKey(a))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, ErrNotFound
	}
	prefix := shareKey(a, "")
	shares, err := readAll(ctx, l.table, prefix, prefix)
	return append(rows, shares...), err
}

// sameVersions reports whether a and b are the same rows at the same
// versions.
func sameVersions(a, b []platform.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Key != b[i].Key || a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}

// openGrant is a grant as read from the table.
type openGrant struct {
	account     Account
	incarnation string
	tableRow    platform.Row
	grant       grantRow
}

// readGrants reads the open grants whose keys start with prefix.
func (l *Ledger) readGrants(ctx context.Context, prefix string) ([]openGrant, error) {
	rows, err := readAll(ctx, l.table, prefix, prefix)
	if err != nil {
		return nil, err
	}
	grants := make([]openGrant, 0, len(rows))
	for _, row := range rows {
		parts := strings.Split(strings.TrimPrefix(row.Key, grantPrefix), "/")
		if len(parts) != 3 {
			return nil, fmt.Errorf("grant row %s has a strange key", row.Key)
		}
		g := openGrant{account: Account{Workspace: parts[0], Budget: parts[1]}, incarnation: parts[2], tableRow: row}
		if g.grant, err = decode[grantRow](row); err != nil {
			return nil, err
		}
		grants = append(grants, g)
	}
	return grants, nil
}

// billedSinceCounted sums the bills of a grant that its row does not count
// yet. billed is the number of tokens charged, and replayed the number of
// tokens of replays that were not charged. A bill that is in several rows
// counts once.
func billedSinceCounted(ctx context.Context, table platform.Table, g openGrant) (billed, replayed int64, err error) {
	from := batchKey(g.incarnation, g.grant.LastCounted+1)
	rows, err := readAll(ctx, table, from, batchPrefix+g.incarnation+"/")
	if err != nil {
		return 0, 0, err
	}
	seen := make(map[uint64]bool)
	for _, row := range rows {
		batch, err := decode[batchRow](row)
		if err != nil {
			return 0, 0, err
		}
		for _, bill := range batch.Bills {
			if bill.Account != g.account || bill.Number <= g.grant.LastCounted || seen[bill.Number] {
				continue
			}
			seen[bill.Number] = true
			billed += bill.charge()
			replayed += bill.Tokens - bill.charge()
		}
	}
	return billed, replayed, nil
}
