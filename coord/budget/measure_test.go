package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// measureEnv is the environment variable that enables the measurements.
const measureEnv = "DAISYSLIP_MEASURE"

// deployment describes the routers and requests of one user of the system.
type deployment struct {
	name    string
	routers int
	// hop is the network latency between two routers, one way.
	hop time.Duration
	// Each request reserves between minTokens and maxTokens tokens.
	minTokens, maxTokens int64
}

var deployments = []deployment{
	{"haneul", 6, time.Millisecond, 300, 1200},
	{"turnos", 9, 500 * time.Microsecond, 100, 600},
}

// measureSeed is the seed of the workloads.
const measureSeed = 1

// Each deployment has this number of workspaces. The large ones send largeRate
// requests per second each and the others smallRate; in trials with sparse
// workspaces, each sends sparseRate.
const (
	largeWorkspaces = 3
	workspaces      = 10
	largeRate       = 3.0
	smallRate       = 0.15
	sparseRate      = 0.01
)

// workspaceTally is the true state of one workspace's budget, in tokens, and
// of its requests, which no router knows.
type workspaceTally struct {
	account               Account
	perSecond             float64
	paid, spent, reserved int64
	served, refused       int
	falseRefused          int
	// falseRefusedBefore98 is the number of false refusals before 98% of the
	// paid tokens were spent.
	falseRefusedBefore98 int
}

// available returns the tokens that are neither spent nor reserved.
func (w *workspaceTally) available() int64 { return w.paid - w.spent - w.reserved }

// candidate is one method of enforcing budgets, running on several routers.
type candidate struct {
	clients []*memory.Client
	reserve func(ctx context.Context, router int, req Request) (Reservation, error)
	crash   func(router int)
	stop    func()
}

// trial is one run of a workload against a candidate.
type trial struct {
	deployment
	budgetLifetime time.Duration // time in which a budget is spent at its mean rate
	duration       time.Duration
	outage         time.Duration // starts in the middle of the trial; 0 is none
	crash          bool          // of one router, in the middle of the trial
	seed           uint64
	// sparseWorkspaces, if not 0, replaces the workspaces by this number of
	// workspaces with sparseRate each.
	sparseWorkspaces int
	// idleAfter replaces the setting if it is not 0.
	idleAfter time.Duration
}

// trialResult holds the figures of a trial.
type trialResult struct {
	overspend               int64
	served, refused         int
	falseRefused            int
	falseBefore98           int
	outageServed            float64 // fraction of the requests offered during the outage
	inDoubtMean, inDoubtMax float64 // fraction of a budget
	rowsWritten, rowsRead   float64 // rows per second
	conflicts               float64 // per second
}

// falseRefusalShare is the fraction of false refusals in the requests that
// could have been served.
func (r trialResult) falseRefusalShare() float64 {
	return float64(r.falseRefused) / float64(max(1, r.served+r.falseRefused))
}

func (r trialResult) String() string {
	return fmt.Sprintf("overspend %d | false %.3f%% (%d before 98%%) | outage served %.1f%% | in doubt mean %.3f%% max %.3f%% | rows/s written %.2f read %.2f conflicts %.3f | served %d refused %d",
		r.overspend, 100*r.falseRefusalShare(), r.falseBefore98, 100*r.outageServed,
		100*r.inDoubtMean, 100*r.inDoubtMax, r.rowsWritten, r.rowsRead, r.conflicts, r.served, r.refused)
}

// meanUse is the mean fraction of a reservation that is used; the fractions
// are distributed uniformly between 0.2 and 1.
const meanUse = 0.6

