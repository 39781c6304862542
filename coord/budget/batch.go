package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// batchWrite writes bills of one incarnation to one row, and the rows of the
// callers' keys among them. It can be tried again until it succeeds.
type batchWrite struct {
	table       platform.Table
	maxReplays  int
	holder      string
	incarnation string
	key         string
	bills       []bill
	// known holds the rows of callers' keys that exist.
	known map[string]platform.Row
	// txn is the transaction that was sent last; it is sent again unchanged
	// until its outcome is known.
	txn platform.Txn
	// decided are the bills as txn writes them.
	decided []bill
}

// try writes the batch. It returns nil once the bills are durable and
// ErrFenced if the incarnation may not bill any more.
func (w *batchWrite) try(ctx context.Context) error {
	for {
		if w.txn.OpID == "" {
			if err := w.prepare(); err != nil {
				return err
			}
		}
		err := commit(ctx, w.table, w.txn)
		if err == nil {
			return nil
		}
		if !platform.IsConflict(err) {
			return fmt.Errorf("write bills at platform: %w: %w", ErrUnavailable, err)
		}
		written, err := w.readBack(ctx)
		if err != nil || written {
			return err
		}
	}
}

// readBack looks why a batch conflicted: it was written before, the
// incarnation is fenced, or a caller's key has a bill.
func (w *batchWrite) readBack(ctx context.Context) (written bool, err error) {
	keys := []string{w.key, fenceKey(w.incarnation)}
	for _, b := range w.bills {
		if !b.Unique {
			keys = append(keys, callerKey(b.Account, b.Key))
		}
	}
	rows, err := w.table.Get(ctx, keys...)
	if err != nil {
		return false, fmt.Errorf("read bills at platform: %w: %w", ErrUnavailable, err)
	}
	if rows[0].Version > 0 {
		return true, w.adopt(rows[0])
	}
	if rows[1].Version > 0 {
		return false, ErrFenced
	}
	w.known = make(map[string]platform.Row)
	for _, row := range rows[2:] {
		w.known[row.Key] = row
	}
	w.txn = platform.Txn{}
	return false, nil
}

// adopt takes over the decisions of a row that is written.
func (w *batchWrite) adopt(row platform.Row) error {
	batch, err := decode[batchRow](row)
	w.decided = batch.Bills
	return err
}

// prepare decides each bill and makes the transaction.
func (w *batchWrite) prepare() error {
	w.decided = append([]bill(nil), w.bills...)
	states := make(map[string]*keyRow)
	var order []string
	for i := range w.decided {
		b := &w.decided[i]
		if b.Unique {
			continue
		}
		key := callerKey(b.Account, b.Key)
		state := states[key]
		if state == nil {
			row, err := decode[keyRow](w.known[key])
			if err != nil {
				return err
			}
			state = &row
			states[key], order = state, append(order, key)
		}
		state.decide(w.incarnation, b, w.maxReplays)
	}
	w.txn = platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: w.key}, {Key: fenceKey(w.incarnation)}},
		Writes: []platform.Write{put(w.key, batchRow{Holder: w.holder, Bills: w.decided})},
	}
	for _, key := range order {
		w.txn.Conds = append(w.txn.Conds, platform.Cond{Key: key, Version: w.known[key].Version})
		w.txn.Writes = append(w.txn.Writes, put(key, *states[key]))
	}
	return nil
}

// decide says whether a bill for a caller's key is the first, which is
// charged, or a replay, which is charged what it used beyond the earlier
// ones. A bill for other content, or past the bound of replays, is charged
// under its own number: it was served.
func (k *keyRow) decide(incarnation string, b *bill, maxReplays int) {
	id := billID{Incarnation: incarnation, Number: b.Number}
	known, isReplay := k.replay(id)
	switch {
	case k.Bill == billID{}:
		*k = keyRow{Bill: id, Digest: b.Digest, Charged: b.Tokens}
	case k.Bill == id:
	case isReplay:
		b.Replay, b.Extra = true, known.Extra
	case k.Digest == b.Digest && len(k.Replays) < maxReplays:
		b.Replay, b.Extra = true, max(0, b.Tokens-k.Charged)
		k.Replays = append(k.Replays, replay{Bill: id, Extra: b.Extra})
		k.Charged += b.Extra
		k.Replayed += b.Tokens - b.Extra
	}
}

// writeLate keeps bills that came after their grant was settled by an
// operator, for the records; they are covered by what was burned.
func (w *batchWrite) writeLate(ctx context.Context) error {
	key := latePrefix + w.key[len(batchPrefix):]
	err := commit(ctx, w.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key}},
		Writes: []platform.Write{put(key, batchRow{Holder: w.holder, Bills: w.bills})},
	})
	if platform.IsConflict(err) {
		return nil
	}
	return err
}
