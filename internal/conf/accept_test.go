package conf

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

// rule is a way of saying that a change is accepted and of serving it.
type rule struct {
	name string
	// accepted is the newest revision said to be accepted.
	accepted func(f *fleet, committed int64) int64
	// serves is what new work at a router meets.
	serves func(r *router) (int64, bool)
}

// ruleNaive accepts what is committed and serves what it has.
var ruleNaive = rule{
	name:     "naive",
	accepted: func(_ *fleet, committed int64) int64 { return committed },
	serves:   func(r *router) (int64, bool) { return r.Catalog().Revision, !r.frozen && r.Catalog().Revision > 0 },
}

var ruleOurs = rule{
	name:     "ours",
	accepted: func(f *fleet, _ int64) int64 { return f.said() },
	serves:   (*router).serves,
}

// violations counts the routers that would serve an older revision than one
// said to be accepted.
func (u rule) violations(f *fleet, committed int64) (n int) {
	accepted := u.accepted(f, committed)
	for _, r := range f.routers {
		if revision, serves := u.serves(r); serves && revision < accepted {
			n++
		}
	}
	return n
}

// TestAcceptedIsInForceEverywhere commits a change while one router is in
// trouble, and then lets that router come back.
func TestAcceptedIsInForceEverywhere(t *testing.T) {
	for _, test := range []struct {
		name    string
		trouble func(f *fleet)
		// waits is true if the change must not be accepted at once.
		waits bool
	}{
		{"healthy", func(*fleet) {}, false},
		{"cut from routers", func(f *fleet) { f.routers[2].setCut(true) }, true},
		{"cut from the store", func(f *fleet) { f.routers[2].setAway(true) }, false},
		{"cut from everything", func(f *fleet) { f.routers[2].setCut(true); f.routers[2].setAway(true) }, true},
		{"frozen", func(f *fleet) { f.routers[2].setFrozen(true) }, true},
		{"started anew after a crash", func(f *fleet) { f.restart(2, false); f.routers[2].loop() }, true},
		{"started anew as planned", func(f *fleet) { startReplaced(f, false).loop() }, false},
		{"starting without the store", func(f *fleet) { f.restart(2, true); f.routers[2].loop() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.mustCommit(f.routers[0])
			f.step()
			assert.Equal(t, f.said(), int64(1))
			test.trouble(f)
			f.clock.Advance(time.Second)
			f.mustCommit(f.routers[0])
			assert.Assert(t, ruleNaive.violations(f, 2) > 0)
			assert.Equal(t, ruleOurs.violations(f, 2), 0)
			f.routers[0].pushOnce(t.Context(), 0)
			result, _ := f.routers[0].accept.result(2)
			assert.Equal(t, result.Accepted, !test.waits)
			if test.waits {
				assert.DeepEqual(t, result.WaitingFor, []string{"entry-3"})
			}
			assert.Equal(t, ruleOurs.violations(f, 2), 0)

			// A router that wakes with its view beyond the bound confirms it
			// before it takes work.
			f.clock.Advance(testSettings().ViewBound)
			f.routers[2].setCut(false)
			f.routers[2].setFrozen(false)
			revision, serves := ruleOurs.serves(f.routers[2])
			assert.Assert(t, serves && revision == 2, "serves %t revision %d", serves, revision)
			f.routers[2].setAway(false)
			f.step()
			f.clock.Advance(f.routers[2].holdTime())
			f.step()
			f.step()
			assert.Equal(t, f.said(), int64(2))
		})
	}
}

// TestCutOffRouterStopsBeforeTheChangeIsAccepted never heals the cut.
func TestCutOffRouterStopsBeforeTheChangeIsAccepted(t *testing.T) {
	f := newFleet(t, 3)
	f.mustCommit(f.routers[0])
	f.step()
	lost := f.routers[2]
	lost.setCut(true)
	lost.setAway(true)
	f.mustCommit(f.routers[0])
	bound := testSettings().UnconfirmedBound
	for passed := time.Duration(0); passed <= bound+bound/50; passed += time.Second {
		f.step()
		assert.Equal(t, ruleOurs.violations(f, 2), 0)
		if passed == bound/2 {
			_, serves := lost.serves()
			assert.Assert(t, serves, "the router is to serve on through half of the bound")
			assert.Equal(t, f.said(), int64(1))
		}
		f.clock.Advance(time.Second)
	}
	assert.Equal(t, f.said(), int64(2))
	assert.Equal(t, failure.CodeOf(lost.ConfirmView(t.Context())), failure.StaleView)
	assert.Assert(t, lost.UnreadyReason() != "")
}

