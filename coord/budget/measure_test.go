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

// measureEnv switches the measurements on.
const measureEnv = "DAISYSLIP_MEASURE"

// deployment is one of the two users: routers, the hop between them, and
// clients that keep a number of requests a second.
type deployment struct {
	name    string
	routers int
	hop     time.Duration
	// tokens reserved by a request lie between these.
	least, most int64
}

var deployments = []deployment{
	{"haneul", 6, time.Millisecond, 300, 1200},
	{"turnos", 9, 500 * time.Microsecond, 100, 600},
}

// measureSeed is the seed of the workloads.
const measureSeed = 1

// Rates of the ten workspaces of a deployment, in requests a second.
const (
	largeWorkspaces = 3
	workspaces      = 10
	largeRate       = 3.0
	smallRate       = 0.15
	sparseRate      = 0.01
)

// tally is the truth about one workspace, which no router knows.
type tally struct {
	account           Account
	perSecond         float64
	paid, spent, open int64
	served, refused   int
	falseRefused      int
	// before is the number of false refusals before 98% were spent.
	before int
}

func (w *tally) free() int64 { return w.paid - w.spent - w.open }

// system is a way to decide about budgets, with n routers.
type system struct {
	views   []*memory.View
	reserve func(ctx context.Context, router int, req Request) (Reservation, error)
	crash   func(router int)
	stop    func()
}

// trial is one run of a workload against a system.
type trial struct {
	deployment
	life   time.Duration // of a budget at its rate
	length time.Duration
	outage time.Duration // in the middle; 0 is none
	crash  bool          // of one router, after half of the length
	seed   uint64
	// sparse, if not 0, is a number of workspaces of sparseRate each in place
	// of the ten.
	sparse int
	// idleAfter replaces the setting if it is not 0.
	idleAfter time.Duration
}

// result are the figures of a trial.
type result struct {
	overspend           int64
	served, refused     int
	falseRefused        int
	falseBefore98       int
	outageServed        float64
	doubtMean, doubtMax float64 // share of a budget
	written, read       float64 // rows a second
	conflicts           float64 // a second
}

// falseShare is the share of false refusals in what could have been served.
func (r result) falseShare() float64 {
	return float64(r.falseRefused) / float64(max(1, r.served+r.falseRefused))
}

func (r result) String() string {
	return fmt.Sprintf("overspend %d | false %.3f%% (%d before 98%%) | outage served %.1f%% | in doubt mean %.3f%% max %.3f%% | rows/s written %.2f read %.2f conflicts %.3f | served %d refused %d",
		r.overspend, 100*r.falseShare(), r.falseBefore98, 100*r.outageServed,
		100*r.doubtMean, 100*r.doubtMax, r.written, r.read, r.conflicts, r.served, r.refused)
}

// meanUse is the mean share of a reservation that is used.
const meanUse = 0.6

// tallies makes the ten workspaces and pays their budgets.
func (tr trial) tallies(store *memory.Store) []*tally {
	ledger := NewLedger(store.View())
	mean := meanUse * float64(tr.least+tr.most) / 2
	all := make([]*tally, max(tr.sparse, workspaces))
	for i := range all {
		w := &tally{account: Account{Workspace: fmt.Sprintf("w%d", i), Budget: "default"}, perSecond: smallRate}
		switch {
		case tr.sparse > 0:
			w.perSecond = sparseRate
		case i < largeWorkspaces:
			w.perSecond = largeRate
		}
		w.paid = int64(w.perSecond * mean * tr.life.Seconds())
		must(ledger.TopUp(context.Background(), w.account, "first", w.paid))
		all[i] = w
	}
	return all
}

