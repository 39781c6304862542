package members

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// runningDirectory is a directory that runs until stop is called.
type runningDirectory struct {
	*Directory
	stop func()
	// secret holds the secret of the peer link, which Run's goroutine stores.
	secret atomic.Value
}

// start runs a directory of a new process on a VM.
func start(store rowstore.Store, vm, incarnation string) *runningDirectory {
	r := &runningDirectory{}
	self := prepaid.Member{ID: bus.ID{VM: vm, Incarnation: incarnation}, Domain: "zone-a", Weight: 1}
	r.Directory = New(self, store, clock.Real{}, slog.New(slog.DiscardHandler), func(secret string) { r.secret.Store(secret) })
	r.SetAddr("10.0.0.1:7201")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	r.stop = func() { cancel(); <-done }
	return r
}

// availableVMs returns the VMs of the available members.
func availableVMs(d *runningDirectory) []string {
	members, _ := d.Available()
	var vms []string
	for _, m := range members {
		vms = append(vms, m.ID.VM+"/"+m.ID.Incarnation)
	}
	return vms
}

// TestMembersFindEachOther: routers that start together know each other and one
// secret; one that restarts replaces its predecessor, and one that leaves is gone.
func TestMembersFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		var fleet []*runningDirectory
		for i := range 3 {
			fleet = append(fleet, start(store, fmt.Sprint("vm-", i), "1"))
		}
		defer func() {
			for _, d := range fleet {
				d.stop()
			}
		}()
		time.Sleep(2 * time.Second)
		for _, d := range fleet {
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1", "vm-2/1"})
			secret, known := d.secret.Load().(string)
			assert.Assert(t, known && secret != "" && secret == fleet[0].secret.Load())
			assert.Assert(t, d.Synced())
			assert.Equal(t, d.Count(), 3)
		}
		fleet[2].stop()
		fleet[2] = start(store, "vm-2", "2")
		fleet[1].Leave(context.Background())
		assert.Assert(t, !slices.Contains(availableVMs(fleet[1]), "vm-1/1"), "it lends no more itself")
		time.Sleep(time.Second)
		for _, d := range fleet[:2] {
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-2/2"})
		}
		_, found := fleet[0].Lookup(bus.ID{VM: "vm-2", Incarnation: "1"})
		assert.Assert(t, !found, "the address of a dead process is not used for its successor")
		peer, found := fleet[0].Lookup(bus.ID{VM: "vm-2", Incarnation: "2"})
		assert.Assert(t, found && peer.Addr == "10.0.0.1:7201")
	})
}

// TestOwnRowIsRestored guards against a router that nobody uses because a late write of
// its predecessor, or a mistake, has replaced or removed its row.
func TestOwnRowIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first, second := start(store, "vm-0", "2"), start(store, "vm-1", "1")
		defer first.stop()
		defer second.stop()
		time.Sleep(time.Second)
		key := rowstore.Key{Table: table, Name: rowPrefix + "vm-0"}
		for _, tx := range []rowstore.Tx{
			{Put: []rowstore.Put{{Key: key, Value: []byte(`{"incarnation":"1","addr":"10.0.0.9:1"}`)}}},
			{Remove: []rowstore.Key{key}},
			{Put: []rowstore.Put{{Key: key, Value: []byte(`not JSON`)}}},
		} {
			_, err := store.Commit(context.Background(), tx)
			assert.NilError(t, err)
			time.Sleep(2 * time.Second)
			assert.DeepEqual(t, availableVMs(second), []string{"vm-0/2", "vm-1/1"})
		}
	})
}

// TestSuspicionEnds: a member that does not respond is not used for a while, longer at
// each time, and again once it responds.
func TestSuspicionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		d, other := start(store, "vm-0", "1"), start(store, "vm-1", "1")
		defer d.stop()
		defer other.stop()
		time.Sleep(time.Second)
		id := bus.ID{VM: "vm-1", Incarnation: "1"}
		_, version := d.Available()
		for _, duration := range []time.Duration{minSuspicion, 2 * minSuspicion, 4 * minSuspicion, maxSuspicion, maxSuspicion} {
			d.Suspect(id)
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1"})
			time.Sleep(duration - time.Millisecond)
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1"})
			time.Sleep(time.Millisecond)
			assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1"})
		}
		_, after := d.Available()
		assert.Equal(t, after, version)
		assert.Equal(t, d.DomainSize(), 2)
		d.IgnoreSuspicions(func() bool { return true }) // the silence is that of this router
		d.Suspect(id)
		assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1"})
		d.IgnoreSuspicions(func() bool { return false })
		d.Suspect(id)
		d.MarkReachable(bus.Peer{ID: id})
		assert.DeepEqual(t, availableVMs(d), []string{"vm-0/1", "vm-1/1"})
		assert.Equal(t, len(d.Live()), 1)
	})
}
