package fleetconfig

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

// stepCommit is the step that failures of a commit name.
const stepCommit = "commit configuration"

// Commit writes a change as the next revision and waits up to
// Settings.AcceptWait for it to be accepted. If change.Base is not the newest
// revision, it returns a failure.Conflict that wraps a *ConflictError with the
// revisions committed since the base. After a failure whose Ran is unknown, the
// change may have been committed; it is safe to retry it with the same ID.
func (k *Keeper) Commit(ctx context.Context, change Change) (RevisionStatus, error) {
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if err := k.validateChange(ctx, change); err != nil {
		return RevisionStatus{}, err
	}
	delta, err := json.Marshal(change.Ops)
	if err != nil {
		return RevisionStatus{}, fmt.Errorf("encode change: %w", err)
	}
	entry := revlog.Entry{OpID: change.ID, Author: change.Author, Note: change.Note, At: k.clock.Now().UTC(), Delta: delta}
	revision, err := k.history.Append(ctx, change.Base, entry)
	if err != nil {
		return RevisionStatus{}, wrapAppendError(ctx, err)
	}
	k.events.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionCommitted, Revision: revision, Detail: change.Author})
	entry.Revision = revision
	return k.applyCommitted(ctx, entry)
}

// applyCommitted applies a revision that this router has committed, loads the
// revisions before it if some are missing, and starts tracking its acceptance.
func (k *Keeper) applyCommitted(ctx context.Context, entry revlog.Entry) (RevisionStatus, error) {
	if err := k.applyEntries([]revlog.Entry{entry}); err != nil {
		return RevisionStatus{}, err
	}
	if k.Catalog().Revision < entry.Revision {
		if err := k.loadWithTimeout(ctx); err != nil {
			k.log.Warn("could not load the committed revision from the platform", "err", err)
		}
	}
	if entry.Revision%k.settings.SnapshotEvery == 0 {
		k.storeSnapshot(ctx)
	}
	k.acceptance.track(entry.Revision, k.clock.Now())
	if k.members == nil {
		k.updateAcceptance(nil, entry.Revision)
	}
	return k.AwaitAcceptance(ctx, entry.Revision, k.settings.AcceptWait), nil
}

// storeSnapshot stores the applied revision as a snapshot. A failure is only
// logged, since without the snapshot later loads merely read more revisions.
func (k *Keeper) storeSnapshot(ctx context.Context) {
	document := k.Catalog().Document()
	state, err := json.Marshal(document)
	if err == nil {
		err = k.history.PutSnapshot(ctx, revlog.Snapshot{Revision: document.Revision, State: state})
	}
	if err != nil {
		k.log.Warn("could not write a configuration snapshot", "revision", document.Revision, "err", err)
	}
}

// AwaitAcceptance waits up to maxWait for the revision to be accepted and
// returns its status. The revision must be committed and tracked.
func (k *Keeper) AwaitAcceptance(ctx context.Context, revision int64, maxWait time.Duration) RevisionStatus {
	timeout := k.clock.After(maxWait)
	for {
		result, changed := k.acceptance.status(revision)
		if result.Accepted {
			return result
		}
		select {
		case <-changed:
		case <-timeout:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

// Status waits up to wait for a revision to be accepted and returns its status.
// It works at any router: one that did not commit the revision starts to track
// and push it.
func (k *Keeper) Status(ctx context.Context, revision int64, wait time.Duration) (RevisionStatus, error) {
	if revision > k.Catalog().Revision {
		if err := k.loadWithTimeout(ctx); err != nil {
			return RevisionStatus{}, failure.Wrap(failure.StoreUnavailable, "read revision", "platform", err)
		}
		if revision > k.Catalog().Revision {
			return RevisionStatus{}, failure.New(failure.NotFound, "read revision", "", fmt.Sprintf("there is no revision %d", revision))
		}
	}
	k.acceptance.track(revision, k.clock.Now())
	return k.AwaitAcceptance(ctx, revision, wait), nil
}

// validateChange applies the change to its base revision and validates the
// resulting document before anything is written.
func (k *Keeper) validateChange(ctx context.Context, change Change) error {
	if k.Catalog().Revision < change.Base {
		if err := k.loadWithTimeout(ctx); err != nil {
			return failure.Wrap(failure.StoreUnavailable, stepCommit, "platform", err)
		}
	}
	index := k.Catalog()
	if index.Revision < change.Base {
		return failure.New(failure.BadRequest, stepCommit, "", fmt.Sprintf("there is no revision %d yet", change.Base))
	}
	if index.Revision > change.Base {
		return nil // Append refuses it and returns the revisions in between
	}
	document := index.Document()
	if err := applyOps(&document, change.Ops); err != nil {
		return err
	}
	document.Revision = change.Base + 1
	if _, err := index.Next(document, changeSetOf(change.Ops)); err != nil {
		return failure.Wrap(failure.BadRequest, "check configuration", "", err)
	}
	return nil
}

// wrapAppendError converts an error of an append to the log into a failure. The
// outcome of the append is unknown if ctx ended before the store responded.
func wrapAppendError(ctx context.Context, err error) error {
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

// Replace commits the difference between change.Base, which must be the newest
// revision, and a whole document. If there is no difference, it commits nothing
// and returns the status of the base.
func (k *Keeper) Replace(ctx context.Context, change Change, document catalog.Document) (RevisionStatus, error) {
	base, err := k.DocumentAt(ctx, change.Base)
	if err != nil {
		return RevisionStatus{}, err
	}
	if change.Ops, err = Diff(base, document); err != nil {
		return RevisionStatus{}, err
	}
	if len(change.Ops) == 0 {
		return k.Status(ctx, change.Base, k.settings.AcceptWait)
	}
	return k.Commit(ctx, change)
}

// Rollback commits the document of an earlier revision, target, as a new
// revision on top of change.Base.
func (k *Keeper) Rollback(ctx context.Context, change Change, target int64) (RevisionStatus, error) {
	document, err := k.DocumentAt(ctx, target)
	if err != nil {
		return RevisionStatus{}, err
	}
	if change.Note == "" {
		change.Note = fmt.Sprintf("roll back to revision %d", target)
	}
	return k.Replace(ctx, change, document)
}
