// Package once keeps records that let a call run at most once. A record is
// inserted before the call is dispatched; only the inserter dispatches it,
// once. This stays safe when the inserter is paused between its check and its
// send, which a lease with a clock does not: nobody ever takes over a claim
// on a time-out.
//
// A record goes through these states:
//
//	absent ──Claim──> claimed ──Finish──> done
//	                     │
//	                     ├──Lose──> lost ──Finish──> done
//	                     └──Release──> released ──Claim──> claimed
//
// Release is for a holder that knows that it has sent nothing and will send
// nothing.
package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Prefix starts the keys of all records in the table.
const Prefix = "call/"

// Settings are the settings of the records.
type Settings struct {
	// ClaimTimeout bounds the writing of a claim.
	ClaimTimeout time.Duration `json:"claim_timeout"`
	// AnswerWait is how long a repeated call waits for the answer of the
	// first, and AnswerPoll the first time between two reads of its record.
	ResponseWait         time.Duration `json:"answer_wait"`
	ResponsePollInterval time.Duration `json:"answer_poll"`
	// InlineBytes bounds the answers that are kept in the table; larger ones
	// go to the object store.
	MaxInlineBytes int `json:"inline_bytes"`
	// ReleaseTimeout bounds the release of a claim whose insertion is in
	// doubt.
	ReleaseTimeout time.Duration `json:"release_timeout"`
	// Retention is how long an answer is kept. See Records.Sweep.
	Retention time.Duration `json:"retention"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		ClaimTimeout:         2 * time.Second,
		ResponseWait:         2 * time.Second,
		ResponsePollInterval: 50 * time.Millisecond,
		MaxInlineBytes:       32 << 10,
		ReleaseTimeout:       time.Minute,
		Retention:            7 * 24 * time.Hour,
	}
}

// Problem is a wrong value of the settings.
type Problem struct {
	Path  string
	Value any
	Want  string
}

// Validate returns every problem of the settings.
func (s Settings) Validate() []Problem {
	var problems []Problem
	for path, d := range map[string]time.Duration{
		"claim_timeout": s.ClaimTimeout, "answer_wait": s.ResponseWait, "answer_poll": s.ResponsePollInterval,
		"release_timeout": s.ReleaseTimeout, "retention": s.Retention,
	} {
		if d <= 0 {
			problems = append(problems, Problem{Path: path, Value: d.String(), Want: "a duration above 0"})
		}
	}
	if s.MaxInlineBytes <= 0 {
		problems = append(problems, Problem{Path: "inline_bytes", Value: s.MaxInlineBytes, Want: "a number above 0"})
	}
	return problems
}

// Store is the part of the platform that records need.
type Store interface {
	platform.Table
	platform.Objects
}

// Records keeps the records of calls. It is safe for concurrent use.
type Records struct {
	settings Settings
	store    Store
	clock    clock.Clock
	holder   string
}

// NewRecords returns records that are claimed under the name holder, which is
// fresh for each start of a process.
func NewRecords(s Settings, store Store, c clock.Clock, holder string) *Records {
	return &Records{settings: s, store: store, clock: c, holder: holder}
}

// Call identifies a call.
type Call struct {
	Workspace, Service string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the content; another one under the same key is an
	// error.
	Digest string
}

func (c Call) row() string { return Prefix + c.Workspace + "/" + c.Service + "/" + c.Key }

// Claim is the right to dispatch a call once, or its stored answer.
type Claim struct {
	// Stored is the answer of an earlier dispatch; nil means that the caller
	// of Claim must dispatch the call, once.
	StoredResponse []byte
	// Attempt identifies the claim.
	Attempt string
	row     string
	version int64
	record  record
}

// Claim inserts the record of a call. If the call was claimed before, it
// waits a little for the answer and returns it, or a failure with
// OutcomeUnknown, or KeyReused if the digests differ. After any failure the
// caller must not dispatch.
func (r *Records) Claim(ctx context.Context, c Call) (*Claim, error) {
	if err := r.checkKeyAge(c.Key); err != nil {
		return nil, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	rec := r.newRecord(c, uuid.NewString())
	receipt, err := r.write(claimCtx, c.row(), 0, rec)
	if err == nil {
		return rec.newClaim(c.row(), receipt.Versions[0]), nil
	}
	return r.resolveFailedClaim(ctx, c, rec, err)
}

// unclaimed decides after a write of a claim that did not succeed.
func (r *Records) resolveFailedClaim(ctx context.Context, c Call, rec record, err error) (*Claim, error) {
	if kind := platform.KindOf(err); kind == platform.KindConflict || kind == platform.KindUnknown {
		return r.resolveInsertion(ctx, c, rec, err)
	}
	return nil, notSent("claim call", err)
}

// unavailable is the failure of a call that the store did not let begin.
func notSent(step string, err error) error {
	f := failure.Wrap(failure.StoreUnavailable, step, "platform", err).WithRetry(time.Second)
	f.Message = "the call was not sent, since its record could not be written: " + err.Error()
	return f
}

// write puts a record under the condition that the row has version.
func (r *Records) write(ctx context.Context, row string, version int64, rec record) (platform.Receipt, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return platform.Receipt{}, fmt.Errorf("encode record: %w", err)
	}
	return platform.CommitUntilKnown(ctx, r.store, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: row, Version: version}},
		Writes: []platform.Write{{Key: row, Value: value}},
	})
}

// settle finds out whose record is in the row after an insertion that
// conflicted or whose reply was lost. A row with this claim's own attempt id
// means that the insertion took effect: nobody else has dispatched.
func (r *Records) resolveInsertion(ctx context.Context, c Call, attempted record, cause error) (*Claim, error) {
	row, rec, err := r.read(ctx, c.row())
	if err != nil || row.Version == 0 {
		// The insertion may still arrive. It is blocked before the caller is
		// told, or else in the background.
		r.blockInsertion(ctx, c, attempted)
		return nil, notSent("claim call", errors.Join(cause, err))
	}
	if rec.Attempt == attempted.Attempt && rec.State == stateClaimed {
		return rec.newClaim(c.row(), row.Version), nil
	}
	return r.awaitResponse(ctx, c, row, rec)
}

// join answers a claim whose record another call has made.
func (r *Records) awaitResponse(ctx context.Context, c Call, row platform.Row, rec record) (*Claim, error) {
	pollBackoff := backoff.NewExponentialBackOff()
	pollBackoff.InitialInterval = r.settings.ResponsePollInterval
	deadline := r.clock.Now().Add(r.settings.ResponseWait)
	for {
		if rec.Digest != c.Digest {
			return nil, failure.New(failure.KeyReused, "claim call", "", "the Idempotency-Key was used for another call; choose a new one")
		}
		switch rec.State {
		case stateReleased:
			return r.claimReleased(ctx, c, row.Version)
		case stateDone:
			return r.storedResponse(ctx, c, row, rec)
		case stateLost:
			return nil, outcomeUnknown("the outcome of the first try was lost; the call will not be sent again; check its effect")
		}
		if !r.clock.Now().Before(deadline) {
			return nil, outcomeUnknown("the first try of this call is running or its outcome was lost; ask again with the same key: the call will not be sent twice")
		}
		if err := clock.Sleep(ctx, r.clock, pollBackoff.NextBackOff()); err != nil {
			return nil, outcomeUnknown("the first try of this call is running; ask again with the same key")
		}
		var err error
		if row, rec, err = r.read(ctx, c.row()); err != nil {
			return nil, outcomeUnknown("the record of the first try could not be read; ask again with the same key: " + err.Error())
		}
	}
}

// unknown is the failure of a call whose first try may have run.
func outcomeUnknown(message string) error {
	return failure.New(failure.OutcomeUnknown, "claim call", "", message).WithRan(failure.RanUnknown).WithRetry(time.Second)
}

// takeOver claims a call whose earlier holder has said that it sent nothing.
func (r *Records) claimReleased(ctx context.Context, c Call, version int64) (*Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	rec := r.newRecord(c, uuid.NewString())
	receipt, err := r.write(ctx, c.row(), version, rec)
	if err == nil {
		return rec.newClaim(c.row(), receipt.Versions[0]), nil
	}
	return r.resolveFailedClaim(ctx, c, rec, err)
}

// stored returns the answer of a finished call.
func (r *Records) storedResponse(ctx context.Context, c Call, row platform.Row, rec record) (*Claim, error) {
	claim := rec.newClaim(c.row(), row.Version)
	claim.StoredResponse = rec.Response
	if rec.Object != "" {
		response, err := r.store.GetObject(ctx, rec.Object)
		if err != nil {
			return nil, failure.Wrap(failure.OutcomeUnknown, "read stored answer", "platform", err).WithRan(failure.RanYes).WithRetry(time.Second)
		}
		claim.StoredResponse = response
	}
	if claim.StoredResponse == nil {
		return nil, failure.New(failure.OutcomeUnknown, "read stored answer", "", "the call ran, and its answer is no longer kept").WithRan(failure.RanYes)
	}
	return claim, nil
}