// TestGoneVMIsNotWaitedFor: the platform's list drops a crashed router's VM.
func TestGoneVMIsNotWaitedFor(t *testing.T) {
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
	assert.Equal(t, f.said(), int64(1))
	f.clock.Advance(member.DefaultSettings().TerminatedAfter)
	f.step()
	f.step()
	assert.Equal(t, f.said(), int64(2))
}

// TestViewAgeSurvivesClockJumps takes the clock that says more: a suspended
// VM's monotonic clock may have stood still, and a wall clock may be set back.
func TestViewAgeSurvivesClockJumps(t *testing.T) {
	start := time.Now() // has a monotonic reading
	later := start.Add(5 * time.Second)
	for _, test := range []struct {
		name     string
		from, to time.Time
		want     time.Duration
	}{
		{"steady", start, later, 5 * time.Second},
		{"suspended: the wall clock says more", start.Round(0), later.Round(0).Add(time.Hour), time.Hour + 5*time.Second},
		{"wall clock set back: the monotonic clock says more", start, later, 5 * time.Second},
	} {
		assert.Equal(t, clock.Elapsed(test.from, test.to), test.want, test.name)
	}
	// The naive age by wall clock is fooled by a clock set back.
	naive := later.Round(0).Add(-time.Hour).Sub(start.Round(0))
	assert.Assert(t, naive < 0)
}

// TestRandomSchedules runs random faults and changes and checks after each
// step that no router would serve an older revision than an accepted one, and
// that none goes back.
func TestRandomSchedules(t *testing.T) {
	const seed = 6
	schedules := 400
	if testing.Short() {
		schedules = 60
	}
	naive, accepted := 0, 0
	for s := range schedules {
		n, a := runSchedule(t, rand.New(rand.NewPCG(seed, uint64(s))), fmt.Sprintf("seed %d schedule %d", seed, s))
		naive, accepted = naive+n, accepted+a
	}
	t.Logf("seed %d, %d schedules: %d changes accepted, naive rule violated %d times, ours never", seed, schedules, accepted, naive)
	assert.Assert(t, naive > 0, "the schedules do not trouble the naive rule")
	assert.Assert(t, accepted > schedules, "the schedules leave too little accepted")
}

func runSchedule(t *testing.T, random *rand.Rand, name string) (naive, accepted int) {
	f := newFleet(t, 5)
	f.relayAbove = []int{16, 2}[random.IntN(2)] // with and without relays
	f.applyRelays()
	committed := f.mustCommit(f.routers[0])
	f.step()
	var steps []string
	for range 40 {
		r := f.routers[random.IntN(len(f.routers))]
		action := random.IntN(10)
		steps = append(steps, fmt.Sprintf("%d:%s", action, r.id))
		switch action {
		case 0:
			r.setCut(!r.cut)
		case 1:
			r.setAway(!r.away)
		case 2:
			r.setFrozen(!r.frozen)
		case 3:
			f.restart(int(r.id.VM[len(r.id.VM)-1]-'1'), r.away)
		case 4, 5:
			if !r.frozen && !r.away {
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
			if !r.frozen && !r.away && !r.answersForOthers() { // as Leave waits for
				r.members.Deregister(t.Context())
				f.restart(int(r.id.VM[len(r.id.VM)-1]-'1'), random.IntN(2) == 0)
			}
		}
		if random.IntN(2) == 0 {
			f.step()
		}
		naive += ruleNaive.violations(f, committed)
		if v := ruleOurs.violations(f, committed); v > 0 {
			t.Fatalf("%s: %d routers serve below accepted revision %d after %v%s", name, v, f.said(), steps, f.describe())
		}
		checkNoneGoesBack(t, f, name)
	}
	return naive, int(f.said())
}

func checkNoneGoesBack(t *testing.T, f *fleet, name string) {
	for _, r := range f.routers {
		if at := r.Catalog().Revision; at < r.highest {
			t.Fatalf("%s: %s went from revision %d back to %d", name, r.id, r.highest, at)
		} else {
			r.highest = at
		}
	}
}

// TestCommitSettlesLostReplies tries a change again after the answer to the
// operator was lost.
func TestCommitSettlesLostReplies(t *testing.T) {
	f := newFleet(t, 1)
	change := Change{ID: "retry-me", Ops: []Op{{Kind: KindPool, Name: "p", Put: []byte(`{"kind":"model"}`)}}}
	for range 2 {
		result, err := f.routers[0].Commit(context.Background(), change)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, int64(1))
		f.store.ForgetOpIDs()
	}
}
