package prepaid_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// result is what callers received in a scenario. due counts the requests for which
// the totals had enough tokens; of these, served were served within the latency
// objective and late after it. refusals counts the refused ones by error.
type result struct {
	due, served, late  int
	refusals           map[string]int
	commits, conflicts int64
}

// servedShare returns the share of due requests that were served in time.
func (r result) servedShare() float64 { return float64(r.served) / float64(max(r.due, 1)) }

// String describes the result. Its value counts a late request as 0.3 of one that
// was served in time.
func (r result) String() string {
	return fmt.Sprintf("served in time %.3f of %d, value %.3f, late %d, refused %v, commits %d, conflicts %d", r.servedShare(), r.due, r.servedShare()+0.3*float64(r.late)/float64(max(r.due, 1)), r.late, r.refusals, r.commits, r.conflicts)
}

// scenario is a load on a fleet in simulated time, with faults.
type scenario struct {
	seed     uint64
	routers  int
	duration time.Duration
	load     []workload
	// limitFactor sets the limit of each workspace, as a multiple of its mean use
	// in 34 s.
	limitFactor float64
	// minServedShare is the least share of due requests that must be served in
	// time.
	minServedShare float64
	// disturb injects faults; it may be nil. freezes is set if they freeze processes.
	disturb func(s *simulation)
	freezes bool
}

// warmUp is the time from the start of the routers to the first requests.
const warmUp = 8 * time.Second

// run runs the scenario in a synctest bubble.
func (sc scenario) run(t *testing.T) result {
	var res result
	synctest.Test(t, func(t *testing.T) { res = sc.play(t) })
	return res
}

// play runs the scenario in the synctest bubble of t.
func (sc scenario) play(t *testing.T) result {
	var res result
	s := newSimulation(t, sc.routers, sc.seed, func(s *simulation) { s.freezes = sc.freezes })
	for _, load := range sc.load {
		s.setLimit(load.workspace, int64(sc.limitFactor*34*load.requestsPerSecond*meanRequestTokens))
	}
	time.Sleep(warmUp)
	var running sync.WaitGroup
	for _, load := range sc.load {
		running.Go(func() { s.generateLoad(load, sc.duration, &running) })
	}
	if sc.disturb != nil {
		running.Go(func() { sc.disturb(s) })
	}
	running.Wait()
	s.shutdown()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, load := range sc.load {
		res.due += s.due[load.workspace]
		res.served += s.served[load.workspace]
	}
	counts := s.store.Counts()
	res.late, res.refusals, res.commits, res.conflicts = s.servedLate, s.refusals, counts.Commits, counts.Conflicts
	return res
}

// tenWorkspaces returns the load of ten workspaces of unequal size, 70 requests per
// second in total.
func tenWorkspaces() []workload {
	var list []workload
	for i, share := range []float64{0.25, 0.15, 0.12, 0.1, 0.1, 0.08, 0.06, 0.05, 0.05, 0.04} {
		list = append(list, workload{workspace: fmt.Sprint("coop-", i), requestsPerSecond: 70 * share})
	}
	return list
}

// sleepUntil sleeps until an offset from the start of a scenario.
func sleepUntil(start time.Time, offset time.Duration) { time.Sleep(time.Until(start.Add(offset))) }

func randomSeed() uint64 { return rand.Uint64() }

// movingWorkspaces returns the load of tenWorkspaces, in which each workspace uses
// one of nine routers, and a different one from second 20 on.
func movingWorkspaces() []workload {
	list := tenWorkspaces()
	for i := range list {
		list[i].weights = func(now time.Duration) []float64 {
			w := make([]float64, 9)
			if now < 20*time.Second {
				w[i%9] = 1
			} else {
				w[(i+4)%9] = 1
			}
			return w
		}
	}
	return list
}

// partitionFor partitions all routers from the store for a duration that begins at
// an offset from the start of the scenario.
func partitionFor(s *simulation, start time.Time, offset, duration time.Duration) {
	sleepUntil(start, offset)
	s.partitionAll(true)
	time.Sleep(duration)
	s.partitionAll(false)
}

