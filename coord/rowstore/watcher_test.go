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
