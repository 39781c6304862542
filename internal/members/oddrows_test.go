package members

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// TestOddRowsNameNoMember guards against a router that uses a row of the fleet that is
// not that of a router, or no longer follows the others because of it.
func TestOddRowsNameNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		d, other := start(store, "vm-0", "1"), start(store, "vm-1", "1")
		defer d.stop()
		defer other.stop()
		time.Sleep(time.Second)
		put := func(name, value string) {
			_, err := store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: table, Name: name}, Value: []byte(value)}}})
			assert.NilError(t, err)
			time.Sleep(2 * time.Second)
		}
		for _, value := range []string{
			"", "null", "{}", "[]", "not JSON", "\xff", strings.Repeat("[", 60_000), `{"incarnation":""}`, `{"incarnation":1}`,
			`{"incarnation":"1","addr":"10.0.0.9:99999","weight":1}`, `{"incarnation":"1","addr":"10.0.0.9:port","weight":1}`, `{"incarnation":"1","addr":":1","weight":1}`,
			`{"incarnation":"1","addr":"10.0.0.9:1","weight":-1}`, `{"incarnation":"1","addr":"10.0.0.9:1","weight":1e300}`, `{"incarnation":"1","addr":"10.0.0.9:1","weight":1e999}`,
		} {
			put(rowPrefix+"odd", value)
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1"})
			assert.Equal(t, d.Count(), 2, value)
			put(rowPrefix+"vm-1", value) // the other router writes its row again
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1"})
		}
		put("odd", "{}")
		put("", "{}")
		put(rowPrefix, `{"incarnation":"1","addr":"10.0.0.9:1","weight":1}`)
		assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1"})
		put(rowPrefix+"vm-2", `{"incarnation":"7","domain":"zone-b","addr":"10.0.0.9:1","weight":0.4}`)
		assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1", "vm-2/7"})
		peer, found := d.Lookup(bus.ID{VM: "vm-2", Incarnation: "7"})
		assert.Assert(t, found && peer.Addr == "10.0.0.9:1")
	})
}
