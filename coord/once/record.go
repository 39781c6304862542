package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/platform"
)

// state is the state of a record; see the package comment.
type state string

const (
	// stateClaimed: the holder may send the call, is sending it, or has died.
	stateClaimed state = "claimed"
	// stateLost: the call was sent and its outcome is not known.
	stateLost state = "lost"
	// stateDone: the response was received and stored.
	stateDone state = "done"
	// stateReleased: the holder has not sent the call and will not send it.
	stateReleased state = "released"
)

// record is the content of the row of one call. UpdatedAt is the holder's wall
// clock at the last write of the record.
type record struct {
	Digest    string    `json:"digest"`
	Holder    string    `json:"holder"`
	Attempt   string    `json:"attempt"`
	State     state     `json:"state"`
	UpdatedAt time.Time `json:"at"`
	Response  []byte    `json:"answer,omitempty"`
	// Object is the name of the response in the object store if it is above
	// Settings.MaxInlineBytes.
	Object string `json:"object,omitempty"`
}

// newRecord returns the record of a new claim.
func (r *Records) newRecord(c Call, attempt string) record {
	return record{Digest: c.Digest, Holder: r.holder, Attempt: attempt, State: stateClaimed, UpdatedAt: r.clock.Now().UTC()}
}

// newClaim returns the claim of a record that is stored in row with version.
func (rec record) newClaim(rowKey string, version int64) *Claim {
	return &Claim{Attempt: rec.Attempt, rowKey: rowKey, version: version, record: rec}
}

// read returns a row and its record. If the row is absent, its version is 0.
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

// update writes the next state of a claimed record. Only the holder of a claim
// updates its record, so if the write conflicts, or its response is lost, and the
// row has that state, the write took effect.
func (r *Records) update(ctx context.Context, c *Claim, rec record) error {
	rec.UpdatedAt = r.clock.Now().UTC()
	receipt, err := r.write(ctx, c.rowKey, c.version, rec)
	if err == nil {
		c.version, c.record = receipt.Versions[0], rec
		return nil
	}
	if kind := platform.KindOf(err); kind != platform.KindConflict && kind != platform.KindUnknown {
		return err
	}
	row, current, readErr := r.read(ctx, c.rowKey)
	if readErr != nil {
		return err
	}
	if current.Attempt == rec.Attempt && current.State == rec.State {
		c.version, c.record = row.Version, current
		return nil
	}
	return err
}

// Finish stores the response to a claimed call, which must not be nil.
func (r *Records) Finish(ctx context.Context, c *Claim, response []byte) error {
	rec := c.record
	rec.State = stateDone
	if len(response) > r.settings.MaxInlineBytes {
		rec.Object = "once-" + c.Attempt
		if err := r.store.PutObject(ctx, rec.Object, response); err != nil {
			return fmt.Errorf("store large answer of %s: %w", c.rowKey, err)
		}
	} else {
		rec.Response = response
	}
	if err := r.update(ctx, c, rec); err != nil {
		return fmt.Errorf("store answer of %s: %w", c.rowKey, err)
	}
	return nil
}

// MarkOutcomeLost notes that the call was sent and its outcome is not known, so
// that a retried call fails at once instead of waiting. Finish may follow if the
// response still arrives.
func (r *Records) MarkOutcomeLost(ctx context.Context, c *Claim) error {
	rec := c.record
	rec.State = stateLost
	if err := r.update(ctx, c, rec); err != nil {
		return fmt.Errorf("mark the outcome of %s as lost: %w", c.rowKey, err)
	}
	return nil
}

// Release gives up a claim whose call was not sent and will not be sent, so that
// the same key can be claimed again.
func (r *Records) Release(ctx context.Context, c *Claim) error {
	rec := c.record
	rec.State = stateReleased
	if err := r.update(ctx, c, rec); err != nil {
		return fmt.Errorf("release the claim of %s: %w", c.rowKey, err)
	}
	return nil
}

// blockInsertion ensures that an insertion with an unknown outcome does not keep
// the key claimed for ever. If the row is absent, a released record is inserted,
// with which the delayed insertion conflicts; if the insertion was applied, its
// record is released. This happens in the background, for at most ReleaseTimeout,
// and does not end with ctx.
func (r *Records) blockInsertion(ctx context.Context, c Call, attempted record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settings.ReleaseTimeout)
	go func() {
		defer cancel()
		released := attempted
		released.State = stateReleased
		_, err := r.write(ctx, c.rowKey(), 0, released)
		if err == nil {
			return
		}
		row, rec, err := r.read(ctx, c.rowKey())
		if err != nil || rec.Attempt != attempted.Attempt || rec.State != stateClaimed {
			return
		}
		// If this fails, the key stays claimed, and its calls fail with an
		// unknown outcome, which is safe.
		_ = r.Release(ctx, rec.newClaim(c.rowKey(), row.Version))
	}()
}
