package budget

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

// batchWrite writes bills of one incarnation to one row and, in the same
// transaction, the rows of the callers' keys that these bills carry. It can be
// retried until it succeeds.
type batchWrite struct {
	table       platform.Table
	maxReplays  int
	holder      string
	incarnation string
	key         string
	bills       []bill
	// keyRows holds the existing rows of callers' keys by row key.
	keyRows map[string]platform.Row
	// txn is the last transaction that was sent. It is resent unchanged until
	// its outcome is known.
	txn platform.Txn
	// decided are the bills as txn writes them, with replays marked and their
	// charges set.
	decided []bill
}

// write writes the batch. It returns nil once the bills are durable and
// ErrFenced if the incarnation may not bill any more.
func (w *batchWrite) write(ctx context.Context) error {
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
		alreadyWritten, err := w.explainConflict(ctx)
		if err != nil || alreadyWritten {
			return err
		}
	}
}

// explainConflict finds out why the transaction conflicted: the batch is
// already written, the incarnation is fenced (ErrFenced), or the row of a
// caller's key has changed. In the last case the next write uses the rows
// read here.
func (w *batchWrite) explainConflict(ctx context.Context) (written bool, err error) {
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
		return true, w.adoptWritten(rows[0])
	}
	if rows[1].Version > 0 {
		return false, ErrFenced
	}
	w.keyRows = make(map[string]platform.Row)
	for _, row := range rows[2:] {
		w.keyRows[row.Key] = row
	}
	w.txn = platform.Txn{}
	return false, nil
}

// adoptWritten sets decided to the bills of the batch row that is already
// written, so that the account uses the charges that were stored.
func (w *batchWrite) adoptWritten(row platform.Row) error {
	batch, err := decode[batchRow](row)
	w.decided = batch.Bills
	return err
}

// prepare decides what each bill is charged and builds the transaction.
func (w *batchWrite) prepare() error {
	w.decided = append([]bill(nil), w.bills...)
	states := make(map[string]*keyRow)
	var keyOrder []string
	for i := range w.decided {
		b := &w.decided[i]
		if b.Unique {
			continue
		}
		key := callerKey(b.Account, b.Key)
		keyState := states[key]
		if keyState == nil {
			row, err := decode[keyRow](w.keyRows[key])
			if err != nil {
				return err
			}
			keyState = &row
			states[key], keyOrder = keyState, append(keyOrder, key)
		}
		keyState.decideCharge(w.incarnation, b, w.maxReplays)
	}
	w.txn = platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: w.key}, {Key: fenceKey(w.incarnation)}},
		Writes: []platform.Write{putRow(w.key, batchRow{Holder: w.holder, Bills: w.decided})},
	}
	for _, key := range keyOrder {
		w.txn.Conds = append(w.txn.Conds, platform.Cond{Key: key, Version: w.keyRows[key].Version})
		w.txn.Writes = append(w.txn.Writes, putRow(key, *states[key]))
	}
	return nil
}

// decideCharge records a bill for a caller's key and decides its charge. The
// first bill of a key is charged in full. A bill with the same digest is a
// replay and is charged what it used beyond the tokens already charged. A
// bill for other content, or one beyond maxReplays, stays an ordinary bill
// and is charged in full, because it was served.
func (k *keyRow) decideCharge(incarnation string, b *bill, maxReplays int) {
	id := billID{Incarnation: incarnation, Number: b.Number}
	recorded, isRecordedReplay := k.findReplay(id)
	switch {
	case k.Bill == billID{}:
		*k = keyRow{Bill: id, Digest: b.Digest, Charged: b.Tokens}
	case k.Bill == id:
	case isRecordedReplay:
		b.Replay, b.ReplayCharge = true, recorded.Charge
	case k.Digest == b.Digest && len(k.Replays) < maxReplays:
		b.Replay, b.ReplayCharge = true, max(0, b.Tokens-k.Charged)
		k.Replays = append(k.Replays, replay{Bill: id, Charge: b.ReplayCharge})
		k.Charged += b.ReplayCharge
		k.Replayed += b.Tokens - b.ReplayCharge
	}
}

// writeLate writes bills that arrived after an operator had resolved their
// grant to a separate row, for the records. Their tokens are covered by the
// part of the grant that was written off.
func (w *batchWrite) writeLate(ctx context.Context) error {
	key := latePrefix + w.key[len(batchPrefix):]
	err := commit(ctx, w.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key}},
		Writes: []platform.Write{putRow(key, batchRow{Holder: w.holder, Bills: w.bills})},
	})
	if platform.IsConflict(err) {
		return nil
	}
	return err
}
