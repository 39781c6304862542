package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoredAgainAfterRestore guards against observations that routers which start later
// never learn, since the store has lost them after it acknowledged them.
func TestStoredAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.close()
		r := f.routers[f.members[0]]
		empty := f.store.Copy()
		r.Publish(topic, "s", nil)
		r.Persist()
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.storedRows(), 1)
		for range 2 {
			f.store.Restore(empty)
			time.Sleep(2 * time.Second)
			assert.Equal(t, f.storedRows(), 1)
		}
		written := r.stats.written.Get()
		time.Sleep(10 * time.Second)
		assert.Equal(t, r.stats.written.Get(), written)
	})
}

// storedRows returns the number of rows with observations in the store.
func (f *fleet) storedRows() int {
	snap, err := f.store.Read(f.ctx, "fleet", "")
	assert.NilError(f.t, err)
	return len(snap.Rows)
}
