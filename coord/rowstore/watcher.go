package rowstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Watcher reads the rows of a table that are in the empty partition, and then
// watches the table's changes. It is not safe for concurrent use: all calls come
// from one goroutine, which also runs the callbacks.
type Watcher struct {
	Store Store
	Table string
	// Wait is the longest time that one call for changes waits for a change.
	Wait  time.Duration
	Clock clock.Clock
	Log   *slog.Logger
	// OnSnapshot receives all rows after a read of the whole table. OnChange
	// receives the rows that changed, including removed ones.
	OnSnapshot, OnChange func(rows []Row)
	// OnDisconnect is called when calls to the store start to fail, and OnRead
	// after each successful call, before its rows are handed over. Either may be
	// nil.
	OnDisconnect, OnRead func()

	since            int64 // version of the last snapshot; 0 if the whole table must be read
	backoff          time.Duration
	unreachableSince time.Time // when calls began to fail; zero while they succeed
}

// Bounds of the backoff after failed calls.
const (
	// minBackoff is the backoff after the first failed call. It doubles with each
	// further one up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Step makes one call to the store and hands over its rows. After a failed call it
// waits for the backoff.
func (w *Watcher) Step(ctx context.Context) {
	readAll := w.since == 0 || w.unreachableFor() > resyncAfter
	snap, err := w.call(ctx, readAll)
	switch {
	case errors.Is(err, ErrCompacted):
		w.Log.Info("change history of the store is compacted, reading the whole table again", "table", w.Table, "since", w.since)
		w.since = 0
		return
	case err != nil:
		w.handleError(ctx, err)
		return
	}
	w.handleSuccess()
	if readAll {
		w.OnSnapshot(snap.Rows)
	} else {
		w.OnChange(snap.Rows)
	}
	w.since = max(w.since, snap.Version)
}

// resyncAfter is how long the store may be unreachable before the table is read instead
// of its changes. The changes hold a row once for each time it was written, of which only
// the last counts.
const resyncAfter = 2 * time.Second

// unreachableFor returns for how long calls to the store have failed.
func (w *Watcher) unreachableFor() time.Duration {
	if w.unreachableSince.IsZero() {
		return 0
	}
	return w.Clock.Now().Sub(w.unreachableSince)
}

// Timeouts of calls to the store.
const (
	// snapshotTimeout bounds the wait for the response to a read of the table. A store
	// responds within some milliseconds, and within some hundred milliseconds while it
	// is slow.
	snapshotTimeout = 1500 * time.Millisecond
	// changesTimeoutSlack is how much longer than its wait a call for changes may
	// take to begin its response.
	changesTimeoutSlack = 700 * time.Millisecond
	// stallTimeout is how long a response may pause. It allows for a retransmission.
	stallTimeout = 700 * time.Millisecond
	// maxTransferTime bounds a response that has begun. A large table takes seconds on a
	// narrow link that is in use, and an aborted transfer starts anew.
	maxTransferTime = 10 * time.Second
)

// call reads the whole table or its next changes.
func (w *Watcher) call(ctx context.Context, readAll bool) (Snapshot, error) {
	timeout := w.Wait + changesTimeoutSlack
	if readAll {
		timeout = snapshotTimeout
	}
	ctx, cancel := withStallTimeout(ctx, timeout, stallTimeout, timeout+maxTransferTime)
	defer cancel()
	if readAll {
		return w.Store.Read(ctx, w.Table, "")
	}
	return w.Store.Changes(ctx, w.Table, w.since, w.Wait)
}

// handleError reports the first of a series of failures and waits for the backoff.
func (w *Watcher) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.unreachableSince.IsZero() {
		w.unreachableSince = w.Clock.Now()
		w.Log.Warn("store unreachable, table watch paused", "table", w.Table, "version", w.since, "err", err.Error())
		if w.OnDisconnect != nil {
			w.OnDisconnect()
		}
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	// The result of Sleep is ignored because the caller checks ctx.
	_ = clock.Sleep(ctx, w.Clock, w.backoff/2+rand.N(w.backoff/2))
}

// handleSuccess ends a series of failures and calls OnRead.
func (w *Watcher) handleSuccess() {
	if !w.unreachableSince.IsZero() {
		w.Log.Info("store reachable again, table watch resumed", "table", w.Table, "away_ms", w.unreachableFor().Milliseconds(), "version", w.since)
		w.unreachableSince, w.backoff = time.Time{}, 0
	}
	if w.OnRead != nil {
		w.OnRead()
	}
}
