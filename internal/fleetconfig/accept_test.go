package fleetconfig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/coord/platform"
)

// acceptanceRule is a rule by which changes are accepted and revisions served.
type acceptanceRule struct {
	name string
	// accepted returns the newest revision that the rule considers accepted.
	accepted func(f *fleet, committed int64) int64
	// serves returns the revision under which a router takes new work, or false
	// if it takes none.
	serves func(r *router) (int64, bool)
}

// naiveRule accepts each revision once it is committed and serves whatever
// revision a router has applied.
var naiveRule = acceptanceRule{
	name:     "naive",
	accepted: func(_ *fleet, committed int64) int64 { return committed },
	serves:   func(r *router) (int64, bool) { return r.Catalog().Revision, !r.frozen && r.Catalog().Revision > 0 },
}

// keeperRule is the rule that Keeper implements.
var keeperRule = acceptanceRule{
	name:     "keeper",
	accepted: func(f *fleet, _ int64) int64 { return f.acceptedRevision() },
	serves:   (*router).serves,
}

// violations counts the routers that would serve an earlier revision than the
// newest accepted one.
func (rule acceptanceRule) violations(f *fleet, committed int64) (n int) {
	accepted := rule.accepted(f, committed)
	for _, r := range f.routers {
		if revision, serves := rule.serves(r); serves && revision < accepted {
			n++
		}
	}
	return n
}

// TestAcceptedRevisionIsServedEverywhere guards against the acceptance of a change
// while one router can still serve the revision before. A change is committed
// while one router has a fault; then that router recovers and must serve the new
// revision.
func TestAcceptedRevisionIsServedEverywhere(t *testing.T) {
	for _, test := range []struct {
		name        string
		injectFault func(f *fleet)
		// delaysAcceptance is true if the change must not be accepted before the
		// router has recovered.
		delaysAcceptance bool
	}{
		{"healthy", func(*fleet) {}, false},
		{"cut off from routers", func(f *fleet) { f.routers[2].setPartitioned(true) }, true},
		{"cut off from the store", func(f *fleet) { f.routers[2].setStoreOutage(true) }, false},
		{"cut off from everything", func(f *fleet) { f.routers[2].setPartitioned(true); f.routers[2].setStoreOutage(true) }, true},
		{"frozen", func(f *fleet) { f.routers[2].setFrozen(true) }, true},
		{"restarted after a crash", func(f *fleet) { f.restart(2, false); f.routers[2].runOnce() }, true},
		{"restarted as planned", func(f *fleet) { restartUnregistered(f, false).runOnce() }, false},
		{"starting without the store", func(f *fleet) { f.restart(2, true); f.routers[2].runOnce() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.mustCommit(f.routers[0])
			f.step()
			assert.Equal(t, f.acceptedRevision(), int64(1))
			test.injectFault(f)
			f.clock.Advance(time.Second)
			f.mustCommit(f.routers[0])
			assert.Assert(t, naiveRule.violations(f, 2) > 0)
			assert.Equal(t, keeperRule.violations(f, 2), 0)
			f.routers[0].pushOnce(t.Context(), 0)
			result, _ := f.routers[0].acceptance.status(2)
			assert.Equal(t, result.Accepted, !test.delaysAcceptance)
			if test.delaysAcceptance {
				assert.DeepEqual(t, result.WaitingFor, []string{"entry-3"})
			}
			assert.Equal(t, keeperRule.violations(f, 2), 0)

			// A router that resumes with a view older than ViewBound confirms it
			// before it takes work.
			f.clock.Advance(testSettings().ViewBound)
			f.routers[2].setPartitioned(false)
			f.routers[2].setFrozen(false)
			revision, serves := keeperRule.serves(f.routers[2])
			assert.Assert(t, serves && revision == 2, "serves %t revision %d", serves, revision)
			f.routers[2].setStoreOutage(false)
			f.step()
			f.clock.Advance(f.routers[2].grantedLeaseDuration())
			f.step()
			f.step()
			assert.Equal(t, f.acceptedRevision(), int64(2))
		})
	}
}

// TestIsolatedRouterStopsServingBeforeAcceptance guards against an isolated router
// that still serves the previous revision when a change is accepted without it.
// The router is cut off from the store and all routers and never recovers.
func TestIsolatedRouterStopsServingBeforeAcceptance(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	isolated := f.routers[2]
	isolated.setPartitioned(true)
	isolated.setStoreOutage(true)
	f.mustCommit(f.routers[0])
	bound := testSettings().UnconfirmedBound
	for elapsed := time.Duration(0); elapsed <= bound+bound/50; elapsed += time.Second {
		f.step()
		assert.Equal(t, keeperRule.violations(f, 2), 0)
		if elapsed == bound/2 {
			_, serves := isolated.serves()
			assert.Assert(t, serves, "the router should still serve after half of the bound")
			assert.Equal(t, f.acceptedRevision(), int64(1))
		}
		f.clock.Advance(time.Second)
	}
	assert.Equal(t, f.acceptedRevision(), int64(2))
	assert.Equal(t, failure.CodeOf(isolated.ConfirmView(t.Context())), failure.StaleView)
	assert.Assert(t, isolated.UnreadyReason() != "")
}

// TestAcceptanceSkipsRemovedVM guards against waiting for a crashed router whose VM
// is no longer in the platform's list.
func TestAcceptanceSkipsRemovedVM(t *testing.T) {
	f := newFleet(t, 3)
	var vms []platform.VM
	for _, r := range f.routers {
		vms = append(vms, platform.VM{ID: r.id.VM, State: platform.VMRunning})
	}
	f.store.SetVMs(vms)
	f.mustCommit(f.routers[0])
	f.step()
	f.routers[2].setFrozen(true) // crashed
	f.store.SetVMs(vms[:2])
	f.mustCommit(f.routers[0])
	f.step()
	assert.Equal(t, f.acceptedRevision(), int64(1))
	f.clock.Advance(member.DefaultSettings().TerminatedAfter)
	f.step()
	f.step()
	assert.Equal(t, f.acceptedRevision(), int64(2))
}

