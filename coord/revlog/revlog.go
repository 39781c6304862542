// Package revlog keeps a log of numbered revisions in the platform's table.
//
// Each revision is one row, which holds the change from the previous revision.
// A change is made against a base revision; if another change has been appended
// since, the append fails with an error that contains that other change.
// Revisions are numbered from 1 without gaps and are never rewritten. The owner
// of the log can store a snapshot of the whole state in the object store, so that
// a reader need not start at revision 1.
package revlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/platform"
)

// pageRows is the number of rows read by one call of the store.
const rowsPerRead = 256

// Entry is one revision.
type Entry struct {
	Revision int64 `json:"revision" cbor:"1,keyasint"`
	// OpID identifies the change. An Append that is retried with the same id is
	// applied once.
	OpID   string `json:"op_id" cbor:"2,keyasint"`
	Author string `json:"author,omitempty" cbor:"3,keyasint,omitempty"`
	Note   string `json:"note,omitempty" cbor:"4,keyasint,omitempty"`
	// At is the author's wall clock. It is only shown, never compared.
	At time.Time `json:"at" cbor:"5,keyasint"`
	// Delta is the change, in an encoding that the owner of the log chooses.
	Delta []byte `json:"delta" cbor:"6,keyasint"`
}

// ConflictError is returned by Append if other changes were appended after the
// base revision. Nothing was written.
type ConflictError struct {
	// Base is the revision against which the refused change was made.
	Base int64
	// Others are the changes after Base, oldest first.
	Others []Entry
}

// Error describes the first of the other changes.
func (e *ConflictError) Error() string {
	if len(e.Others) == 0 {
		return fmt.Sprintf("revision %d is not the newest", e.Base)
	}
	first := e.Others[0]
	return fmt.Sprintf("revision %d is not the newest: %q made revision %d at %s (%s)",
		e.Base, first.Author, first.Revision, first.At.UTC().Format(time.RFC3339), first.Note)
}

// ErrNotFound is returned if a revision does not exist.
var ErrNotFound = errors.New("no such revision")

// Store is the part of the platform that a log uses.
type Store interface {
	platform.Table
	platform.Objects
}

// Log is a log of revisions. It caches nothing and is safe for concurrent use.
type Log struct {
	store  Store
	prefix string
}

// New returns the log whose row keys and object names start with prefix.
func New(store Store, prefix string) *Log { return &Log{store: store, prefix: prefix} }

// headKey returns the key of the row whose version is the newest revision.
func (l *Log) headKey() string { return l.prefix + "/head" }

// snapshotKey returns the key of the row that names the newest snapshot.
func (l *Log) snapshotKey() string { return l.prefix + "/snapshot" }

// entryKey returns the key of a revision's row. The number is padded, so that the
// keys sort by revision.
func (l *Log) entryKey(revision int64) string {
	return fmt.Sprintf("%s/revision/%016d", l.prefix, revision)
}

// objectName returns the object name of a revision's snapshot.
func (l *Log) objectName(revision int64) string {
	return fmt.Sprintf("%s/snapshot/%016d", l.prefix, revision)
}

// Head returns the number of the newest revision, or 0 if there is none.
func (l *Log) Head(ctx context.Context) (int64, error) {
	rows, err := l.store.Get(ctx, l.headKey())
	if err != nil {
		return 0, fmt.Errorf("read head of %s: %w", l.prefix, err)
	}
	return rows[0].Version, nil
}

// Append writes e as the revision after base and returns its number. If other
// changes were appended after base, it returns a *ConflictError; if an earlier
// attempt with the same OpID was applied, it returns the revision of that
// attempt. A write whose response was lost is resolved by reading the log.
func (l *Log) Append(ctx context.Context, base int64, e Entry) (int64, error) {
	e.Revision = base + 1
	value, err := json.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("encode revision %d: %w", e.Revision, err)
	}
	_, err = platform.CommitUntilKnown(ctx, l.store, platform.Txn{
		OpID:  e.OpID,
		Conds: []platform.Cond{{Key: l.headKey(), Version: base}},
		Writes: []platform.Write{
			{Key: l.headKey(), Value: []byte(e.OpID)},
			{Key: l.entryKey(e.Revision), Value: value},
		},
	})
	kind := platform.KindOf(err)
	switch {
	case err == nil:
		return e.Revision, nil
	case kind == platform.KindConflict, kind == platform.KindUnknown && ctx.Err() == nil:
		return l.resolveAppend(ctx, base, e.OpID)
	}
	return 0, fmt.Errorf("append to %s: %w", l.prefix, err)
}

// resolveAppend reads the revisions after base, after an append that conflicted or
// whose outcome is unknown. It returns the revision of opID if that was applied,
// and a *ConflictError if not.
func (l *Log) resolveAppend(ctx context.Context, base int64, opID string) (int64, error) {
	others, err := l.Since(ctx, base)
	if err != nil {
		return 0, err
	}
	for _, e := range others {
		if e.OpID == opID {
			return e.Revision, nil
		}
	}
	return 0, &ConflictError{Base: base, Others: others}
}

// Since returns the revisions above after, in order and without gaps.
func (l *Log) Since(ctx context.Context, after int64) ([]Entry, error) {
	return l.Between(ctx, after, 0)
}

// Between returns the revisions above after and up to last, in order; last 0 means
// the newest. If the rows that were read have a gap, the result ends before it.
func (l *Log) Between(ctx context.Context, after, last int64) ([]Entry, error) {
	var entries []Entry
	end := platform.PrefixEnd(l.prefix + "/revision/")
	if last > 0 {
		end = l.entryKey(last + 1)
	}
	for next := after + 1; ; {
		rows, err := l.store.Range(ctx, l.entryKey(next), end, rowsPerRead)
		if err != nil {
			return nil, fmt.Errorf("read revisions of %s: %w", l.prefix, err)
		}
		for _, row := range rows {
			e, err := decode(row)
			if err != nil {
				return nil, err
			}
			if e.Revision != next {
				return entries, nil
			}
			entries = append(entries, e)
			next++
		}
		if len(rows) < rowsPerRead {
			return entries, nil
		}
	}
}

// Entry returns one revision, or ErrNotFound if it does not exist.
func (l *Log) Entry(ctx context.Context, revision int64) (Entry, error) {
	rows, err := l.store.Get(ctx, l.entryKey(revision))
	if err != nil {
		return Entry{}, fmt.Errorf("read revision %d of %s: %w", revision, l.prefix, err)
	}
	if rows[0].Version == 0 {
		return Entry{}, fmt.Errorf("revision %d of %s: %w", revision, l.prefix, ErrNotFound)
	}
	return decode(rows[0])
}

// decode decodes the row of a revision.
func decode(row platform.Row) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return e, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	return e, nil
}
