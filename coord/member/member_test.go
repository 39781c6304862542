package member

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// fleet is a store that the directories of several members share, with one fake
// clock.
type fleet struct {
	t     *testing.T
	clock *clock.Fake
	store *memory.Store
}

func newFleet(t *testing.T) *fleet {
	c := clock.NewFake(time.Unix(1_000_000, 0))
	return &fleet{t: t, clock: c, store: memory.NewStore(c)}
}

// join registers a member and returns its directory and its client of the store.
func (f *fleet) join(vm, incarnation string) (*Directory, *memory.Client) {
	f.t.Helper()
	client := f.store.NewClient()
	self := bus.Peer{ID: bus.ID{VM: vm, Incarnation: incarnation}, Addr: vm + ":1"}
	d := NewDirectory(DefaultSettings(), self, client, f.clock, event.Discard{})
	f.ok(d.Register(context.Background()))
	return d, client
}

// ok fails the test if err is not nil.
func (f *fleet) ok(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// advance moves the clock in steps of 10 s, after each of which the running
// members write a heartbeat and refresh.
func (f *fleet) advance(d time.Duration, running ...*Directory) {
	f.t.Helper()
	for ; d > 0; d -= 10 * time.Second {
		f.clock.Advance(10 * time.Second)
		for _, r := range running {
			f.ok(r.Heartbeat(context.Background()))
			f.ok(r.Refresh(context.Background()))
		}
	}
}

// wantLive refreshes d and checks which members it considers alive.
func (f *fleet) wantLive(d *Directory, want ...string) {
	f.t.Helper()
	f.ok(d.Refresh(context.Background()))
	var got []string
	for _, p := range d.Live() {
		got = append(got, p.ID.String())
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		f.t.Fatalf("live members are %v, want %v", got, want)
	}
}

// TestMembersListEachOther checks that members find each other through their rows,
// and that a heartbeat after Deregister does not write the row again.
func TestMembersListEachOther(t *testing.T) {
	f := newFleet(t)
	one, _ := f.join("one", "1")
	two, _ := f.join("two", "1")
	f.wantLive(one, "two/1")
	f.wantLive(two, "one/1")
	f.ok(two.Deregister(context.Background()))
	f.ok(two.Heartbeat(context.Background())) // a heartbeat after Deregister writes nothing
	f.wantLive(one)
}

// TestNewIncarnationReplacesRow guards against two live incarnations on one VM: the
// old one must learn from its next heartbeat that it is superseded.
func TestNewIncarnationReplacesRow(t *testing.T) {
	f := newFleet(t)
	one, _ := f.join("one", "1")
	old, _ := f.join("two", "1")
	f.join("two", "2")
	f.wantLive(one, "two/2")
	if _, found := one.Lookup(bus.ID{VM: "two", Incarnation: "1"}); found {
		t.Fatal("the old incarnation is still in the directory")
	}
	if err := old.Heartbeat(context.Background()); !errors.Is(err, ErrSuperseded) {
		t.Fatalf("heartbeat of the old incarnation: %v", err)
	}
	f.wantLive(one, "two/2")
}

// TestSuspicionIsLocalAndKeepsRow guards against a suspicion that affects other
// members, removes a row or does not end.
func TestSuspicionIsLocalAndKeepsRow(t *testing.T) {
	f := newFleet(t)
	one, _ := f.join("one", "1")
	two, _ := f.join("two", "1")
	f.wantLive(one, "two/1")
	f.wantLive(two, "one/1")
	one.Suspect(bus.ID{VM: "two", Incarnation: "1"})
	f.wantLive(one)
	f.wantLive(two, "one/1")
	if rows := f.store.Dump(rowPrefix); len(rows) != 2 {
		t.Fatalf("suspicion left %d rows, want 2", len(rows))
	}
	f.clock.Advance(DefaultSettings().SuspectFor)
	f.wantLive(one, "two/1")
}

// TestSilentMemberStaysRegisteredUntilRemoved stops the heartbeats of a member. Its
// row must stay until RemoveAfter, and the member must be able to register again.
func TestSilentMemberStaysRegisteredUntilRemoved(t *testing.T) {
	f := newFleet(t)
	one, _ := f.join("one", "1")
	frozen, _ := f.join("two", "1")
	f.wantLive(one, "two/1")
	f.advance(DefaultSettings().SilentAfter+20*time.Second, one)
	f.wantLive(one)
	if got := one.Members(); len(got) != 1 || !got[0].Silent {
		t.Fatalf("members are %+v, want one that is silent", got)
	}
	f.advance(DefaultSettings().RemoveAfter, one)
	if rows := f.store.Dump(rowPrefix + "two"); len(rows) != 0 {
		t.Fatal("the silent member's row was not removed")
	}
	// The frozen member resumes: it can tell that its row is old, and its next
	// heartbeat writes a new one.
	if f.clock.Now().Sub(frozen.LastHeartbeat()) < DefaultSettings().RemoveAfter {
		t.Fatal("the frozen member considers its row up to date")
	}
	f.ok(frozen.Heartbeat(context.Background()))
	f.wantLive(one, "two/1")
}

// TestTerminatedVMRowIsRemovedEarly checks that a VM that the platform no longer
// lists counts as terminated only after TerminatedAfter, and that a VM that it never
// listed does not.
func TestTerminatedVMRowIsRemovedEarly(t *testing.T) {
	f := newFleet(t)
	both := []platform.VM{{ID: "one", State: platform.VMRunning}, {ID: "two", State: platform.VMLeaving}}
	f.store.SetVMs(both)
	one, _ := f.join("one", "1")
	f.join("two", "1")
	f.join("unlisted", "1")
	f.wantLive(one, "two/1", "unlisted/1")
	if !one.VMLeaving("two") || one.VMLeaving("one") {
		t.Fatal("the platform's states were not taken over")
	}
	f.store.SetVMs(both[:1])
	f.ok(one.Refresh(context.Background()))
	f.wantLive(one, "two/1", "unlisted/1") // missing, but not for long enough
	f.clock.Advance(DefaultSettings().TerminatedAfter)
	f.ok(one.Refresh(context.Background()))
	f.wantLive(one, "unlisted/1")
}

// TestMemberWithoutRowIsListedAfterContact checks that a member without a row is
// listed once it has connected, also during an outage of the store, and is removed
// after SilentAfter.
func TestMemberWithoutRowIsListedAfterContact(t *testing.T) {
	f := newFleet(t)
	one, client := f.join("one", "1")
	client.SetFaults(memory.Faults{Outage: true})
	one.MarkReachable(bus.Peer{ID: bus.ID{VM: "new", Incarnation: "1"}})
	if got := one.Members(); len(got) != 1 || !got[0].Unregistered {
		t.Fatalf("members are %+v, want one without a row", got)
	}
	client.SetFaults(memory.Faults{})
	f.wantLive(one, "new/1")
	f.advance(DefaultSettings().SilentAfter+20*time.Second, one)
	f.wantLive(one)
}

// TestMergedListingReplacesTableRead merges the listing of another member during an
// outage of the store. It must replace the reads of the table for RefreshInterval.
func TestMergedListingReplacesTableRead(t *testing.T) {
	f := newFleet(t)
	sender, _ := f.join("relay", "1")
	f.join("two", "1")
	receiver, client := f.join("asker", "1")
	client.SetFaults(memory.Faults{Outage: true})
	f.store.SetVMs([]platform.VM{{ID: "engine-vm", State: platform.VMLeaving}})
	f.ok(sender.Refresh(context.Background()))
	if receiver.Listing().Digest() == sender.Listing().Digest() {
		t.Fatal("different listings have one digest")
	}
	receiver.MergeListing(sender.Listing())
	if receiver.Listing().Digest() != sender.Listing().Digest() {
		t.Fatalf("after the merge: %+v, want %+v", receiver.Listing(), sender.Listing())
	}
	if got := receiver.Live(); len(got) != 2 || !receiver.VMLeaving("engine-vm") {
		t.Fatalf("live members are %v", got)
	}
	if _, skip := receiver.nextRefresh(); !skip {
		t.Fatal("the table is read though the listing is up to date")
	}
	f.clock.Advance(DefaultSettings().RefreshInterval + 1)
	if _, skip := receiver.nextRefresh(); skip {
		t.Fatal("the table is not read though the listing is old")
	}
}

// TestHeartbeatRetriesLostResponse guards against a heartbeat that fails or is
// applied twice because the response to its write was lost.
func TestHeartbeatRetriesLostResponse(t *testing.T) {
	f := newFleet(t)
	one, client := f.join("one", "1")
	client.SetFaults(memory.Faults{LoseResponses: 1})
	done := make(chan error, 1)
	go func() { done <- one.Heartbeat(context.Background()) }()
	f.ok(<-done)
	if rows := f.store.Dump(rowPrefix); len(rows) != 1 || rows[0].Version != 2 {
		t.Fatalf("rows are %+v, want one written twice", rows)
	}
}

func Example() {
	store := memory.NewStore(clock.Real{})
	for _, vm := range []string{"entry-1", "entry-2"} {
		self := bus.Peer{ID: bus.ID{VM: vm, Incarnation: "a fresh id"}, Addr: "10.0.0.1:7000"}
		d := NewDirectory(DefaultSettings(), self, store.NewClient(), clock.Real{}, event.Discard{})
		if err := d.Register(context.Background()); err != nil {
			fmt.Println(err)
		}
		if err := d.Refresh(context.Background()); err != nil {
			fmt.Println(err)
		}
		for _, p := range d.Live() {
			fmt.Println(vm, "sees", p.ID.VM)
		}
	}
	// Output: entry-2 sees entry-1
}
