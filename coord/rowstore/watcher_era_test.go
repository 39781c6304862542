package rowstore_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// client is one process's view of a store: it learns of an era from responses only.
type client struct {
	*memory.Store
	eras rowstore.Eras
	// feed and read, unless nil, replace the next call of their kind.
	feed, read func(context.Context) (rowstore.Snapshot, error)
}

func (c *client) Era() int64                         { return c.eras.Newest() }
func (c *client) EraEnded(era int64) <-chan struct{} { return c.eras.Ended(era) }

func (c *client) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if replaced := c.read; replaced != nil {
		c.read = nil
		return replaced(ctx)
	}
	snap, err := c.Store.Read(ctx, table, part)
	c.eras.Observe(snap.Era)
	return snap, err
}

func (c *client) Changes(ctx context.Context, table string, since int64, wait time.Duration) (rowstore.Snapshot, error) {
	if replaced := c.feed; replaced != nil {
		c.feed = nil
		return replaced(ctx)
	}
	snap, err := c.Store.Changes(ctx, table, since, wait)
	c.eras.Observe(snap.Era)
	return snap, err
}

// watchedTable is a watcher of the table "t" and what it has handed over.
type watchedTable struct {
	t      *testing.T
	store  *memory.Store
	client *client
	rowstore.Watcher
	values      map[string]string // by the name of the row
	disconnects int
	eras        []string
}

func newWatchedTable(t *testing.T) *watchedTable {
	w := &watchedTable{t: t, store: memory.New(), values: make(map[string]string)}
	w.client = &client{Store: w.store}
	w.Watcher = rowstore.Watcher{
		Store: w.client, Table: "t", Wait: time.Second, Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler),
		OnSnapshot: func(rows []rowstore.Row) { clear(w.values); w.update(rows) }, OnChange: w.update,
		OnDisconnect: func() { w.disconnects++ },
		OnNewEra:     func(old, era int64) { w.eras = append(w.eras, fmt.Sprintf("%d to %d", old, era)) },
	}
	return w
}

func (w *watchedTable) update(rows []rowstore.Row) {
	for _, row := range rows {
		if w.values[row.Key.Name] = string(row.Value); row.Removed {
			delete(w.values, row.Key.Name)
		}
	}
}

// put writes a row of the table, or of another one if the name is "-".
func (w *watchedTable) put(name, value string) {
	w.t.Helper()
	key := rowstore.Key{Table: "t", Name: name}
	if name == "-" {
		key.Table = "other"
	}
	_, err := w.store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(w.t, err)
}

// assertCurrent checks that the rows handed over are those of the store.
func (w *watchedTable) assertCurrent() {
	w.t.Helper()
	snap, err := w.store.Read(context.Background(), "t", "")
	assert.NilError(w.t, err)
	want := make(map[string]string)
	for _, row := range snap.Rows {
		want[row.Key.Name] = string(row.Value)
	}
	assert.DeepEqual(w.t, w.values, want)
}

// TestWatcherReadsTableAgainInNewEra guards against changes that are missed since a
// restored store gives the versions of lost writes out again.
func TestWatcherReadsTableAgainInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchedTable(t)
		w.put("kept", "1")
		backup := w.store.Copy()
		w.put("lost", "1")
		w.put("kept", "2")
		w.Step(t.Context())
		w.assertCurrent()

		w.store.Restore(backup)
		w.put("missed", "1") // has the version of "lost"
		w.put("-", "")
		w.put("-", "") // the store's version is beyond the one that the watcher has
		w.Step(t.Context())
		w.assertCurrent()
		assert.DeepEqual(t, w.eras, []string{"1 to 2"})
		assert.Equal(t, w.disconnects, 0)
	})
}

// TestWatcherNoticesRestoreDuringWait guards against changes that are missed since the
// store was restored while a call for changes waited.
func TestWatcherNoticesRestoreDuringWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchedTable(t)
		w.put("kept", "1")
		backup := w.store.Copy()
		w.put("lost", "1")
		w.Step(t.Context())
		w.client.feed = func(context.Context) (rowstore.Snapshot, error) {
			w.store.Restore(backup)
			w.put("missed", "1")
			w.put("kept", "2")
			snap, err := w.store.Changes(t.Context(), "t", 2, 0)
			w.client.eras.Observe(snap.Era)
			return snap, err
		}
		w.Step(t.Context())
		w.assertCurrent()
	})
}

