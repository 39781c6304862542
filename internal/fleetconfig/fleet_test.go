package fleetconfig

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

// fleet is a set of routers, each with its own Keeper, that share one store, one
// in-memory network and one fake clock. No background loops run: the tests execute
// each step.
type fleet struct {
	t          testing.TB
	clock      *clock.Fake
	store      *memory.Store
	network    *bus.Network
	routers    []*router
	startCount int
	// relayThreshold overrides Settings.RelayThreshold if it is not 0.
	relayThreshold int
	// hideStarting prevents a router that starts from becoming known to the
	// others before it has a member row.
	hideStarting bool
}

// router is the configuration component of one router, with its injected faults.
type router struct {
	*Keeper
	fleet           *fleet
	id              bus.ID
	members         *member.Directory
	storeClient     *memory.Client
	frozen          bool
	partitioned     bool // cut off from all other routers
	storeOutage     bool // cut off from the store
	highestRevision int64
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

// start starts a new incarnation on the i-th router's VM.
func (f *fleet) start(i int, storeOutage bool) *router {
	f.t.Helper()
	f.startCount++
	self := bus.Peer{
		ID:     bus.ID{VM: fmt.Sprintf("entry-%d", i+1), Incarnation: fmt.Sprint(f.startCount)},
		Domain: fmt.Sprintf("domain-%d", i%3),
	}
	r := &router{fleet: f, id: self.ID, storeClient: f.store.NewClient()}
	r.setStoreOutage(storeOutage)
	r.members = member.NewDirectory(member.DefaultSettings(), self, r.storeClient, f.clock, event.Discard{})
	r.Keeper = NewKeeper(testSettings(), r.storeClient, f.clock, event.Discard{}, discardLog)
	r.Join(f.network.Join(self), r.members)
	// A router that cannot reach the table knows the others from its seeds.
	for _, other := range f.routers {
		if other != nil && other.id.VM != r.id.VM {
			r.members.MarkReachable(other.bus.Self())
			if other.reachable() && !f.hideStarting {
				other.members.MarkReachable(self)
			}
		}
	}
	return r
}

// applyRelayThreshold sets RelayThreshold at all routers, if it is overridden.
func (f *fleet) applyRelayThreshold() {
	for _, r := range f.routers {
		if f.relayThreshold > 0 {
			r.settings.RelayThreshold = f.relayThreshold
		}
	}
}

// restart replaces the i-th router by a new incarnation. It simulates a crash,
// unless the old incarnation has deregistered before.
func (f *fleet) restart(i int, storeOutage bool) {
	f.network.Remove(f.routers[i].id)
	f.routers[i] = f.start(i, storeOutage)
	f.routers[i].updateLinks() // partitions of the other routers affect it, too
	f.applyRelayThreshold()
}

func (r *router) setStoreOutage(outage bool) {
	r.storeOutage = outage
	r.storeClient.SetFaults(memory.Faults{Outage: outage})
}

func (r *router) setPartitioned(partitioned bool) {
	r.partitioned = partitioned
	r.updateLinks()
}

func (r *router) setFrozen(frozen bool) {
	r.frozen = frozen
	r.updateLinks()
}

func (r *router) reachable() bool { return !r.partitioned && !r.frozen }

// updateLinks cuts or restores the network links between this router and the
// others.
func (r *router) updateLinks() {
	for _, other := range r.fleet.routers {
		if other != r {
			r.fleet.network.SetPartitioned(r.id, other.id, !r.reachable() || !other.reachable())
		}
	}
}

// step runs one iteration of the loops of every router that is not frozen.
func (f *fleet) step() {
	for _, r := range f.routers {
		if !r.frozen {
			r.runOnce()
		}
	}
}

// runOnce runs one iteration of the router's background loops.
func (r *router) runOnce() {
	ctx := context.Background()
	// Errors are ignored: they come from the injected faults.
	r.members.Heartbeat(ctx)
	r.members.Refresh(ctx)
	r.refresh(ctx)
	if _, pending := r.acceptance.pending(); pending {
		r.pushOnce(ctx, 0)
	}
}

// serves returns the revision under which the router takes new work, or false if
// it takes none.
func (r *router) serves() (int64, bool) {
	if r.frozen || r.ConfirmView(context.Background()) != nil {
		return 0, false
	}
	return r.Catalog().Revision, true
}

// describe returns the state of all routers for the messages of failed tests.
func (f *fleet) describe() string {
	var b strings.Builder
	for _, r := range f.routers {
		fmt.Fprintf(&b, "\n%s: revision %d, view age %s, lease age %s, registered %t, frozen %t, partitioned %t, store outage %t, accepted %d, acks %v, leases granted at %v",
			r.id, r.Catalog().Revision, r.Keeper.view.age(), r.Keeper.view.leaseAge(), r.registered(), r.frozen, r.partitioned, r.storeOutage,
			r.acceptance.accepted, r.acceptance.acks, r.viewLeases.grantedAt)
	}
	return b.String()
}

// acceptedRevision returns the newest revision that any router reports as accepted.
func (f *fleet) acceptedRevision() (newest int64) {
	for _, r := range f.routers {
		r.acceptance.mu.Lock()
		newest = max(newest, r.acceptance.accepted)
		r.acceptance.mu.Unlock()
	}
	return newest
}

// commit commits a change at the router that sets the label "note" of the
// workspace "coop".
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

// labelOf returns the label "note" of the workspace "coop", or "" if it has none.
func labelOf(d catalog.Document) string {
	i := slices.IndexFunc(d.Workspaces, func(w catalog.Workspace) bool { return w.Name == "coop" })
	if i < 0 {
		return ""
	}
	return d.Workspaces[i].Labels["note"]
}