// newTallies creates the workspaces and pays for their budgets.
func (tr trial) newTallies(store *memory.Store) []*workspaceTally {
	ledger := NewLedger(store.NewClient())
	mean := meanUse * float64(tr.minTokens+tr.maxTokens) / 2
	tallies := make([]*workspaceTally, max(tr.sparseWorkspaces, workspaces))
	for i := range tallies {
		w := &workspaceTally{account: Account{Workspace: fmt.Sprintf("w%d", i), Budget: "default"}, perSecond: smallRate}
		switch {
		case tr.sparseWorkspaces > 0:
			w.perSecond = sparseRate
		case i < largeWorkspaces:
			w.perSecond = largeRate
		}
		w.paid = int64(w.perSecond * mean * tr.budgetLifetime.Seconds())
		must(ledger.TopUp(context.Background(), w.account, "first", w.paid))
		tallies[i] = w
	}
	return tallies
}

// run runs the trial in virtual time and returns its figures.
func (tr trial) run(newCandidate func(trial, *memory.Store) *candidate) trialResult {
	store := memory.NewStore(clock.Real{})
	tallies := tr.newTallies(store)
	c := newCandidate(tr, store)
	defer c.stop()
	var (
		mu            sync.Mutex // guards the tallies and the variables below
		outageActive  bool
		inOutage      [2]int // requests offered and served during the outage
		running       sync.WaitGroup
		crashedRouter = -1
		inDoubt       []float64
	)
	random := rand.New(rand.NewPCG(tr.seed, 1))
	serve := func(w *workspaceTally, router int, req Request, used int64, generationTime time.Duration) {
		mu.Lock()
		servable, duringOutage := w.available() >= req.Tokens, outageActive
		mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r, err := c.reserve(ctx, router, req)
		mu.Lock()
		servable = servable || w.available() >= req.Tokens
		if duringOutage && servable {
			inOutage[0]++
		}
		if err != nil {
			w.refused++
			if servable {
				w.falseRefused++
				if w.spent < w.paid*98/100 {
					w.falseRefusedBefore98++
				}
			}
			mu.Unlock()
			return
		}
		if duringOutage && servable {
			inOutage[1]++
		}
		w.reserved += req.Tokens
		w.served++
		mu.Unlock()
		time.Sleep(generationTime)
		mu.Lock()
		w.reserved -= req.Tokens
		w.spent += used
		mu.Unlock()
		_ = r.Settle(ctx, used)
	}
	countsBefore := store.Counts()
	start := time.Now()
	totalRate := 0.0
	for _, w := range tallies {
		totalRate += w.perSecond
	}
	for i := 0; time.Since(start) < tr.duration; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / totalRate * float64(time.Second)))
		elapsed := time.Since(start)
		if tr.outage > 0 {
			outage := elapsed > tr.duration/2 && elapsed < tr.duration/2+tr.outage
			if outage != outageActive {
				mu.Lock()
				outageActive = outage
				mu.Unlock()
				for _, client := range c.clients {
					client.SetFaults(memory.Faults{Outage: outage})
				}
			}
		}
		if tr.crash && crashedRouter < 0 && elapsed > tr.duration/2 {
			crashedRouter = 0
			c.crash(0)
			inDoubt = tr.inDoubtShares(store, tallies)
		}
		pick := random.Float64() * totalRate
		w := tallies[0]
		for _, w = range tallies {
			if pick -= w.perSecond; pick <= 0 {
				break
			}
		}
		router := random.IntN(tr.routers)
		if router == crashedRouter {
			router++
		}
		tokens := tr.minTokens + random.Int64N(tr.maxTokens-tr.minTokens)
		used := 1 + int64(float64(tokens)*(0.2+0.8*random.Float64()))
		generationTime := time.Duration(1+random.IntN(15_000)) * time.Millisecond
		req := Request{Account: w.account, Key: fmt.Sprint(i), Unique: true, Tokens: tokens}
		running.Go(func() { serve(w, router, req, used, generationTime) })
	}
	running.Wait()
	return summarise(tr, tallies, countsBefore, store.Counts(), inOutage, inDoubt)
}

