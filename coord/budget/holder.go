package budget

import (
	"context"
	"fmt"
	"sync"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// Settings are the settings of a holder.
type Settings struct {
	// GrantTokens is the size of a grant when the budget has plenty.
	GrantTokens int64 `json:"grant_tokens"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{GrantTokens: 20000} }

// LocalHolder is the Holder of one router.
type LocalHolder struct {
	ledger   *Ledger
	settings Settings
	name     string

	mu     sync.Mutex // guards grants
	grants map[Account]*localGrant
}

var _ Holder = (*LocalHolder)(nil)

// localGrant is one account's grant. Its lock is held over the platform's
// calls, so that the calls for one account follow each other.
type localGrant struct {
	mu      sync.Mutex
	id      string
	version int64
	row     grantRow
	open    int64 // tokens of open reservations
}

// NewHolder returns a holder that draws under name, which is fresh for each
// start of a process.
func NewHolder(ledger *Ledger, s Settings, name string) *LocalHolder {
	return &LocalHolder{ledger: ledger, settings: s, name: name, grants: make(map[Account]*localGrant)}
}

func (h *LocalHolder) grant(a Account) *localGrant {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.grants[a]
	if g == nil {
		g = &localGrant{id: uuid.NewString()}
		h.grants[a] = g
	}
	return g
}

// Reserve implements Holder.
func (h *LocalHolder) Reserve(ctx context.Context, req Request) (Reservation, error) {
	g := h.grant(req.Account)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.row.Tokens-g.row.Settled-g.open < req.Tokens {
		if err := h.draw(ctx, req.Account, g, req.Tokens); err != nil {
			return nil, err
		}
	}
	g.open += req.Tokens
	return &localReservation{holder: h, grant: g, request: req}, nil
}

// draw enlarges the grant so that it has room for need more tokens.
func (h *LocalHolder) draw(ctx context.Context, a Account, g *localGrant, need int64) error {
	key := grantPrefix + a.String() + "/" + g.id
	for {
		rows, err := h.ledger.table.Get(ctx, budgetKey(a))
		if err != nil {
			return fmt.Errorf("draw grant of %s: %w: %w", a, ErrUnavailable, err)
		}
		if rows[0].Version == 0 {
			return fmt.Errorf("draw grant of %s: %w", a, ErrNotFound)
		}
		row, err := decode[budgetRow](rows[0])
		if err != nil {
			return err
		}
		short := need - (g.row.Tokens - g.row.Settled - g.open)
		if row.unspent() < short {
			return fmt.Errorf("draw grant of %s: %w: %d tokens wanted, %d unspent", a, ErrExhausted, short, row.unspent())
		}
		amount := min(max(short, h.settings.GrantTokens), row.unspent())
		row.Granted += amount
		next := g.row
		next.Holder, next.Tokens = h.name, next.Tokens+amount
		receipt, err := platform.CommitSure(ctx, h.ledger.table, platform.Txn{
			OpID:   uuid.NewString(),
			Conds:  []platform.Cond{{Key: rows[0].Key, Version: rows[0].Version}, {Key: key, Version: g.version}},
			Writes: []platform.Write{put(rows[0].Key, row), put(key, next)},
		})
		if platform.IsConflict(err) {
			continue
		}
		if err != nil {
			return fmt.Errorf("draw grant of %s: %w: %w", a, ErrUnavailable, err)
		}
		g.version, g.row = receipt.Versions[1], next
		return nil
	}
}

// Close implements Holder.
func (h *LocalHolder) Close(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for a, g := range h.grants {
		if err := h.giveBack(ctx, a, g); err != nil {
			return err
		}
	}
	return nil
}

// giveBack returns the unspent tokens of a grant and closes it.
func (h *LocalHolder) giveBack(ctx context.Context, a Account, g *localGrant) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.version == 0 {
		return nil
	}
	key := grantPrefix + a.String() + "/" + g.id
	for {
		rows, err := h.ledger.table.Get(ctx, budgetKey(a))
		if err != nil {
			return fmt.Errorf("return grant of %s: %w", a, err)
		}
		row, err := decode[budgetRow](rows[0])
		if err != nil {
			return err
		}
		row.Returned += g.row.Tokens - g.row.Settled
		next := g.row
		next.Closed = true
		_, err = platform.CommitSure(ctx, h.ledger.table, platform.Txn{
			OpID:   uuid.NewString(),
			Conds:  []platform.Cond{{Key: rows[0].Key, Version: rows[0].Version}, {Key: key, Version: g.version}},
			Writes: []platform.Write{put(rows[0].Key, row), put(key, next)},
		})
		if platform.IsConflict(err) {
			continue
		}
		if err != nil {
			return fmt.Errorf("return grant of %s: %w", a, err)
		}
		g.version = 0
		return nil
	}
}

// localReservation implements Reservation.
type localReservation struct {
	holder  *LocalHolder
	grant   *localGrant
	request Request
	once    sync.Once
}

// Settle implements Reservation.
func (r *localReservation) Settle(ctx context.Context, used int64) error {
	var err error
	r.once.Do(func() { err = r.settle(ctx, min(used, r.request.Tokens)) })
	return err
}

func (r *localReservation) settle(ctx context.Context, used int64) error {
	g := r.grant
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open -= r.request.Tokens
	next := g.row
	next.Settled += used
	account := r.request.Account.String()
	grantKey := grantPrefix + account + "/" + g.id
	billKey := billPrefix + account + "/" + r.request.Key
	receipt, err := platform.CommitSure(ctx, r.holder.ledger.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: grantKey, Version: g.version}, {Key: billKey}},
		Writes: []platform.Write{put(grantKey, next), put(billKey, billRow{Grant: g.id, Digest: r.request.Digest, Tokens: used})},
	})
	if platform.IsConflict(err) {
		return nil // billed before
	}
	if err != nil {
		return fmt.Errorf("settle %s: %w: %w", account, ErrUnavailable, err)
	}
	g.version, g.row = receipt.Versions[0], next
	return nil
}

// Cancel implements Reservation.
func (r *localReservation) Cancel() {
	r.once.Do(func() {
		r.grant.mu.Lock()
		defer r.grant.mu.Unlock()
		r.grant.open -= r.request.Tokens
	})
}
