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
	table platform.Table
	live  func(holder string) bool
}

// NewLedger returns a ledger over table that takes every holder as live.
func NewLedger(table platform.Table) *Ledger {
	return &Ledger{table: table, live: func(string) bool { return true }}
}

// WithLive returns a ledger that asks live whether a holder's process is a
// member of the fleet. The answer decides what is shown as in doubt, never
// whether tokens are handed out.
func (l *Ledger) WithLive(live func(holder string) bool) *Ledger {
	return &Ledger{table: l.table, live: live}
}

// TopUp adds paid tokens to an account, which it creates if it is absent. A
// top-up with the same id is applied once; with another amount it is
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
		_, err = platform.CommitSure(ctx, l.table, platform.Txn{
			OpID:   "topup:" + a.String() + ":" + id + ":" + fmt.Sprint(rows[0].Version),
			Conds:  []platform.Cond{at(rows[0]), at(rows[1])},
			Writes: []platform.Write{put(rows[0].Key, row), put(rows[1].Key, tokens)},
		})
		if err != nil && platform.KindOf(err) != platform.KindConflict && (platform.KindOf(err) != platform.KindUnknown || ctx.Err() != nil) {
			return Balance{}, fmt.Errorf("top up %s: %w", a, err)
		}
	}
}

// appliedTopUp answers a top-up whose row exists.
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

// Balance reads an account: its row, share rows, open grants and their bills
// since the grants were last written.
func (l *Ledger) Balance(ctx context.Context, a Account) (Balance, error) {
	var balance Balance
	for range balanceTries {
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

// balanceTries bounds the reads of a budget that changes meanwhile.
const balanceTries = 5

// readBalance reads an account once. Every change of a grant also writes its
// source row, so that the read is consistent if no source changed meanwhile.
func (l *Ledger) readBalance(ctx context.Context, a Account) (b Balance, stable bool, err error) {
	before, err := l.sources(ctx, a)
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
		b.WrittenOff += source.Burned
	}
	grants, err := l.grants(ctx, grantPrefix+a.String()+"/")
	if err != nil {
		return b, false, err
	}
	for _, g := range grants {
		billed, replayed, err := billedSince(ctx, l.table, g)
		if err != nil {
			return b, false, err
		}
		b.Settled += g.row.Settled + billed
		b.Replayed += replayed
		if rest := g.row.Tokens - g.row.Settled - billed; l.live(g.row.Holder) {
			b.Held += rest
		} else {
			b.InDoubt += rest
		}
	}
	after, err := l.sources(ctx, a)
	if err != nil {
		return b, false, err
	}
	return b, sameVersions(before, after), nil
}

// sources reads the budget's row, which comes first, and its share rows.
func (l *Ledger) sources(ctx context.Context, a Account) ([]platform.Row, error) {
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

// openGrant is a grant as the table shows it.
type openGrant struct {
	account     Account
	incarnation string
	key         platform.Row
	row         grantRow
}

// grants reads the open grants of a prefix.
func (l *Ledger) grants(ctx context.Context, prefix string) ([]openGrant, error) {
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
		g := openGrant{account: Account{Workspace: parts[0], Budget: parts[1]}, incarnation: parts[2], key: row}
		if g.row, err = decode[grantRow](row); err != nil {
			return nil, err
		}
		grants = append(grants, g)
	}
	return grants, nil
}

// billedSince sums the bills of a grant that its row does not count yet. A
// bill that stands in several rows counts once.
func billedSince(ctx context.Context, table platform.Table, g openGrant) (billed, replayed int64, err error) {
	from := batchKey(g.incarnation, g.row.Folded+1)
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
			if bill.Account != g.account || bill.Number <= g.row.Folded || seen[bill.Number] {
				continue
			}
			seen[bill.Number] = true
			billed += bill.charge()
			replayed += bill.Tokens - bill.charge()
		}
	}
	return billed, replayed, nil
}
