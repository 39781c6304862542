package budget

import (
	"context"
	"encoding/json"
	"fmt"

	"daisyslip.dev/daisyslip/coord/platform"
)

// Row keys of the ledger.
const (
	budgetPrefix = "budget/"
	grantPrefix  = "grant/"
	billPrefix   = "bill/"
	topUpPrefix  = "topup/"
)

// budgetRow holds the cumulative counters of a budget, in tokens.
type budgetRow struct {
	Paid     int64 `json:"paid"`
	Granted  int64 `json:"granted"`
	Returned int64 `json:"returned"`
}

func (b budgetRow) unspent() int64 { return b.Paid - b.Granted + b.Returned }

// grantRow holds a grant and what of it is settled, in tokens.
type grantRow struct {
	Holder  string `json:"holder"`
	Tokens  int64  `json:"tokens"`
	Settled int64  `json:"settled"`
	Closed  bool   `json:"closed,omitempty"`
}

// billRow is the one bill of a request.
type billRow struct {
	Grant  string `json:"grant"`
	Digest string `json:"digest,omitempty"`
	Tokens int64  `json:"tokens"`
}

// Ledger reads and changes budgets in the platform's table. It is safe for
// concurrent use.
type Ledger struct {
	table platform.Table
}

// NewLedger returns a ledger over table.
func NewLedger(table platform.Table) *Ledger { return &Ledger{table: table} }

func budgetKey(a Account) string { return budgetPrefix + a.String() }

// TopUp adds paid tokens to an account, which it creates if it is absent. A
// top-up with the same id is applied once.
func (l *Ledger) TopUp(ctx context.Context, a Account, id string, tokens int64) (Balance, error) {
	for {
		rows, err := l.table.Get(ctx, budgetKey(a), topUpPrefix+a.String()+"/"+id)
		if err != nil {
			return Balance{}, fmt.Errorf("top up %s: %w", a, err)
		}
		if rows[1].Version > 0 {
			return l.Balance(ctx, a)
		}
		row, err := decode[budgetRow](rows[0])
		if err != nil {
			return Balance{}, err
		}
		row.Paid += tokens
		_, err = platform.CommitSure(ctx, l.table, platform.Txn{
			OpID:   "topup:" + a.String() + ":" + id,
			Conds:  []platform.Cond{{Key: rows[0].Key, Version: rows[0].Version}, {Key: rows[1].Key}},
			Writes: []platform.Write{put(rows[0].Key, row), put(rows[1].Key, tokens)},
		})
		if err != nil && !platform.IsConflict(err) {
			return Balance{}, fmt.Errorf("top up %s: %w", a, err)
		}
	}
}

// Balance reads an account.
func (l *Ledger) Balance(ctx context.Context, a Account) (Balance, error) {
	rows, err := l.table.Get(ctx, budgetKey(a))
	if err != nil {
		return Balance{}, fmt.Errorf("read budget %s: %w", a, err)
	}
	if rows[0].Version == 0 {
		return Balance{}, fmt.Errorf("read budget %s: %w", a, ErrNotFound)
	}
	row, err := decode[budgetRow](rows[0])
	if err != nil {
		return Balance{}, err
	}
	balance := Balance{Account: a, Paid: row.Paid, Unspent: row.unspent()}
	prefix := grantPrefix + a.String() + "/"
	grants, err := l.table.Range(ctx, prefix, platform.PrefixEnd(prefix), maxGrants)
	if err != nil {
		return Balance{}, fmt.Errorf("read grants of %s: %w", a, err)
	}
	for _, g := range grants {
		grant, err := decode[grantRow](g)
		if err != nil {
			return Balance{}, err
		}
		balance.Settled += grant.Settled
		if !grant.Closed {
			balance.Held += grant.Tokens - grant.Settled
		}
	}
	return balance, nil
}

// maxGrants bounds the grants read of one account.
const maxGrants = 10000

// decode reads a row's JSON; an absent row gives the zero value.
func decode[T any](row platform.Row) (T, error) {
	var v T
	if row.Version == 0 {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return v, nil
}

// put encodes a write; the row types always encode.
func put(key string, v any) platform.Write {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return platform.Write{Key: key, Value: value}
}
