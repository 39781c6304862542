package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform"
)

// keyTime returns the time at which a key was created, if it is a UUID of version
// 7, which contains it.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// checkKeyAge refuses a key that was created longer ago than the retention, as
// far as the key tells, because its record may have been deleted.
func (r *Records) checkKeyAge(key string) error {
	createdAt, hasTime := keyTime(key)
	if !hasTime || r.clock.Now().Sub(createdAt) < r.settings.Retention {
		return nil
	}
	return failure.New(failure.Conflict, "claim call", "",
		fmt.Sprintf("the Idempotency-Key is a UUID made more than %s ago, and its record may be gone; choose a new one", r.settings.Retention))
}

// SweepCount holds the numbers of records that a sweep handled.
type SweepCount struct {
	// Seen records were read, Deleted ones were removed, and Compacted ones
	// were kept without their response.
	Seen, Deleted, Compacted int
}

// Sweep cleans up to limit records, beginning at the row key cursor; "" begins at
// the first record. It returns the cursor of the next call, or "" at the end. No
// call can be executed twice because of a sweep:
//
//   - A record is deleted only if its key contains the time of its creation, as a
//     UUID of version 7 does, and that is at least twice the retention ago. Claim
//     refuses keys older than one retention; the second retention allows for
//     clocks that differ and for claims in flight.
//   - Of any other record only the response is removed, once the record is older
//     than the retention. The record stays, so that its key stays used.
//
// Several processes may sweep concurrently.
func (r *Records) Sweep(ctx context.Context, cursor string, limit int) (string, SweepCount, error) {
	var count SweepCount
	if cursor == "" {
		cursor = Prefix
	}
	rows, err := r.store.Range(ctx, cursor, platform.PrefixEnd(Prefix), limit)
	if err != nil {
		return cursor, count, fmt.Errorf("range records: %w", err)
	}
	for _, row := range rows {
		count.Seen++
		if err := r.sweepRow(ctx, row, &count); err != nil {
			return row.Key, count, err
		}
	}
	if len(rows) < limit {
		return "", count, nil
	}
	return rows[len(rows)-1].Key + "\x00", count, nil
}

// sweepRow deletes or compacts one record if it is old enough. A record that
// another process has changed meanwhile is left as it is.
func (r *Records) sweepRow(ctx context.Context, row platform.Row, count *SweepCount) error {
	var rec record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return fmt.Errorf("decode record %s: %w", row.Key, err)
	}
	now := r.clock.Now()
	write := platform.Write{Key: row.Key}
	createdAt, hasTime := keyTime(row.Key[slashBeforeKey(row.Key)+1:])
	switch {
	case hasTime && now.Sub(createdAt) >= 2*r.settings.Retention:
		write.Delete = true
		count.Deleted++
	case now.Sub(rec.UpdatedAt) >= r.settings.Retention && (rec.Response != nil || rec.Object != ""):
		rec.Response, rec.Object = nil, ""
		value, err := json.Marshal(rec)
		if err != nil {
			return fmt.Errorf("encode record %s: %w", row.Key, err)
		}
		write.Value = value
		count.Compacted++
	default:
		return nil
	}
	_, err := platform.CommitUntilKnown(ctx, r.store, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: row.Key, Version: row.Version}},
		Writes: []platform.Write{write},
	})
	if err != nil && !platform.IsConflict(err) {
		return fmt.Errorf("clean record %s: %w", row.Key, err)
	}
	return nil
}

// slashBeforeKey returns the index of the slash before the caller's key in the key
// of a row. If the caller's key contains slashes, it is no UUID, and keyTime finds
// no time in it.
func slashBeforeKey(key string) int {
	for i, slashes := 0, 0; i < len(key); i++ {
		if key[i] != '/' {
			continue
		}
		if slashes++; slashes == 3 {
			return i
		}
	}
	return len(key) - 1
}
