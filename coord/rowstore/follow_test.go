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

// TestFollowerGivesUpOnASilentStore: neither a read nor a wait for changes hangs on
// a store that does not answer, and the loss is told once.
func TestFollowerGivesUpOnASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		lost, reads := 0, 0
		f := rowstore.Watcher{
			Store: store, Table: "t", Wait: time.Second, Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler),
			OnSnapshot: func([]rowstore.Row) {}, OnChange: func([]rowstore.Row) {},
			OnDisconnect: func() { lost++ }, OnRead: func() { reads++ },
		}
		step := func() time.Duration {
			started := time.Now()
			f.Step(context.Background())
			return time.Since(started)
		}
		store.SetFaults(memory.Faults{Delay: time.Hour})
		assert.Assert(t, step() < 2*time.Second)
		assert.Equal(t, lost, 1)
		store.SetFaults(memory.Faults{})
		_, err := store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "t", Name: "a"}}}})
		assert.NilError(t, err)
		step()
		assert.Equal(t, reads, 1)
		store.SetFaults(memory.Faults{Delay: time.Hour})
		assert.Assert(t, step() < 2*time.Second)
		assert.Assert(t, step() < 3*time.Second)
		assert.Equal(t, lost, 2)
	})
}
