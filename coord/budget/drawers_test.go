package budget

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// Measures of the busiest budget: all drawers spend from it at once, the
// store takes some time a call, and half of the failure domains of the target
// are far from the table.
const (
	drawerDomains = 16
	drawerTime    = 60 * time.Second
	drawerRate    = 5.0 // requests a second of each drawer
	drawerDelay   = 5 * time.Millisecond
	drawerTokens  = 300
)

// drawerFigures are the figures of one run.
type drawerFigures struct {
	served, refused  int64
	draws, conflicts int64
	granted          int64 // tokens
	written          int64 // rows, without bills
	commits          int64
	slowest          time.Duration // reservation
	billRows         int64
}

// runDrawers spends from one budget at n holders.
func runDrawers(n int, shareDrawers int64) drawerFigures {
	f := newFleet(0, 50_000_000)
	f.config.ShareRowThreshold, f.domains = shareDrawers, drawerDomains
	defer f.stop()
	for range n {
		f.start().view.SetFaults(memory.Faults{Delay: drawerDelay})
	}
	before := f.store.Counts()
	var (
		running sync.WaitGroup
		mu      sync.Mutex // guards figures
		figures drawerFigures
	)
	for i, node := range f.nodes {
		random := rand.New(rand.NewPCG(measureSeed, uint64(i)))
		running.Go(func() {
			start := time.Now()
			for k := 0; time.Since(start) < drawerTime; k++ {
				time.Sleep(time.Duration(random.ExpFloat64() / drawerRate * float64(time.Second)))
				asked := time.Now()
				r, err := node.Reserve(context.Background(), request(fmt.Sprint(i, "/", k), drawerTokens))
				mu.Lock()
				figures.slowest = max(figures.slowest, time.Since(asked))
				if err != nil {
					figures.refused++
					mu.Unlock()
					continue
				}
				figures.served++
				mu.Unlock()
				_ = r.Settle(context.Background(), drawerTokens)
			}
		})
	}
	running.Wait()
	after := f.store.Counts()
	for _, node := range f.nodes {
		s := node.Stats()
		figures.draws += s.Draws.Load()
		figures.conflicts += s.Conflicts.Load()
		figures.granted += s.DrawnTokens.Load()
		figures.billRows += s.Batches.Load()
	}
	figures.written = after.RowsWritten - before.RowsWritten - figures.billRows
	figures.commits = after.Commits - before.Commits
	return figures
}

// TestMeasureDrawers prints conflicts and rows per granted token against the
// number of drawers, with one row and with share rows.
func TestMeasureDrawers(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Log("set " + measureEnv + "=1 to measure")
		return
	}
	for _, n := range []int{1, 10, 100, 400} {
		for name, threshold := range map[string]int64{"one row": math.MaxInt64, "share rows": DefaultSettings().ShareRowThreshold} {
			t.Run(fmt.Sprint(n, " ", name), func(t *testing.T) {
				var r drawerFigures
				synctest.Test(t, func(*testing.T) { r = runDrawers(n, threshold) })
				million := float64(r.granted) / 1e6
				t.Logf("draws %d | conflicts a draw %.3f | conflicts per million tokens %.1f | grant rows per million tokens %.1f | slowest reservation %s | served %d refused %d",
					r.draws, float64(r.conflicts)/float64(max(1, r.draws)), float64(r.conflicts)/million, float64(r.written)/million, r.slowest, r.served, r.refused)
			})
		}
	}
}

// TestMeasureBillRows prints the bills that share a row, against the requests
// a second of one writer and the linger.
func TestMeasureBillRows(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Log("set " + measureEnv + "=1 to measure")
		return
	}
	for _, perSecond := range []float64{1.7, 15.5, 370} {
		for _, linger := range []time.Duration{5, 25, 50, 100} {
			t.Run(fmt.Sprint(perSecond, " a second, linger ", linger*time.Millisecond), func(t *testing.T) {
				synctest.Test(t, func(*testing.T) {
					f := newFleet(0, 50_000_000)
					f.config.Linger = linger * time.Millisecond
					defer f.stop()
					n := f.start()
					n.view.SetFaults(memory.Faults{Delay: drawerDelay})
					random := rand.New(rand.NewPCG(measureSeed, 1))
					for i := 0; i < 6000; i++ {
						time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
						go f.serveOne(n, request(fmt.Sprint(i), drawerTokens), drawerTokens)
					}
					time.Sleep(time.Minute)
					s := n.Stats()
					t.Logf("%.2f bills a row", float64(s.Bills.Load())/float64(s.Batches.Load()))
				})
			})
		}
	}
}