// TestViewAgeSurvivesClockJumps guards against an age that is too small after a
// clock jump. clock.Elapsed uses the clock by which more time has passed: the
// monotonic clock of a suspended VM may have stood still, and a wall clock may be
// set back.
func TestViewAgeSurvivesClockJumps(t *testing.T) {
	start := time.Now() // has a monotonic reading
	later := start.Add(5 * time.Second)
	for _, test := range []struct {
		name     string
		from, to time.Time
		want     time.Duration
	}{
		{"steady", start, later, 5 * time.Second},
		{"suspended: more time by the wall clock", start.Round(0), later.Round(0).Add(time.Hour), time.Hour + 5*time.Second},
		{"wall clock set back: more time by the monotonic clock", start, later, 5 * time.Second},
	} {
		assert.Equal(t, clock.Elapsed(test.from, test.to), test.want, test.name)
	}
	// An age computed from the wall clock alone is negative after the clock was
	// set back.
	naive := later.Round(0).Add(-time.Hour).Sub(start.Round(0))
	assert.Assert(t, naive < 0)
}

// TestRandomFaultsNeverServeBelowAcceptedRevision runs random schedules of faults
// and changes. After each step, no router may serve an earlier revision than an
// accepted one, and the applied revision of no router may decrease.
func TestRandomFaultsNeverServeBelowAcceptedRevision(t *testing.T) {
	const seed = 6
	schedules := 400
	if testing.Short() {
		schedules = 60
	}
	naiveViolations, accepted := 0, 0
	for s := range schedules {
		violations, revisions := runSchedule(t, rand.New(rand.NewPCG(seed, uint64(s))), fmt.Sprintf("seed %d schedule %d", seed, s))
		naiveViolations, accepted = naiveViolations+violations, accepted+revisions
	}
	t.Logf("seed %d, %d schedules: %d changes accepted, naive rule violated %d times, keeper rule never", seed, schedules, accepted, naiveViolations)
	assert.Assert(t, naiveViolations > 0, "no schedule violates the naive rule")
	assert.Assert(t, accepted > schedules, "too few revisions are accepted")
}

// runSchedule runs one random schedule on a new fleet. It returns how often the
// naive rule was violated and how many revisions were accepted.
func runSchedule(t *testing.T, random *rand.Rand, name string) (naive, accepted int) {
	f := newFleet(t, 5)
	f.relayThreshold = []int{16, 2}[random.IntN(2)] // with and without relays
	f.applyRelayThreshold()
	committed := f.mustCommit(f.routers[0])
	f.step()
	var steps []string
	for range 40 {
		r := f.routers[random.IntN(len(f.routers))]
		action := random.IntN(10)
		steps = append(steps, fmt.Sprintf("%d:%s", action, r.id))
		switch action {
		case 0:
			r.setPartitioned(!r.partitioned)
		case 1:
			r.setStoreOutage(!r.storeOutage)
		case 2:
			r.setFrozen(!r.frozen)
		case 3:
			f.restart(int(r.id.VM[len(r.id.VM)-1]-'1'), r.storeOutage)
		case 4, 5:
			if !r.frozen && !r.storeOutage {
				if result, err := r.commit("x"); err == nil {
					committed = result.Revision
				}
			}
		case 6:
			f.clock.Advance(time.Duration(random.IntN(5000)) * time.Millisecond)
		case 7:
			f.clock.Advance(time.Duration(random.IntN(400)) * time.Second)
		case 8:
			f.step()
		case 9: // a planned stop and a new start
			if !r.frozen && !r.storeOutage && !r.mayHaveLessees() { // DrainViewLeases waits for the same
				r.members.Deregister(t.Context())
				f.restart(int(r.id.VM[len(r.id.VM)-1]-'1'), random.IntN(2) == 0)
			}
		}
		if random.IntN(2) == 0 {
			f.step()
		}
		naive += naiveRule.violations(f, committed)
		if v := keeperRule.violations(f, committed); v > 0 {
			t.Fatalf("%s: %d routers serve below accepted revision %d after %v%s", name, v, f.acceptedRevision(), steps, f.describe())
		}
		checkRevisionsNeverDecrease(t, f, name)
	}
	return naive, int(f.acceptedRevision())
}

// checkRevisionsNeverDecrease fails the test if the applied revision of a router is
// below the highest one seen there before.
func checkRevisionsNeverDecrease(t *testing.T, f *fleet, name string) {
	for _, r := range f.routers {
		if revision := r.Catalog().Revision; revision < r.highestRevision {
			t.Fatalf("%s: %s went from revision %d back to %d", name, r.id, r.highestRevision, revision)
		} else {
			r.highestRevision = revision
		}
	}
}

// TestRetriedCommitIsAppliedOnce guards against a change that is committed twice
// when an operator retries it with the same ID because the response was lost.
func TestRetriedCommitIsAppliedOnce(t *testing.T) {
	f := newFleet(t, 1)
	change := Change{ID: "retry-me", Ops: []Op{{Kind: KindPool, Name: "p", Put: []byte(`{"kind":"model"}`)}}}
	for range 2 {
		result, err := f.routers[0].Commit(context.Background(), change)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, int64(1))
		f.store.ForgetOpIDs()
	}
}
