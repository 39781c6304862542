package conf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/revlog"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// stepHistory names the reading of the history in failures.
const stepHistory = "read history"

// History returns the revisions after the one given, oldest first, at most
// limit.
func (k *Keeper) History(ctx context.Context, after int64, limit int) ([]Revision, error) {
	entries, err := k.history.Between(ctx, after, after+int64(limit))
	if err != nil {
		return nil, failure.Wrap(failure.StoreUnavailable, stepHistory, "platform", err)
	}
	return decodeEntries(entries)
}

// At returns the document of a revision.
func (k *Keeper) DocumentAt(ctx context.Context, revision int64) (catalog.Document, error) {
	if index := k.Catalog(); index.Revision == revision {
		return index.Document(), nil
	}
	snapshot, entries, err := k.history.Load(ctx)
	if err == nil && snapshot.Revision > revision {
		snapshot = revlog.Snapshot{}
		entries, err = k.history.Between(ctx, 0, revision)
	}
	if err != nil {
		return catalog.Document{}, failure.Wrap(failure.StoreUnavailable, stepHistory, "platform", err)
	}
	return rebuild(snapshot, entries, revision)
}

// rebuild applies the entries up to a revision to a snapshot.
func rebuild(snapshot revlog.Snapshot, entries []revlog.Entry, revision int64) (catalog.Document, error) {
	var document catalog.Document
	if snapshot.Revision > 0 {
		if err := json.Unmarshal(snapshot.State, &document); err != nil {
			return document, fmt.Errorf("decode snapshot %d: %w", snapshot.Revision, err)
		}
	}
	for _, e := range entries {
		if e.Revision > revision {
			break
		}
		r, err := decodeEntry(e)
		if err != nil {
			return document, fmt.Errorf("decode revision %d: %w", e.Revision, err)
		}
		if err := apply(&document, r.Ops); err != nil {
			return document, fmt.Errorf("apply revision %d: %w", e.Revision, err)
		}
		document.Revision = e.Revision
	}
	if document.Revision != revision {
		return document, failure.Wrap(failure.NotFound, stepHistory, "", errors.New("there is no such revision"))
	}
	return document, nil
}

// Compare returns the operations that lead from one revision to another.
func (k *Keeper) Compare(ctx context.Context, from, to int64) ([]Op, error) {
	before, err := k.DocumentAt(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := k.DocumentAt(ctx, to)
	if err != nil {
		return nil, err
	}
	return Diff(before, after)
}
