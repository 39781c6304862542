package revlog

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Snapshot is the whole state as of a revision, in an encoding that the owner of
// the log chooses.
type Snapshot struct {
	// Revision is 0, and State is nil, if there is no snapshot.
	Revision int64
	State    []byte
}

// PutSnapshot stores a snapshot unless one of the same or a later revision exists.
// The object is written before the row that names it, so that a reader never finds
// the name of an object that does not exist.
func (l *Log) PutSnapshot(ctx context.Context, s Snapshot) error {
	row, revision, err := l.newestSnapshot(ctx)
	if err != nil || revision >= s.Revision {
		return err
	}
	if err := l.store.PutObject(ctx, l.objectName(s.Revision), s.State); err != nil {
		return fmt.Errorf("put snapshot %d of %s: %w", s.Revision, l.prefix, err)
	}
	_, err = platform.CommitUntilKnown(ctx, l.store, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: l.snapshotKey(), Version: row.Version}},
		Writes: []platform.Write{{Key: l.snapshotKey(), Value: strconv.AppendInt(nil, s.Revision, 10)}},
	})
	if err != nil && !platform.IsConflict(err) {
		return fmt.Errorf("write the row of snapshot %d of %s: %w", s.Revision, l.prefix, err)
	}
	return nil
}

// newestSnapshot returns the row that names the newest snapshot and the revision
// of that snapshot, or 0 if there is none.
func (l *Log) newestSnapshot(ctx context.Context) (platform.Row, int64, error) {
	rows, err := l.store.Get(ctx, l.snapshotKey())
	if err != nil {
		return platform.Row{}, 0, fmt.Errorf("read snapshot of %s: %w", l.prefix, err)
	}
	if rows[0].Version == 0 {
		return rows[0], 0, nil
	}
	revision, err := strconv.ParseInt(string(rows[0].Value), 10, 64)
	if err != nil {
		return platform.Row{}, 0, fmt.Errorf("decode %s: %w", l.snapshotKey(), err)
	}
	return rows[0], revision, nil
}

// Load returns the newest snapshot and the revisions after it, from which the
// current state follows.
func (l *Log) Load(ctx context.Context) (Snapshot, []Entry, error) {
	_, revision, err := l.newestSnapshot(ctx)
	if err != nil {
		return Snapshot{}, nil, err
	}
	s := Snapshot{Revision: revision}
	if revision > 0 {
		if s.State, err = l.store.GetObject(ctx, l.objectName(revision)); err != nil {
			return Snapshot{}, nil, fmt.Errorf("get snapshot %d of %s: %w", revision, l.prefix, err)
		}
	}
	entries, err := l.Since(ctx, revision)
	return s, entries, err
}

// Watch calls apply for each revision above after, in order, and reads new ones
// every interval. It returns nil when ctx ends, and an error if apply fails. A
// failed read is passed to onError and retried after interval.
func (l *Log) Watch(ctx context.Context, c clock.Clock, after int64, interval time.Duration, apply func(Entry) error, onError func(error)) error {
	for {
		entries, err := l.Since(ctx, after)
		if err != nil && ctx.Err() == nil {
			onError(err)
		}
		for _, e := range entries {
			if err := apply(e); err != nil {
				return fmt.Errorf("apply revision %d of %s: %w", e.Revision, l.prefix, err)
			}
			after = e.Revision
		}
		if err := clock.Sleep(ctx, c, interval); err != nil {
			return nil
		}
	}
}
