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

// weightsKey is the row of the fleet's rate for the weight store.
const weightsKey = "orders/weights"

// Weights shares the weight store's rate limit among the fleet: a token
// bucket in one row, from which each load draws a token. The stamp in the row
// never goes back, so however the routers' wall clocks differ or jump, the
// tokens drawn are at most the burst, and the rate over the time by the clock
// that is furthest ahead.
type WeightLimiter struct {
	settings Settings
	table    platform.Table
	clock    clock.Clock
}

// NewWeights returns this router's part of the limit.
func NewWeightLimiter(s Settings, table platform.Table, c clock.Clock) *WeightLimiter {
	return &WeightLimiter{settings: s, table: table, clock: c}
}

// bucket is the content of the row.
type bucket struct {
	Level float64 `json:"level"`
	// AtMS is the wall clock of the last refill.
	AtMS int64 `json:"at_ms"`
}

// Take waits until one load may start, or until ctx ends.
func (w *WeightLimiter) Wait(ctx context.Context) error {
	for {
		wait, err := w.try(ctx)
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

// try draws a token, or returns how long to wait for one.
func (w *WeightLimiter) try(ctx context.Context) (time.Duration, error) {
	rows, err := w.table.Get(ctx, weightsKey)
	if err != nil {
		return 0, err
	}
	now := w.clock.Now().UnixMilli()
	b := bucket{Level: w.settings.WeightBurst, AtMS: now}
	if rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &b); err != nil {
			return 0, fmt.Errorf("decode %s: %w", weightsKey, err)
		}
	}
	b = b.refilled(now, w.settings)
	if b.Level < 1 {
		minutes := (1 - b.Level) / w.settings.WeightLoadsPerMinute
		return max(time.Millisecond, time.Duration(minutes*float64(time.Minute))), nil
	}
	b.Level--
	value, err := json.Marshal(b)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", weightsKey, err)
	}
	_, err = platform.CommitUntilKnown(ctx, w.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: weightsKey, Version: rows[0].Version}},
		Writes: []platform.Write{{Key: weightsKey, Value: value}},
	})
	return 0, err
}

// refilled adds the tokens of the time since the stamp.
func (b bucket) refilled(nowMS int64, s Settings) bucket {
	if nowMS <= b.AtMS {
		return b
	}
	minutes := float64(nowMS-b.AtMS) / float64(time.Minute/time.Millisecond)
	return bucket{Level: min(s.WeightBurst, b.Level+minutes*s.WeightLoadsPerMinute), AtMS: nowMS}
}
