package conf

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// fleet is a store and routers with a keeper each, on one fake clock. No
// loops run: the tests take each step.
type fleet struct {
	t       testing.TB
	clock   *clock.Fake
	store   *memory.Store
	network *bus.Network
	routers []*router
	starts  int
	// relayAbove replaces the setting, if it is not 0.
	relayAbove int
	// unknown keeps routers that start from being known to the others before
	// they have a row.
	unknown bool
}

// router is one router's configuration duty.
type router struct {
	*Keeper
	fleet   *fleet
	id      bus.ID
	members *member.Directory
	view    *memory.View
	frozen  bool
	cut     bool // from all other routers
	away    bool // from the store
	highest int64
}

func testSettings() Settings {
	s := DefaultSettings()
	s.AcceptWait = 0
	return s
}

func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	c := clock.NewFake(time.Unix(1_000_000, 0))
	f := &fleet{t: t, clock: c, store: memory.NewStore(c), network: bus.NewNetwork()}
	for i := range n {
		f.routers = append(f.routers, f.start(i, false))
	}
	f.step()
	return f
}

// start starts an incarnation of the i-th router's VM.
func (f *fleet) start(i int, away bool) *router {
	f.t.Helper()
	f.starts++
	self := bus.Peer{
		ID:     bus.ID{VM: fmt.Sprintf("entry-%d", i+1), Incarnation: fmt.Sprint(f.starts)},
		Domain: fmt.Sprintf("domain-%d", i%3),
	}
	r := &router{fleet: f, id: self.ID, view: f.store.View()}
	r.setAway(away)
	r.members = member.NewDirectory(member.DefaultSettings(), self, r.view, f.clock, event.Discard{})
	r.Keeper = NewKeeper(testSettings(), r.view, f.clock, event.Discard{}, discardLog)
	r.Join(f.network.Join(self), r.members)
	// A router without the table knows others from its seeds.
	for _, other := range f.routers {
		if other != nil && other.id.VM != r.id.VM {
			r.members.MarkReachable(other.bus.Self())
			if other.reachable() && !f.unknown {
				other.members.MarkReachable(self)
			}
		}
	}
	return r
}

// applyRelays puts relayAbove into the settings of all routers.
func (f *fleet) applyRelays() {
	for _, r := range f.routers {
		if f.relayAbove > 0 {
			r.settings.RelayThreshold = f.relayAbove
		}
	}
}

// restart replaces the i-th router by a new incarnation.
func (f *fleet) restart(i int, away bool) {
	f.network.Remove(f.routers[i].id)
	f.routers[i] = f.start(i, away)
	f.routers[i].relink() // the cuts of the others hold for it too
	f.applyRelays()
}

func (r *router) setAway(away bool) {
	r.away = away
	r.view.SetFaults(memory.Faults{Outage: away})
}

func (r *router) setCut(cut bool) {
	r.cut = cut
	r.relink()
}

func (r *router) setFrozen(frozen bool) {
	r.frozen = frozen
	r.relink()
}

func (r *router) reachable() bool { return !r.cut && !r.frozen }

func (r *router) relink() {
	for _, other := range r.fleet.routers {
		if other != r {
			r.fleet.network.SetPartitioned(r.id, other.id, !r.reachable() || !other.reachable())
		}
	}
}

// step lets every router that is not frozen do what its loops would do.
func (f *fleet) step() {
	for _, r := range f.routers {
		if !r.frozen {
			r.loop()
		}
	}
}

func (r *router) loop() {
	ctx := context.Background()
	// Errors are the faults of the schedule.
	r.members.Heartbeat(ctx)
	r.members.Refresh(ctx)
	r.refresh(ctx)
	if _, open := r.accept.open(); open {
		r.pushOnce(ctx, 0)
	}
}

// serves returns the revision that new work at the router meets, or false if
// it refuses.
func (r *router) serves() (int64, bool) {
	if r.frozen || r.ConfirmView(context.Background()) != nil {
		return 0, false
	}
	return r.Catalog().Revision, true
}

// describe lists the state of the routers, for failed tests.
func (f *fleet) describe() string {
	var b strings.Builder
	for _, r := range f.routers {
		fmt.Fprintf(&b, "\n%s: revision %d, view %s, offer %s, registered %t, frozen %t, cut %t, away %t, accepted %d, acks %v, offers %v",
			r.id, r.Catalog().Revision, r.Keeper.view.age(), r.Keeper.view.offerAge(), r.registered(), r.frozen, r.cut, r.away,
			r.accept.accepted, r.accept.acks, r.offers.given)
	}
	return b.String()
}

// said is the newest revision that any router has called accepted.
func (f *fleet) said() (newest int64) {
	for _, r := range f.routers {
		r.accept.mu.Lock()
		newest = max(newest, r.accept.accepted)
		r.accept.mu.Unlock()
	}
	return newest
}

// commit has a router commit a change of one label.
func (r *router) commit(note string) (RevisionStatus, error) {
	op := Op{Kind: KindWorkspace, Name: "coop", Put: []byte(fmt.Sprintf(`{"labels":{"note":%q}}`, note))}
	return r.Commit(context.Background(), Change{Base: r.Catalog().Revision, Author: r.id.VM, Note: note, Ops: []Op{op}})
}

func (f *fleet) mustCommit(r *router) int64 {
	f.t.Helper()
	result, err := r.commit("x")
	assert.NilError(f.t, err)
	return result.Revision
}

func labelOf(d catalog.Document) string {
	i := slices.IndexFunc(d.Workspaces, func(w catalog.Workspace) bool { return w.Name == "coop" })
	if i < 0 {
		return ""
	}
	return d.Workspaces[i].Labels["note"]
}