// run plays the trial in virtual time.
func (tr trial) run(make func(trial, *memory.Store) *system) result {
	store := memory.NewStore(clock.Real{})
	all := tr.tallies(store)
	sys := make(tr, store)
	defer sys.stop()
	var (
		mu       sync.Mutex // guards the tallies and what follows
		away     bool
		inOutage [2]int // offered and served
		running  sync.WaitGroup
		dead     = -1
		doubts   []float64
	)
	random := rand.New(rand.NewPCG(tr.seed, 1))
	serve := func(w *tally, router int, req Request, used int64, takes time.Duration) {
		mu.Lock()
		servable, during := w.free() >= req.Tokens, away
		mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r, err := sys.reserve(ctx, router, req)
		mu.Lock()
		servable = servable || w.free() >= req.Tokens
		if during && servable {
			inOutage[0]++
		}
		if err != nil {
			w.refused++
			if servable {
				w.falseRefused++
				if w.spent < w.paid*98/100 {
					w.before++
				}
			}
			mu.Unlock()
			return
		}
		if during && servable {
			inOutage[1]++
		}
		w.open += req.Tokens
		w.served++
		mu.Unlock()
		time.Sleep(takes)
		mu.Lock()
		w.open -= req.Tokens
		w.spent += used
		mu.Unlock()
		_ = r.Settle(ctx, used)
	}
	before := store.Counts()
	start := time.Now()
	total := 0.0
	for _, w := range all {
		total += w.perSecond
	}
	for i := 0; time.Since(start) < tr.length; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		elapsed := time.Since(start)
		if tr.outage > 0 {
			now := elapsed > tr.length/2 && elapsed < tr.length/2+tr.outage
			if now != away {
				mu.Lock()
				away = now
				mu.Unlock()
				for _, v := range sys.views {
					v.SetFaults(memory.Faults{Outage: now})
				}
			}
		}
		if tr.crash && dead < 0 && elapsed > tr.length/2 {
			dead = 0
			sys.crash(0)
			doubts = tr.doubts(store, all)
		}
		pick := random.Float64() * total
		w := all[0]
		for _, w = range all {
			if pick -= w.perSecond; pick <= 0 {
				break
			}
		}
		router := random.IntN(tr.routers)
		if router == dead {
			router++
		}
		tokens := tr.least + random.Int64N(tr.most-tr.least)
		used := 1 + int64(float64(tokens)*(0.2+0.8*random.Float64()))
		takes := time.Duration(1+random.IntN(15_000)) * time.Millisecond
		req := Request{Account: w.account, Key: fmt.Sprint(i), Unique: true, Tokens: tokens}
		running.Go(func() { serve(w, router, req, used, takes) })
	}
	running.Wait()
	return summarise(tr, all, before, store.Counts(), inOutage, doubts)
}

// doubts reads what the crashed router leaves in doubt of each budget.
func (tr trial) doubts(store *memory.Store, all []*tally) []float64 {
	ledger := NewLedger(store.View()).WithLive(func(holder string) bool { return !strings.HasPrefix(holder, "entry-1/") })
	var shares []float64
	for _, w := range all {
		b := must(ledger.Balance(context.Background(), w.account))
		shares = append(shares, float64(b.InDoubt)/float64(b.Paid))
	}
	return shares
}

func summarise(tr trial, all []*tally, before, after memory.Counts, outage [2]int, doubts []float64) result {
	seconds := tr.length.Seconds()
	r := result{
		written:   float64(after.RowsWritten-before.RowsWritten) / seconds,
		read:      float64(after.RowsRead-before.RowsRead) / seconds,
		conflicts: float64(after.Conflicts-before.Conflicts) / seconds,
	}
	for _, w := range all {
		r.overspend += max(0, w.spent-w.paid)
		r.served += w.served
		r.refused += w.refused
		r.falseRefused += w.falseRefused
		r.falseBefore98 += w.before
	}
	if outage[0] > 0 {
		r.outageServed = float64(outage[1]) / float64(outage[0])
	}
	for _, d := range doubts {
		r.doubtMean += d / float64(len(doubts))
		r.doubtMax = max(r.doubtMax, d)
	}
	return r
}

// TestMeasureBudgets prints the figures of all ways for both deployments.
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
			{"whole life", trial{deployment: d, life: 20 * time.Minute, length: 26 * time.Minute}},
			{"10 min outage, life 1 day", trial{deployment: d, life: day, length: 24 * time.Minute, outage: 10 * time.Minute}},
			{"10 min outage, life 4 h", trial{deployment: d, life: 4 * time.Hour, length: 24 * time.Minute, outage: 10 * time.Minute}},
			{"crash, life 1 day", trial{deployment: d, life: day, length: 24 * time.Minute, crash: true}},
			{"crash, life 4 h", trial{deployment: d, life: 4 * time.Hour, length: 24 * time.Minute, crash: true}},
		}
		for _, c := range trials {
			c.trial.seed = measureSeed
			for _, way := range ways {
				t.Run(d.name+"/"+c.name+"/"+way.name, func(t *testing.T) {
					t.Parallel()
					var r result
					synctest.Test(t, func(*testing.T) { r = c.trial.run(way.make) })
					t.Logf("seed %d | %s", measureSeed, r)
				})
			}
		}
	}
}

// TestMeasureSparse prints what many budgets with few requests each cost,
// when any router decides and when each budget has a home.
func TestMeasureSparse(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Log("set " + measureEnv + "=1 to measure")
		return
	}
	for _, idle := range []time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute} {
		for _, way := range ways {
			if !strings.HasSuffix(way.name, "small") {
				continue
			}
			t.Run(fmt.Sprint(way.name, " idle ", idle), func(t *testing.T) {
				tr := trial{deployment: deployments[0], life: 2 * time.Hour, length: 130 * time.Minute, seed: measureSeed, sparse: 100, idleAfter: idle}
				var r result
				synctest.Test(t, func(*testing.T) { r = tr.run(way.make) })
				requests := float64(r.served+r.refused) / tr.length.Seconds()
				t.Logf("rows a request written %.2f read %.2f | %s", r.written/requests, r.read/requests, r)
			})
		}
	}
}
