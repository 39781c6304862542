package rowstore_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// TestWatcherTimesOutOnUnresponsiveStore guards against a read or a wait for
// changes that hangs on a store that does not respond, and against reporting one
// disconnect several times.
func TestWatcherTimesOutOnUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		disconnects, reads := 0, 0
		watcher := rowstore.Watcher{
			Store: store, Table: "t", Wait: time.Second, Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler),
			OnSnapshot: func([]rowstore.Row) {}, OnChange: func([]rowstore.Row) {},
			OnDisconnect: func() { disconnects++ }, OnRead: func() { reads++ },
		}
		step := func() time.Duration {
			started := time.Now()
			watcher.Step(context.Background())
			return time.Since(started)
		}
		store.SetFaults(memory.Faults{Delay: time.Hour})
		assert.Assert(t, step() < 2*time.Second)
		assert.Equal(t, disconnects, 1)
		store.SetFaults(memory.Faults{})
		_, err := store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "t", Name: "a"}}}})
		assert.NilError(t, err)
		step()
		assert.Equal(t, reads, 1)
		store.SetFaults(memory.Faults{Delay: time.Hour})
		assert.Assert(t, step() < 2*time.Second)
		assert.Assert(t, step() < 3*time.Second)
		assert.Equal(t, disconnects, 2)
	})
}

// TestWatcherReadsNewestAfterOutage guards against reading, after an outage, each version
// of a row that was written meanwhile: on a narrow link the newest one comes too late.
func TestWatcherReadsNewestAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		write := func(value string) {
			faults := store.SwapFaults(memory.Faults{})
			_, err := store.Commit(t.Context(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "t", Name: "a"}, Value: []byte(value)}}})
			assert.NilError(t, err)
			store.SetFaults(faults)
		}
		var received []string
		receive := func(rows []rowstore.Row) {
			for _, row := range rows {
				received = append(received, string(row.Value))
			}
		}
		watcher := rowstore.Watcher{
			Store: store, Table: "t", Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler), OnSnapshot: receive, OnChange: receive,
		}
		write("1")
		watcher.Step(t.Context())
		store.SetFaults(memory.Faults{Outage: true})
		for started := time.Now(); time.Since(started) < 5*time.Second; {
			write("old")
			watcher.Step(t.Context())
		}
		write("2")
		store.SetFaults(memory.Faults{})
		watcher.Step(t.Context())
		write("3")
		watcher.Step(t.Context())
		assert.DeepEqual(t, received, []string{"1", "2", "3"})
	})
}
