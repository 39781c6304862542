package budget

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// naiveRow is the row of the naive holders.
type naiveRow struct {
	Paid  int64 `json:"paid"`
	Spent int64 `json:"spent"`
	// Grants and Expires are used by naiveExpiring only, by name of the
	// holder.
	Grants  map[string]int64     `json:"grants,omitempty"`
	Expires map[string]time.Time `json:"expires,omitempty"`
}

// naiveKey is the key of the only row of the naive holders.
const naiveKey = "naive"

// naiveTable reads and updates the row of the naive holders.
type naiveTable struct{ table platform.Table }

// update applies change to the row and retries until no other change
// interferes. After a lost response it sends the update again as a new
// operation, so that it can be applied twice.
func (n naiveTable) update(ctx context.Context, change func(*naiveRow) error) error {
	for {
		rows, err := n.table.Get(ctx, naiveKey)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		row, err := decode[naiveRow](rows[0])
		if err != nil {
			return err
		}
		if err := change(&row); err != nil {
			return err
		}
		_, err = n.table.Commit(ctx, platform.Txn{OpID: uuid.NewString(), Conds: []platform.Cond{unchanged(rows[0])}, Writes: []platform.Write{putRow(naiveKey, row)}})
		switch platform.KindOf(err) {
		case platform.KindConflict, platform.KindUnknown:
			continue
		case "":
			return err
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// read returns the row.
func (n naiveTable) read(ctx context.Context) (naiveRow, error) {
	rows, err := n.table.Get(ctx, naiveKey)
	if err != nil {
		return naiveRow{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return decode[naiveRow](rows[0])
}

// naiveCounter uses a central counter: it checks the counter before it serves
// and increments it afterwards, without a reservation. While the platform is
// unreachable, it relies on the last row that it read.
type naiveCounter struct {
	naiveTable

	mu   sync.Mutex // guards last, the row read last
	last naiveRow
}

func (c *naiveCounter) Reserve(ctx context.Context, req Request) (Reservation, error) {
	row, err := c.read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.last = row
	}
	if c.last.Paid-c.last.Spent < req.Tokens {
		return nil, ErrExhausted
	}
	return naiveReservation{settle: func(ctx context.Context, used int64) error {
		return c.update(ctx, func(r *naiveRow) error { r.Spent += used; return nil })
	}}, nil
}

func (c *naiveCounter) Close(context.Context) error { return nil }

// naiveMemory is a naiveCounter that also settles during an outage: it keeps
// the bill in memory until the platform is reachable again, and loses it in a
// crash.
type naiveMemory struct {
	naiveCounter
	crashed atomic.Bool
}

func (m *naiveMemory) Reserve(ctx context.Context, req Request) (Reservation, error) {
	r, err := m.naiveCounter.Reserve(ctx, req)
	if err != nil {
		return nil, err
	}
	return naiveReservation{settle: func(ctx context.Context, used int64) error {
		if r.Settle(ctx, used) != nil {
			go m.retrySettle(r, used)
		}
		return nil
	}}, nil
}

// retrySettle retries the settlement every second until it succeeds or the
// holder crashes.
func (m *naiveMemory) retrySettle(r Reservation, used int64) {
	for !m.crashed.Load() && r.Settle(context.Background(), used) != nil {
		time.Sleep(time.Second)
	}
}

func (m *naiveMemory) Close(context.Context) error {
	m.crashed.Store(true)
	return nil
}

// naiveExpiring draws grants that expire after naiveGrantLifetime and are
// then granted again. The holder does not check the time before it spends.
type naiveExpiring struct {
	naiveTable
	name string

	mu        sync.Mutex // guards remaining, the unspent tokens of the grant
	remaining int64
}

// naiveGrantSize is the least size of an expiring grant in tokens, and
// naiveGrantLifetime the time until it expires.
const (
	naiveGrantSize     = 500
	naiveGrantLifetime = 30 * time.Second
)

func (h *naiveExpiring) Reserve(ctx context.Context, req Request) (Reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remaining < req.Tokens {
		if err := h.draw(ctx, req.Tokens); err != nil {
			return nil, err
		}
	}
	h.remaining -= req.Tokens
	return naiveReservation{settle: func(ctx context.Context, used int64) error {
		return h.update(ctx, func(r *naiveRow) error {
			r.Spent += used
			if _, open := r.Grants[h.name]; open {
				r.Grants[h.name] -= req.Tokens
			}
			return nil
		})
	}}, nil
}

// draw adds at least needed tokens to the grant and renews it. It returns
// ErrExhausted if the budget has too few tokens without an unexpired grant.
func (h *naiveExpiring) draw(ctx context.Context, needed int64) error {
	return h.update(ctx, func(r *naiveRow) error {
		available := r.Paid - r.Spent
		for name, tokens := range r.Grants {
			if time.Now().After(r.Expires[name]) {
				delete(r.Grants, name)
				continue
			}
			available -= tokens
		}
		if available < needed {
			return ErrExhausted
		}
		amount := min(available, max(needed, naiveGrantSize))
		if r.Grants == nil {
			r.Grants, r.Expires = map[string]int64{}, map[string]time.Time{}
		}
		r.Grants[h.name] += amount
		r.Expires[h.name] = time.Now().Add(naiveGrantLifetime)
		h.remaining += amount
		return nil
	})
}

func (h *naiveExpiring) Close(context.Context) error { return nil }

// naiveReservation settles without a bill for the request.
type naiveReservation struct {
	settle func(context.Context, int64) error
}

func (r naiveReservation) Settle(ctx context.Context, used int64) error { return r.settle(ctx, used) }
func (r naiveReservation) Cancel()                                      {}
