package rowstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Follower reads a table's rows without a partition and then its changes. It
// belongs to one goroutine.
type Watcher struct {
	Store Store
	Table string
	// Wait is the longest wait of a call for changes.
	Wait  time.Duration
	Clock clock.Clock
	Log   *slog.Logger
	// Whole takes over all rows, and Changed those that changed, removed ones
	// among them.
	OnSnapshot, OnChange func(rows []Row)
	// Lost is called when the table can no longer be read, and Read before
	// rows are taken over; either may be nil.
	OnDisconnect, OnRead func()

	since int64
	pause time.Duration
	away  time.Time // since when calls fail; zero while they succeed
}

// Pauses after failed calls: they double from the first to the longest.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Step makes one call. After a failure it pauses.
func (f *Watcher) Step(ctx context.Context) {
	first := f.since == 0
	snap, err := f.call(ctx, first)
	switch {
	case errors.Is(err, ErrCompacted):
		f.Log.Info("history of the store is gone, table is read anew", "table", f.Table, "since", f.since)
		f.since = 0
		return
	case err != nil:
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	if first {
		f.OnSnapshot(snap.Rows)
	} else {
		f.OnChange(snap.Rows)
	}
	f.since = max(f.since, snap.Version)
}

// Times beyond which an answer is not waited for.
const (
	// readTimeout bounds a read of the table: the answer of a store takes some
	// ms, and some hundred while it is slow.
	readTimeout = 1500 * time.Millisecond
	// changesSlack is how much longer than its wait a call for changes may take.
	changesSlack = 700 * time.Millisecond
)

// call reads the table or its changes.
func (f *Watcher) call(ctx context.Context, first bool) (Snapshot, error) {
	timeout := f.Wait + changesSlack
	if first {
		timeout = readTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if first {
		return f.Store.Read(ctx, f.Table, "")
	}
	return f.Store.Changes(ctx, f.Table, f.since, f.Wait)
}

func (f *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.away.IsZero() {
		f.away = f.Clock.Now()
		f.Log.Warn("store lost", "table", f.Table, "version", f.since, "err", err.Error())
		if f.OnDisconnect != nil {
			f.OnDisconnect()
		}
	}
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	// An end of the pause is no news; the caller looks at ctx.
	_ = clock.Sleep(ctx, f.Clock, f.pause/2+rand.N(f.pause/2))
}

func (f *Watcher) succeeded() {
	if !f.away.IsZero() {
		f.Log.Info("store regained", "table", f.Table, "away_ms", f.Clock.Now().Sub(f.away).Milliseconds(), "version", f.since)
		f.away, f.pause = time.Time{}, 0
	}
	if f.OnRead != nil {
		f.OnRead()
	}
}