// TestWaitEndsOnceAnotherCallSeesNewEra guards against a wait for changes of an era that
// another call of the process knows to have ended.
func TestWaitEndsOnceAnotherCallSeesNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchedTable(t)
		w.Wait = time.Hour
		w.put("kept", "1")
		backup := w.store.Copy()
		w.put("lost", "1")
		w.Step(t.Context())
		w.client.feed = func(ctx context.Context) (rowstore.Snapshot, error) {
			<-ctx.Done()
			return rowstore.Snapshot{}, ctx.Err()
		}
		time.AfterFunc(time.Second, func() { w.store.Restore(backup) })
		time.AfterFunc(2*time.Second, func() { _, _ = w.client.Read(t.Context(), "other", "") })
		started := time.Now()
		w.Step(t.Context())
		assert.Equal(t, time.Since(started), 2*time.Second)
		w.assertCurrent()
		assert.Equal(t, w.disconnects, 0)
	})
}

// TestWatcherIgnoresLateResponse guards against rows of an earlier era that arrive after
// those of a later one.
func TestWatcherIgnoresLateResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchedTable(t)
		w.put("kept", "1")
		backup := w.store.Copy()
		w.put("lost", "1")
		w.Step(t.Context())
		old, err := w.store.Read(t.Context(), "t", "")
		assert.NilError(t, err)
		w.store.Restore(backup)
		late := func(context.Context) (rowstore.Snapshot, error) { return old, nil }
		_, err = w.client.Read(t.Context(), "other", "") // the first response of the new era
		assert.NilError(t, err)
		w.client.read = late
		w.Step(t.Context())
		w.Step(t.Context())
		w.assertCurrent()
		w.client.feed = late
		w.Step(t.Context())
		w.Step(t.Context())
		w.assertCurrent()
	})
}

// TestWatcherFollowsRestoresInSuccession guards against a table that stays at an earlier
// era when the store is restored again before the table was read.
func TestWatcherFollowsRestoresInSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchedTable(t)
		w.put("kept", "1")
		backup := w.store.Copy()
		w.put("lost", "1")
		w.Step(t.Context())
		w.store.Restore(backup)
		w.put("lost", "2")
		w.client.read = func(context.Context) (rowstore.Snapshot, error) { // a read whose first page is of the era in between
			w.client.eras.Observe(2)
			w.store.Restore(backup)
			w.client.eras.Observe(3)
			return rowstore.Snapshot{}, fmt.Errorf("pages of two eras: %w", rowstore.ErrUnavailable)
		}
		w.put("missed", "1")
		for range 4 {
			w.Step(t.Context())
		}
		w.assertCurrent()
		assert.Equal(t, w.eras[len(w.eras)-1][len("1 to "):], "3")
	})
}

// TestWatcherWaitsForEmptyStore guards against reads without a pause from a store that
// came back without any row.
func TestWatcherWaitsForEmptyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchedTable(t)
		empty := w.store.Copy()
		w.put("lost", "1")
		w.Step(t.Context())
		w.store.Restore(empty)
		w.Step(t.Context())
		w.assertCurrent()
		before := w.store.Counts()
		started := time.Now()
		for time.Since(started) < 10*time.Second && w.store.Counts().Reads+w.store.Counts().ChangeReads < before.Reads+before.ChangeReads+1000 {
			w.Step(t.Context())
		}
		after := w.store.Counts()
		assert.Assert(t, after.Reads+after.ChangeReads-before.Reads-before.ChangeReads <= 11, fmt.Sprint(before, after))
	})
}

// TestWatcherFollowsRandomRestores guards against missed changes in any order of writes,
// restores and calls.
func TestWatcherFollowsRandomRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWatchedTable(t)
		w.Wait = 0
		copies := []memory.Copy{w.store.Copy()}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"put", "put", "other", "copy", "restore", "step", "step"}).Draw(rt, "action") {
			case "put":
				w.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "row"), fmt.Sprint(i))
			case "other":
				w.put("-", "")
			case "copy":
				copies = append(copies, w.store.Copy())
			case "restore":
				n := rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")
				w.store.Restore(copies[n])
				copies = copies[:n+1]
			case "step":
				w.Step(context.Background())
				w.assertCurrent()
			}
		}
	})
}
