package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/platform"
)

// state is where a record stands.
type state string

const (
	// stateClaimed: the holder may dispatch, is dispatching, or has died.
	stateClaimed state = "claimed"
	// stateLost: the call was sent and its outcome was lost.
	stateLost state = "lost"
	// stateDone: the answer is known.
	stateDone state = "done"
	// stateReleased: the holder has sent nothing and will send nothing.
	stateReleased state = "released"
)

// record is the row of one call.
type record struct {
	Digest    string    `json:"digest"`
	Holder    string    `json:"holder"`
	Attempt   string    `json:"attempt"`
	State     state     `json:"state"`
	UpdatedAt time.Time `json:"at"`
	Response  []byte    `json:"answer,omitempty"`
	// Object names the answer in the object store if it is large.
	Object string `json:"object,omitempty"`
}

func (r *Records) newRecord(c Call, attempt string) record {
	return record{Digest: c.Digest, Holder: r.holder, Attempt: attempt, State: stateClaimed, UpdatedAt: r.clock.Now().UTC()}
}

func (rec record) newClaim(row string, version int64) *Claim {
	return &Claim{Attempt: rec.Attempt, row: row, version: version, record: rec}
}

// read returns the record of a row; an absent one has version 0.
func (r *Records) read(ctx context.Context, key string) (platform.Row, record, error) {
	rows, err := r.store.Get(ctx, key)
	if err != nil {
		return platform.Row{}, record{}, fmt.Errorf("read record: %w", err)
	}
	var rec record
	if rows[0].Version == 0 {
		return rows[0], rec, nil
	}
	if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
		return platform.Row{}, record{}, fmt.Errorf("decode record %s: %w", key, err)
	}
	return rows[0], rec, nil
}

// update moves a claimed record on. Only the holder of the claim updates its
// record, so a conflict after a lost reply is its own earlier write.
func (r *Records) update(ctx context.Context, c *Claim, rec record) error {
	rec.UpdatedAt = r.clock.Now().UTC()
	receipt, err := r.write(ctx, c.row, c.version, rec)
	if err == nil {
		c.version, c.record = receipt.Versions[0], rec
		return nil
	}
	if kind := platform.KindOf(err); kind != platform.KindConflict && kind != platform.KindUnknown {
		return err
	}
	row, current, readErr := r.read(ctx, c.row)
	if readErr != nil {
		return err
	}
	if current.Attempt == rec.Attempt && current.State == rec.State {
		c.version, c.record = row.Version, current
		return nil
	}
	return err
}

// Finish stores the answer of a claimed call, which must not be nil.
func (r *Records) Finish(ctx context.Context, c *Claim, response []byte) error {
	rec := c.record
	rec.State = stateDone
	if len(response) > r.settings.MaxInlineBytes {
		rec.Object = "once-" + c.Attempt
		if err := r.store.PutObject(ctx, rec.Object, response); err != nil {
			return fmt.Errorf("store large answer of %s: %w", c.row, err)
		}
	} else {
		rec.Response = response
	}
	if err := r.update(ctx, c, rec); err != nil {
		return fmt.Errorf("store answer of %s: %w", c.row, err)
	}
	return nil
}

// Lose notes that the call was sent and its outcome was lost, so that a
// repeated call is told at once. Finish may follow if the answer still comes.
func (r *Records) MarkOutcomeLost(ctx context.Context, c *Claim) error {
	rec := c.record
	rec.State = stateLost
	if err := r.update(ctx, c, rec); err != nil {
		return fmt.Errorf("note lost outcome of %s: %w", c.row, err)
	}
	return nil
}

// Release gives up a claim under which nothing was sent and nothing will be,
// so that another call under the same key may run.
func (r *Records) Release(ctx context.Context, c *Claim) error {
	rec := c.record
	rec.State = stateReleased
	if err := r.update(ctx, c, rec); err != nil {
		return fmt.Errorf("release %s: %w", c.row, err)
	}
	return nil
}

// block makes sure that an insertion in doubt does not keep the key claimed
// for ever. Either the row is absent, and a released record in its place
// makes the late insertion conflict; or the insertion has arrived, and is
// released. It goes on in the background after ctx.
func (r *Records) blockInsertion(ctx context.Context, c Call, attempted record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settings.ReleaseTimeout)
	go func() {
		defer cancel()
		released := attempted
		released.State = stateReleased
		_, err := r.write(ctx, c.row(), 0, released)
		if err == nil {
			return
		}
		row, rec, err := r.read(ctx, c.row())
		if err != nil || rec.Attempt != attempted.Attempt || rec.State != stateClaimed {
			return
		}
		// A failure leaves the key claimed: it is answered as unknown, which
		// is safe.
		_ = r.Release(ctx, rec.newClaim(c.row(), row.Version))
	}()
}
