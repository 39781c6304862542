package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform"
)

// bucketKey is the key of the row that holds the token bucket for the weight store.
const bucketKey = "orders/weights"

// WeightLimiter shares the weight store's rate limit among the routers of the fleet.
// It is a token bucket in one row of the table, from which each load takes a token.
// The refill time in the row never decreases. Therefore, however the wall clocks of
// the routers differ or jump, the number of tokens taken is at most the burst plus
// the rate times the elapsed time by the clock that is furthest ahead.
type WeightLimiter struct {
	settings Settings
	table    platform.Table
	clock    clock.Clock
}

// NewWeightLimiter returns a limiter on the row in table, which all routers share.
func NewWeightLimiter(s Settings, table platform.Table, c clock.Clock) *WeightLimiter {
	return &WeightLimiter{settings: s, table: table, clock: c}
}

// tokenBucket is the JSON value of the row.
type tokenBucket struct {
	Tokens float64 `json:"level"`
	// RefilledAtMS is the time of the last refill in Unix milliseconds, by the
	// wall clock of the router that refilled the bucket.
	RefilledAtMS int64 `json:"at_ms"`
}

// Wait blocks until it has taken a token, so that one load may start. It returns an
// error if the table cannot be used or if ctx ends first.
func (w *WeightLimiter) Wait(ctx context.Context) error {
	for {
		wait, err := w.tryTake(ctx)
		if err != nil && !platform.IsConflict(err) {
			return fmt.Errorf("draw from the weight store's rate: %w", err)
		}
		if err == nil && wait == 0 {
			return nil
		}
		if err := clock.Sleep(ctx, w.clock, wait); err != nil {
			return fmt.Errorf("wait for the weight store's rate: %w", err)
		}
	}
}

// tryTake takes a token and returns 0, or returns how long to wait until one is
// available. If another router has changed the row at the same time, it returns a
// conflict and may be retried.
func (w *WeightLimiter) tryTake(ctx context.Context) (time.Duration, error) {
	rows, err := w.table.Get(ctx, bucketKey)
	if err != nil {
		return 0, err
	}
	now := w.clock.Now().UnixMilli()
	b := tokenBucket{Tokens: w.settings.WeightBurst, RefilledAtMS: now}
	if rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &b); err != nil {
			return 0, fmt.Errorf("decode %s: %w", bucketKey, err)
		}
	}
	b = b.refilled(now, w.settings)
	if b.Tokens < 1 {
		minutes := (1 - b.Tokens) / w.settings.WeightLoadsPerMinute
		return max(time.Millisecond, time.Duration(minutes*float64(time.Minute))), nil
	}
	b.Tokens--
	value, err := json.Marshal(b)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", bucketKey, err)
	}
	_, err = platform.CommitUntilKnown(ctx, w.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: bucketKey, Version: rows[0].Version}},
		Writes: []platform.Write{{Key: bucketKey, Value: value}},
	})
	return 0, err
}

// refilled returns the bucket with the tokens added that are due since the last
// refill. If nowMS is before the last refill, since the clock is behind, the bucket is
// returned without changes.
func (b tokenBucket) refilled(nowMS int64, s Settings) tokenBucket {
	if nowMS <= b.RefilledAtMS {
		return b
	}
	minutes := float64(nowMS-b.RefilledAtMS) / float64(time.Minute/time.Millisecond)
	return tokenBucket{Tokens: min(s.WeightBurst, b.Tokens+minutes*s.WeightLoadsPerMinute), RefilledAtMS: nowMS}
}
