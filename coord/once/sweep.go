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

// keyTime returns the time that a key carries, if it is a UUID of version 7.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// checkAge refuses a key that carries a time before the retention: its record
// may be gone.
func (r *Records) checkKeyAge(key string) error {
	createdAt, hasTime := keyTime(key)
	if !hasTime || r.clock.Now().Sub(createdAt) < r.settings.Retention {
		return nil
	}
	return failure.New(failure.Conflict, "claim call", "",
		fmt.Sprintf("the Idempotency-Key is a UUID made more than %s ago, and its record may be gone; choose a new one", r.settings.Retention))
}

// SweepCount counts what a sweep did.
type SweepCount struct {
	// Seen, Deleted and Compacted count records.
	Seen, Deleted, Compacted int
}

// Sweep cleans up to limit records, beginning at the row cursor, and returns
// where to go on, or "" at the end. No call can run twice because of it:
//
//   - A record is deleted only if its key carries its own time, as a UUID of
//     version 7 does, and that is twice the retention ago. Claim has refused
//     that key by its age since one retention ago; the other one allows for
//     clocks that differ and for claims in flight.
//   - Of any other record only the answer is dropped, once it is older than
//     the retention; the record itself stays and keeps the key used.
//
// Several processes may sweep at once.
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

// sweepRow cleans one record.
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

// lastSlash returns the index of the slash before the caller's key in a row's
// key. A key with a slash of its own carries no time.
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
