package members

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// TestFleetKeepsSecretThatStoreLost guards against a second secret of the peer link,
// which routers that are cut off from the store would not learn.
func TestFleetKeepsSecretThatStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		empty := store.Copy()
		first, second := start(store, "vm-0", "1"), start(store, "vm-1", "1")
		defer first.stop()
		defer second.stop()
		time.Sleep(time.Second)
		secret := first.secret.Load()

		store.Restore(empty)
		time.Sleep(2 * time.Second)
		third := start(store, "vm-2", "1")
		defer third.stop()
		time.Sleep(2 * time.Second)
		for _, d := range []*runningDirectory{first, second, third} {
			assert.Equal(t, d.secret.Load(), secret)
		}
	})
}

// TestFleetAgreesOnSecretAfterRestore guards against two secrets in one fleet when a
// router starts before the others have written the lost one again.
func TestFleetAgreesOnSecretAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		empty := store.Copy()
		first := start(store, "vm-0", "1")
		defer first.stop()
		time.Sleep(time.Second)
		backup := store.Copy() // with the first secret
		store.Restore(empty)
		_, err := store.Commit(t.Context(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: table, Name: secretName}, Value: []byte("another")}}})
		assert.NilError(t, err)
		second := start(store, "vm-1", "1")
		defer second.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, first.secret.Load(), "another")
		assert.Equal(t, second.secret.Load(), "another")

		store.Restore(backup)
		time.Sleep(2 * time.Second)
		assert.Equal(t, first.secret.Load(), second.secret.Load())
		snap, err := store.Read(t.Context(), table, "")
		assert.NilError(t, err)
		assert.Equal(t, string(snap.Rows[0].Value), first.secret.Load())
	})
}
