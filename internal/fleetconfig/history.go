package fleetconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/revlog"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// stepHistory is the step that failures to read the history name.
const stepHistory = "read history"

// History returns at most limit revisions after the given one, oldest first.
func (k *Keeper) History(ctx context.Context, after int64, limit int) ([]Revision, error) {
	entries, err := k.history.Between(ctx, after, after+int64(limit))
	if err != nil {
		return nil, failure.Wrap(failure.StoreUnavailable, stepHistory, "platform", err)
	}
	return decodeEntries(entries)
}

// DocumentAt returns the document of a revision. It is read from the log unless
// it is the applied one. A revision that does not exist is failure.NotFound.
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

// rebuild applies the entries up to and including a revision to a snapshot, or to
// the empty document if the snapshot is empty.
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
		if err := applyOps(&document, r.Ops); err != nil {
			return document, fmt.Errorf("apply revision %d: %w", e.Revision, err)
		}
		document.Revision = e.Revision
	}
	if document.Revision != revision {
		return document, failure.Wrap(failure.NotFound, stepHistory, "", errors.New("there is no such revision"))
	}
	return document, nil
}

// Compare returns the operations that turn the document of revision from into
// that of revision to.
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
