// Package once keeps records that let a call run at most once. A record is
// inserted before the call is dispatched; only the inserter dispatches it,
// once. This stays safe when the inserter is paused between its check and its
// send, which a lease with a clock does not.
package once

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform"
)

const recordPrefix = "call/"

// record is the row of one call.
type record struct {
	Digest  string `json:"digest"`
	Holder  string `json:"holder"`
	Attempt string `json:"attempt"`
	Done    bool   `json:"done"`
	Answer  []byte `json:"answer,omitempty"`
}

// Records keeps the records of calls in the platform's table.
type Records struct {
	table  platform.Table
	holder string
}

// NewRecords returns records that are claimed under the name holder, which is
// fresh for each start of a process.
func NewRecords(table platform.Table, holder string) *Records {
	return &Records{table: table, holder: holder}
}

// Claim is the right to dispatch a call once, or its stored answer.
type Claim struct {
	// Stored is the answer of an earlier dispatch; nil means that the caller
	// of Claim must dispatch the call, once.
	Stored  []byte
	key     string
	version int64
	record  record
}

// Claim inserts the record of a call. If the call was claimed before, it
// returns the stored answer, or a failure with OutcomeUnknown, or KeyReused if
// the digests differ.
func (r *Records) Claim(ctx context.Context, workspace, service, key, digest string) (Claim, error) {
	row := recordPrefix + workspace + "/" + service + "/" + key
	rec := record{Digest: digest, Holder: r.holder, Attempt: uuid.NewString()}
	receipt, err := r.write(ctx, row, 0, rec)
	if err == nil {
		return Claim{key: row, version: receipt.Versions[0], record: rec}, nil
	}
	if !platform.IsConflict(err) {
		return Claim{}, failure.Wrap(failure.StoreUnavailable, "claim call", "platform", err)
	}
	return r.read(ctx, row, digest)
}

func (r *Records) write(ctx context.Context, row string, version int64, rec record) (platform.Receipt, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return platform.Receipt{}, fmt.Errorf("encode record: %w", err)
	}
	return platform.CommitSure(ctx, r.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: row, Version: version}},
		Writes: []platform.Write{{Key: row, Value: value}},
	})
}

// read answers a claim whose record exists.
func (r *Records) read(ctx context.Context, row, digest string) (Claim, error) {
	rows, err := r.table.Get(ctx, row)
	if err != nil {
		return Claim{}, failure.Wrap(failure.StoreUnavailable, "read call record", "platform", err)
	}
	var rec record
	if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
		return Claim{}, failure.Wrap(failure.Internal, "decode call record", "platform", err)
	}
	if rec.Digest != digest {
		return Claim{}, failure.New(failure.KeyReused, "claim call", "", "the Idempotency-Key was used for another call; choose a new one")
	}
	if !rec.Done {
		return Claim{}, failure.New(failure.OutcomeUnknown, "claim call", "", "an earlier try of this call is running or its outcome was lost").WithRan(failure.RanUnknown)
	}
	return Claim{Stored: rec.Answer, key: row, version: rows[0].Version, record: rec}, nil
}

// Finish stores the answer of a claimed call.
func (r *Records) Finish(ctx context.Context, c Claim, answer []byte) error {
	rec := c.record
	rec.Done, rec.Answer = true, answer
	if _, err := r.write(ctx, c.key, c.version, rec); err != nil {
		return fmt.Errorf("store answer of %s: %w", c.key, err)
	}
	return nil
}
