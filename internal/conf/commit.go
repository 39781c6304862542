package conf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/revlog"
	"daisyslip.dev/daisyslip/internal/catalog"
)

const stepCommit = "commit configuration"

// Commit writes a change as the next revision and waits a little for it to
// be accepted. A change against another revision than the newest is a
// failure.Conflict that wraps a *ConflictError with the other changes. After
// a failure with Ran unknown the same change, with its ID, may be tried
// again.
func (k *Keeper) Commit(ctx context.Context, change Change) (RevisionStatus, error) {
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if err := k.check(ctx, change); err != nil {
		return RevisionStatus{}, err
	}
	delta, err := json.Marshal(change.Ops)
	if err != nil {
		return RevisionStatus{}, fmt.Errorf("encode change: %w", err)
	}
	entry := revlog.Entry{OpID: change.ID, Author: change.Author, Note: change.Note, At: k.clock.Now().UTC(), Delta: delta}
	revision, err := k.history.Append(ctx, change.Base, entry)
	if err != nil {
		return RevisionStatus{}, commitFailure(ctx, err)
	}
	k.events.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionCommitted, Revision: revision, Detail: change.Author})
	entry.Revision = revision
	return k.afterCommit(ctx, entry)
}

// afterCommit puts the own change in force at once, unless others lie
// between, and sees to its acceptance.
func (k *Keeper) afterCommit(ctx context.Context, entry revlog.Entry) (RevisionStatus, error) {
	if err := k.apply([]revlog.Entry{entry}); err != nil {
		return RevisionStatus{}, err
	}
	if k.Catalog().Revision < entry.Revision {
		if err := k.loadBounded(ctx); err != nil {
			k.log.Warn("Load failed.", "err", err)
		}
	}
	if entry.Revision%k.settings.SnapshotEvery == 0 {
		k.snapshot(ctx)
	}
	k.accept.track(entry.Revision, k.clock.Now())
	if k.members == nil {
		k.settle(nil, entry.Revision)
	}
	return k.AwaitAcceptance(ctx, entry.Revision, k.settings.AcceptWait), nil
}

// snapshot stores the revision in force; a failure only makes later loads
// longer.
func (k *Keeper) snapshot(ctx context.Context) {
	document := k.Catalog().Document()
	state, err := json.Marshal(document)
	if err == nil {
		err = k.history.PutSnapshot(ctx, revlog.Snapshot{Revision: document.Revision, State: state})
	}
	if err != nil {
		k.log.Warn("Snapshot failed.", "revision", document.Revision, "err", err)
	}
}

// Await waits until the revision is accepted, at most for d, and says how far
// it has come. The revision must be committed.
func (k *Keeper) AwaitAcceptance(ctx context.Context, revision int64, d time.Duration) RevisionStatus {
	bound := k.clock.After(d)
	for {
		result, changed := k.accept.result(revision)
		if result.Accepted {
			return result
		}
		select {
		case <-changed:
		case <-bound:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

// Status says how far a revision has come, at any router: one that did not
// commit it starts to ask the others itself.
func (k *Keeper) Status(ctx context.Context, revision int64, wait time.Duration) (RevisionStatus, error) {
	if revision > k.Catalog().Revision {
		if err := k.loadBounded(ctx); err != nil {
			return RevisionStatus{}, failure.Wrap(failure.StoreUnavailable, "read revision", "platform", err)
		}
		if revision > k.Catalog().Revision {
			return RevisionStatus{}, failure.New(failure.NotFound, "read revision", "", fmt.Sprintf("there is no revision %d", revision))
		}
	}
	k.accept.track(revision, k.clock.Now())
	return k.AwaitAcceptance(ctx, revision, wait), nil
}

// check applies the change to the revision it was made against and validates
// the whole document, before anything is written.
func (k *Keeper) check(ctx context.Context, change Change) error {
	if k.Catalog().Revision < change.Base {
		if err := k.loadBounded(ctx); err != nil {
			return failure.Wrap(failure.StoreUnavailable, stepCommit, "platform", err)
		}
	}
	index := k.Catalog()
	if index.Revision < change.Base {
		return failure.New(failure.BadRequest, stepCommit, "", fmt.Sprintf("there is no revision %d yet", change.Base))
	}
	if index.Revision > change.Base {
		return nil // Append refuses it and finds out who came first
	}
	document := index.Document()
	if err := apply(&document, change.Ops); err != nil {
		return err
	}
	document.Revision = change.Base + 1
	if _, err := index.Next(document, touchedBy(change.Ops)); err != nil {
		return failure.Wrap(failure.BadRequest, "check configuration", "", err)
	}
	return nil
}

// commitFailure types the error of an append.
func commitFailure(ctx context.Context, err error) error {
	var conflict *revlog.ConflictError
	if errors.As(err, &conflict) {
		others, decodeErr := decodeEntries(conflict.Others)
		if decodeErr != nil {
			return decodeErr
		}
		return failure.Wrap(failure.Conflict, stepCommit, "", &ConflictError{Others: others})
	}
	f := failure.Wrap(failure.StoreUnavailable, stepCommit, "platform", err)
	if ctx.Err() != nil {
		f = f.WithRan(failure.RanUnknown)
	}
	return f
}

// Replace commits the difference between the newest revision, which must be
// base, and a whole document.
func (k *Keeper) Replace(ctx context.Context, change Change, document catalog.Document) (RevisionStatus, error) {
	from, err := k.DocumentAt(ctx, change.Base)
	if err != nil {
		return RevisionStatus{}, err
	}
	if change.Ops, err = Diff(from, document); err != nil {
		return RevisionStatus{}, err
	}
	if len(change.Ops) == 0 {
		return k.Status(ctx, change.Base, k.settings.AcceptWait)
	}
	return k.Commit(ctx, change)
}

// Rollback commits, on top of base, the document of an earlier revision as a
// new revision.
func (k *Keeper) Rollback(ctx context.Context, change Change, to int64) (RevisionStatus, error) {
	document, err := k.DocumentAt(ctx, to)
	if err != nil {
		return RevisionStatus{}, err
	}
	if change.Note == "" {
		change.Note = fmt.Sprintf("roll back to revision %d", to)
	}
	return k.Replace(ctx, change, document)
}