// inDoubtShares reads which fraction of each budget is in doubt after the
// crash of the first router.
func (tr trial) inDoubtShares(store *memory.Store, tallies []*workspaceTally) []float64 {
	ledger := NewLedger(store.NewClient()).WithLive(func(holder string) bool { return !strings.HasPrefix(holder, "entry-1/") })
	var shares []float64
	for _, w := range tallies {
		b := must(ledger.Balance(context.Background(), w.account))
		shares = append(shares, float64(b.InDoubt)/float64(b.Paid))
	}
	return shares
}

// summarise computes the figures of a trial from its tallies, the store's
// counts before and after it, the requests offered and served during the
// outage, and the fractions in doubt.
func summarise(tr trial, tallies []*workspaceTally, before, after memory.Counts, outage [2]int, inDoubt []float64) trialResult {
	seconds := tr.duration.Seconds()
	r := trialResult{
		rowsWritten: float64(after.RowsWritten-before.RowsWritten) / seconds,
		rowsRead:    float64(after.RowsRead-before.RowsRead) / seconds,
		conflicts:   float64(after.Conflicts-before.Conflicts) / seconds,
	}
	for _, w := range tallies {
		r.overspend += max(0, w.spent-w.paid)
		r.served += w.served
		r.refused += w.refused
		r.falseRefused += w.falseRefused
		r.falseBefore98 += w.falseRefusedBefore98
	}
	if outage[0] > 0 {
		r.outageServed = float64(outage[1]) / float64(outage[0])
	}
	for _, d := range inDoubt {
		r.inDoubtMean += d / float64(len(inDoubt))
		r.inDoubtMax = max(r.inDoubtMax, d)
	}
	return r
}

// TestMeasureBudgets prints the figures of all candidates for both
// deployments.
func TestMeasureBudgets(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Log("set " + measureEnv + "=1 to measure")
		return
	}
	const day = 24 * time.Hour
	for _, d := range deployments {
		trials := []struct {
			name string
			trial
		}{
			{"whole life", trial{deployment: d, budgetLifetime: 20 * time.Minute, duration: 26 * time.Minute}},
			{"10 min outage, life 1 day", trial{deployment: d, budgetLifetime: day, duration: 24 * time.Minute, outage: 10 * time.Minute}},
			{"10 min outage, life 4 h", trial{deployment: d, budgetLifetime: 4 * time.Hour, duration: 24 * time.Minute, outage: 10 * time.Minute}},
			{"crash, life 1 day", trial{deployment: d, budgetLifetime: day, duration: 24 * time.Minute, crash: true}},
			{"crash, life 4 h", trial{deployment: d, budgetLifetime: 4 * time.Hour, duration: 24 * time.Minute, crash: true}},
		}
		for _, c := range trials {
			c.trial.seed = measureSeed
			for _, candidate := range candidates {
				t.Run(d.name+"/"+c.name+"/"+candidate.name, func(t *testing.T) {
					t.Parallel()
					var r trialResult
					synctest.Test(t, func(*testing.T) { r = c.trial.run(candidate.make) })
					t.Logf("seed %d | %s", measureSeed, r)
				})
			}
		}
	}
}

// TestMeasureSparse prints the cost of many budgets with few requests each,
// when any router decides and when each budget has a home router.
func TestMeasureSparse(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Log("set " + measureEnv + "=1 to measure")
		return
	}
	for _, idle := range []time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute} {
		for _, candidate := range candidates {
			if !strings.HasSuffix(candidate.name, "small") {
				continue
			}
			t.Run(fmt.Sprint(candidate.name, " idle ", idle), func(t *testing.T) {
				tr := trial{deployment: deployments[0], budgetLifetime: 2 * time.Hour, duration: 130 * time.Minute, seed: measureSeed, sparseWorkspaces: 100, idleAfter: idle}
				var r trialResult
				synctest.Test(t, func(*testing.T) { r = tr.run(candidate.make) })
				requests := float64(r.served+r.refused) / tr.duration.Seconds()
				t.Logf("rows a request written %.2f read %.2f | %s", r.rowsWritten/requests, r.rowsRead/requests, r)
			})
		}
	}
}
