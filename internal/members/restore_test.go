package members

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// rowNames returns the names of the rows of the fleet.
func rowNames(t *testing.T, store rowstore.Store) []string {
	t.Helper()
	snap, err := store.Read(t.Context(), table, "")
	assert.NilError(t, err)
	var names []string
	for _, r := range snap.Rows {
		names = append(names, r.Key.Name)
	}
	return names
}

// during calls check every 50 ms for d.
func during(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		check()
	}
}

// TestRouterMissingFromCopyStaysMember guards against a router that its peers drop since
// a restored store lacks its row, and against keeping one that died in the lost seconds.
func TestRouterMissingFromCopyStaysMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := start(store, "vm-0", "1")
		defer first.stop()
		time.Sleep(time.Second)
		backup := store.Copy()
		late, dead := start(store, "vm-1", "1"), start(store, "vm-2", "1")
		defer late.stop()
		time.Sleep(time.Second)
		dead.stop()
		assert.DeepEqual(t, availableVMs(first), []string{"vm-0/1", "vm-1/1", "vm-2/1"})

		store.Restore(backup)
		during(3*time.Second, func() {
			for _, way := range []struct {
				from *runningDirectory
				to   string
			}{{first, "vm-1"}, {late, "vm-0"}} {
				_, found := way.from.Lookup(bus.ID{VM: way.to, Incarnation: "1"})
				assert.Assert(t, found, way.to)
			}
		})
		assert.DeepEqual(t, rowNames(t, store), []string{"secret", "vm/vm-0", "vm/vm-1"})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, availableVMs(first), []string{"vm-0/1", "vm-1/1"})
		assert.DeepEqual(t, availableVMs(late), []string{"vm-0/1", "vm-1/1"})
	})
}

// TestPredecessorDoesNotReturnWithCopy guards against peers that take a dead process for
// the present one of its VM, since a restored store lists it.
func TestPredecessorDoesNotReturnWithCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first, killed := start(store, "vm-0", "1"), start(store, "vm-1", "1")
		defer first.stop()
		time.Sleep(time.Second)
		backup := store.Copy()
		killed.stop()
		successor := start(store, "vm-1", "2")
		defer successor.stop()
		time.Sleep(time.Second)

		store.Restore(backup)
		during(3*time.Second, func() {
			_, found := first.Lookup(bus.ID{VM: "vm-1", Incarnation: "2"})
			assert.Assert(t, found)
		})
		other := start(store, "vm-2", "1")
		defer other.stop()
		time.Sleep(time.Second)
		assert.DeepEqual(t, availableVMs(other), []string{"vm-0/1", "vm-1/2", "vm-2/1"})
	})
}

// TestRouterThatLeftDoesNotReturnWithCopy guards against peers that use a router that
// has left, or is leaving, since a restored store lists it.
func TestRouterThatLeftDoesNotReturnWithCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first, leaving, left := start(store, "vm-0", "1"), start(store, "vm-1", "1"), start(store, "vm-2", "1")
		defer first.stop()
		defer leaving.stop()
		time.Sleep(time.Second)
		backup := store.Copy()
		leaving.Leave(context.Background())
		left.Leave(context.Background())
		left.stop()
		time.Sleep(time.Second)
		assert.DeepEqual(t, availableVMs(first), []string{"vm-0/1"})

		store.Restore(backup)
		during(3*time.Second, func() { assert.DeepEqual(t, availableVMs(first), []string{"vm-0/1"}) })
		assert.DeepEqual(t, rowNames(t, store), []string{"secret", "vm/vm-0", "vm/vm-2"})
	})
}