// killAll kills all routers; they restart after 1.3 s.
func killAll(s *simulation) {
	s.forEachRouter(func(vm int, _ *router) { s.kill(vm, 1300*time.Millisecond) })
}

// scenarios returns loads with and without faults by name. Without faults, nearly
// all due requests must be served, which minServedShare requires.
func scenarios() map[string]scenario {
	short, long := 34*time.Second, 50*time.Second
	nineRouters := func(duration time.Duration, load []workload, minServedShare float64, disturb func(s *simulation, start time.Time)) scenario {
		sc := scenario{routers: 9, duration: duration, load: load, limitFactor: 1.3, minServedShare: minServedShare}
		if disturb != nil {
			sc.disturb = func(s *simulation) { disturb(s, time.Now()) }
		}
		return sc
	}
	return map[string]scenario{
		"calm":             nineRouters(short, tenWorkspaces(), 0.99, nil),
		"spent to the end": nineRouters(long, tenWorkspaces(), 0.99, nil),
		"two outages": nineRouters(short, tenWorkspaces(), 0, func(s *simulation, start time.Time) {
			partitionFor(s, start, 6*time.Second, 8*time.Second)
			partitionFor(s, start, 23*time.Second, 8*time.Second)
		}),
		"two outages, then all killed": nineRouters(long, tenWorkspaces(), 0, func(s *simulation, start time.Time) {
			partitionFor(s, start, 6*time.Second, 8*time.Second)
			partitionFor(s, start, 23*time.Second, 8*time.Second)
			sleepUntil(start, 34*time.Second)
			killAll(s)
		}),
		"all killed in an outage": nineRouters(long, tenWorkspaces(), 0, func(s *simulation, start time.Time) {
			partitionFor(s, start, 6*time.Second, 8*time.Second)
			sleepUntil(start, 24*time.Second)
			s.partitionAll(true)
			sleepUntil(start, 35500*time.Millisecond)
			killAll(s)
		}),
		"all killed": nineRouters(long, tenWorkspaces(), 0, func(s *simulation, start time.Time) {
			sleepUntil(start, 34*time.Second)
			killAll(s)
		}),
		"power lost on a third": nineRouters(long, tenWorkspaces(), 0, func(s *simulation, start time.Time) {
			sleepUntil(start, 10*time.Second)
			for vm := range 3 {
				s.kill(vm, 3500*time.Millisecond)
			}
		}),
		"callers move before an outage": nineRouters(short, movingWorkspaces(), 0, func(s *simulation, start time.Time) {
			partitionFor(s, start, 24*time.Second, 8*time.Second)
		}),
	}
}

// TestScenarios runs each scenario once and logs what callers received.
func TestScenarios(t *testing.T) {
	for name, sc := range scenarios() {
		if testing.Short() && sc.minServedShare > 0 {
			continue // the scenarios with faults exercise all that these do
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc.seed = randomSeed()
			res := sc.run(t)
			t.Logf("PLAY %s: %v", name, res)
			assert.Assert(t, res.servedShare() >= sc.minServedShare, "served %.3f, seed %d", res.servedShare(), sc.seed)
		})
	}
}

// TestReclaimAfterOutageExcludesUnlockedTokens: when a process dies that could not
// reach the store, its successor returns the inactive tokens that were not yet
// unlocked. After a long outage all were unlocked, so none are returned.
func TestReclaimAfterOutageExcludesUnlockedTokens(t *testing.T) {
	for _, test := range []struct {
		name      string
		outage    time.Duration
		reclaimed bool
	}{{"short outage", 3 * time.Second, true}, {"long outage", 12 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 1, randomSeed())
				defer s.shutdown()
				s.setLimit("coop-0", 100_000)
				for range 12 {
					r, err := s.router(0).Reserve(context.Background(), "coop-0", 1000)
					assert.NilError(t, err)
					r.Settle(1000)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				rows, _ := s.readRows("prepaid", "coop-0")
				assert.Assert(t, rows["total"].Granted > 50_000, "granted %d", rows["total"].Granted)
				s.partitionAll(true)
				time.Sleep(test.outage)
				s.kill(0, 500*time.Millisecond)
				time.Sleep(2 * time.Second)
				_, err := s.router(0).Reserve(context.Background(), "coop-0", 55_000)
				assert.Equal(t, err == nil, test.reclaimed, "%v", err)
			})
		})
	}
}

