// Package once keeps records that ensure that a call is executed at most once. A
// record is inserted before the call is sent, and only the process that inserted
// it sends the call, once. A claim is never taken over after a timeout, so this
// stays safe if the process is paused between the insertion and the sending; a
// lease that expires would not be safe then.
//
// The states of a record:
//
//	absent ──Claim──> claimed ──Finish──> done
//	                     │
//	                     ├──MarkOutcomeLost──> lost ──Finish──> done
//	                     └──Release──> released ──Claim──> claimed
//
// The holder calls Release only if it has not sent the call and will not send it.
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

// Prefix is the prefix of the row keys of all records. The workspace, the service
// and the idempotency key follow, separated by slashes.
const Prefix = "call/"

// Settings configure the records.
type Settings struct {
	// ClaimTimeout bounds the write of a claim.
	ClaimTimeout time.Duration `json:"claim_timeout"`
	// ResponseWait is how long a retried call waits for the response to the
	// first one, and ResponsePollInterval the initial time between two reads
	// of its record, which grows exponentially.
	ResponseWait         time.Duration `json:"answer_wait"`
	ResponsePollInterval time.Duration `json:"answer_poll"`
	// MaxInlineBytes bounds the responses that are stored in the table. Larger
	// ones are stored in the object store.
	MaxInlineBytes int `json:"inline_bytes"`
	// ReleaseTimeout bounds the release of a claim of which it is unknown
	// whether it was inserted.
	ReleaseTimeout time.Duration `json:"release_timeout"`
	// Retention is how long a response is kept; see Records.Sweep.
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

// Problem describes an invalid value of the settings.
type Problem struct {
	// Path is the JSON name of the setting.
	Path  string
	Value any
	// Want says which values are valid.
	Want string
}

// Validate returns every problem of the settings, in no particular order.
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

// Store is the part of the platform that records use.
type Store interface {
	platform.Table
	platform.Objects
}

// Records reads and writes the records of calls. It is safe for concurrent use.
type Records struct {
	settings Settings
	store    Store
	clock    clock.Clock
	holder   string
}

// NewRecords returns records that are claimed under the name holder, which must
// differ for each start of a process.
func NewRecords(s Settings, store Store, c clock.Clock, holder string) *Records {
	return &Records{settings: s, store: store, clock: c, holder: holder}
}

// Call identifies a call.
type Call struct {
	Workspace, Service string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the content of the call. A call with the same key and
	// another digest fails with failure.KeyReused.
	Digest string
}

// row returns the key of the call's row.
func (c Call) rowKey() string { return Prefix + c.Workspace + "/" + c.Service + "/" + c.Key }

// Claim is either the right to send a call once, or its stored response.
type Claim struct {
	// StoredResponse is the response to the call if it was executed before. If
	// it is nil, the caller of Records.Claim must send the call, once,
	// or release the claim.
	StoredResponse []byte
	// Attempt is the unique id of the claim.
	Attempt string
	rowKey  string
	version int64
	record  record
}

// Claim inserts the record of a call. If the call was claimed before, it waits
// up to ResponseWait for the response and returns it; without one it returns
// failure.OutcomeUnknown, and failure.KeyReused if the digests differ. After any
// error the caller must not send the call.
func (r *Records) Claim(ctx context.Context, c Call) (*Claim, error) {
	if err := r.checkKeyAge(c.Key); err != nil {
		return nil, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	rec := r.newRecord(c, uuid.NewString())
	receipt, err := r.write(claimCtx, c.rowKey(), 0, rec)
	if err == nil {
		return rec.newClaim(c.rowKey(), receipt.Versions[0]), nil
	}
	return r.resolveFailedClaim(ctx, c, rec, err)
}

// resolveFailedClaim returns the result of a claim whose write returned err. If
// the row may have been written, by this claim or another one, it reads the row.
func (r *Records) resolveFailedClaim(ctx context.Context, c Call, rec record, err error) (*Claim, error) {
	if kind := platform.KindOf(err); kind == platform.KindConflict || kind == platform.KindUnknown {
		return r.resolveInsertion(ctx, c, rec, err)
	}
	return nil, notSent("claim call", err)
}

// notSent is the failure of a call that was not sent because its record could not
// be written.
func notSent(step string, err error) error {
	f := failure.Wrap(failure.StoreUnavailable, step, "platform", err).WithRetry(time.Second)
	f.Message = "the call was not sent, since its record could not be written: " + err.Error()
	return f
}

// write writes a record on condition that the stored row has the given version.
func (r *Records) write(ctx context.Context, key string, version int64, rec record) (platform.Receipt, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return platform.Receipt{}, fmt.Errorf("encode record: %w", err)
	}
	return platform.CommitUntilKnown(ctx, r.store, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
}

// resolveInsertion reads whose record is in the row, after an insertion that
// conflicted or whose response was lost. If it is the record of this attempt, the
// insertion took effect, and no other process has sent the call.
func (r *Records) resolveInsertion(ctx context.Context, c Call, attempted record, cause error) (*Claim, error) {
	row, rec, err := r.read(ctx, c.rowKey())
	if err != nil || row.Version == 0 {
		// A delayed insertion may still be applied. It is blocked in the
		// background, so that it does not keep the key claimed.
		r.blockInsertion(ctx, c, attempted)
		return nil, notSent("claim call", errors.Join(cause, err))
	}
	if rec.Attempt == attempted.Attempt && rec.State == stateClaimed {
		return rec.newClaim(c.rowKey(), row.Version), nil
	}
	return r.awaitResponse(ctx, c, row, rec)
}

// awaitResponse returns the result of a claim whose record was inserted by another
// call. It reads the record until it holds the response, is released or lost, or
// ResponseWait is over.
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
		if row, rec, err = r.read(ctx, c.rowKey()); err != nil {
			return nil, outcomeUnknown("the record of the first try could not be read; ask again with the same key: " + err.Error())
		}
	}
}

// outcomeUnknown is the failure of a call whose first attempt may have executed.
func outcomeUnknown(message string) error {
	return failure.New(failure.OutcomeUnknown, "claim call", "", message).WithRan(failure.RanUnknown).WithRetry(time.Second)
}

// claimReleased claims a call whose previous holder released it without having
// sent it.
func (r *Records) claimReleased(ctx context.Context, c Call, version int64) (*Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ClaimTimeout)
	defer cancel()
	rec := r.newRecord(c, uuid.NewString())
	receipt, err := r.write(ctx, c.rowKey(), version, rec)
	if err == nil {
		return rec.newClaim(c.rowKey(), receipt.Versions[0]), nil
	}
	return r.resolveFailedClaim(ctx, c, rec, err)
}

// storedResponse returns a claim with the stored response of a finished call. If
// the response cannot be read or is no longer kept, it returns
// failure.OutcomeUnknown, which says that the call was executed.
func (r *Records) storedResponse(ctx context.Context, c Call, row platform.Row, rec record) (*Claim, error) {
	claim := rec.newClaim(c.rowKey(), row.Version)
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
