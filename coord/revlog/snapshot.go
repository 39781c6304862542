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

// Snapshot is the whole state at a revision.
type Snapshot struct {
	// Revision is 0 and State nil if there is no snapshot.
	Revision int64
	State    []byte
}

// PutSnapshot stores the state at a revision, unless there is one as new. The
// object is complete before the table names it.
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
		return fmt.Errorf("name snapshot %d of %s: %w", s.Revision, l.prefix, err)
	}
	return nil
}

// newestSnapshot returns the row that names the newest snapshot, and its
// revision or 0.
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

// Load returns the newest snapshot and the revisions after it.
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

// Follow calls apply for each revision after the one given, in order, and
// looks for new ones every interval until ctx ends or apply fails. Failed
// reads are handed to failed and tried again.
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