// TestReclaimUsesPredecessorsUnlockSettings guards against counting a predecessor's
// unlocked tokens by the settings of its successor, which may unlock more slowly.
// The predecessor's spending would then be counted too low.
func TestReclaimUsesPredecessorsUnlockSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 0, randomSeed())
		defer s.shutdown()
		s.routers = make([]*router, 1)
		s.settings.UnlockAfter, s.settings.UnlockWithin = time.Second, 3*time.Second
		s.setLimit("coop-0", 100_000)
		s.start(0)
		time.Sleep(3 * time.Second)
		s.partitionAll(true)
		time.Sleep(4 * time.Second)
		first := s.router(0)
		reservation, err := first.Reserve(context.Background(), "coop-0", 25_000)
		assert.NilError(t, err, "all of the grant is unlocked")
		reservation.Settle(25_000)
		s.settings.UnlockAfter, s.settings.UnlockWithin = time.Minute, time.Hour
		s.kill(0, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		_, err = s.router(0).Reserve(context.Background(), "coop-0", 80_000)
		assert.Assert(t, err != nil, "25,000 of 100,000 are spent")
	})
}

// TestFirstGrantsDrawnBeforeFirstRequest: the lenders of the workspaces passed to
// SetWorkspaces draw grants before their first requests.
func TestFirstGrantsDrawnBeforeFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, randomSeed())
		defer s.shutdown()
		s.setLimit("coop-0", 1_000_000)
		time.Sleep(3 * time.Second)
		rows, _ := s.readRows("prepaid", "coop-0")
		assert.Equal(t, len(rows), 3, "two grants and the total: %v", rows)
		assert.Assert(t, rows["total"].Granted > 10_000, "granted %d", rows["total"].Granted)
	})
}

// TestRecallGathersScatteredTokens: when the unspent tokens of a total are spread
// over nine holders in parts smaller than a request, they can still serve one.
func TestRecallGathersScatteredTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 9, randomSeed())
		defer s.shutdown()
		s.setLimit("coop-0", 270_000)
		for range 6 {
			for vm := range 9 {
				reservation, err := s.router(vm).Reserve(context.Background(), "coop-0", 6000)
				assert.NilError(t, err)
				reservation.Settle(4500)
			}
			time.Sleep(300 * time.Millisecond)
		}
		rows, _ := s.readRows("prepaid", "coop-0")
		assert.Assert(t, rows["total"].Granted > 246_000, "granted %d of which 243,000 are spent", rows["total"].Granted)
		reservation, err := s.router(0).Reserve(context.Background(), "coop-0", 26_000)
		assert.NilError(t, err)
		reservation.Settle(26_000)
	})
}

// TestLargeFleetStaysWithinWriteRate: 62 routers with 24 workspaces, most of which
// get a request every few seconds, stay below the 1,500 writes per second,
// including conflicts, that the platform allows such a fleet.
func TestLargeFleetStaysWithinWriteRate(t *testing.T) {
	const writesPerSecond = 1500
	sc := scenario{seed: randomSeed(), routers: 62, duration: 6 * time.Second, limitFactor: 1.3}
	for i := range 24 {
		sc.load = append(sc.load, workload{workspace: fmt.Sprint("coop-", i), requestsPerSecond: 17.7})
	}
	if testing.Short() {
		sc.duration = time.Second // most writes happen at the start
	}
	res := sc.run(t)
	t.Log(res)
	assert.Assert(t, res.servedShare() >= 0.99, "served %.3f, seed %d", res.servedShare(), sc.seed)
	maxCommits := int64(writesPerSecond * (sc.duration + warmUp).Seconds())
	assert.Assert(t, res.commits <= maxCommits, "%d commits, seed %d", res.commits, sc.seed)
}
