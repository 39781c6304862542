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

// Load on the busiest budget: all holders draw from it at once, each call to
// the store takes storeDelay, and half of the failure domains of the target
// deployment are far from the table.
const (
	contentionDomains  = 16
	contentionDuration = 60 * time.Second
	requestsPerSecond  = 5.0 // of each holder
	storeDelay         = 5 * time.Millisecond
	requestTokens      = 300
)

// contentionResult holds the figures of one run.
type contentionResult struct {
	served, refused  int64
	draws, conflicts int64
	drawnTokens      int64 // tokens drawn
	rowsWritten      int64 // rows other than bills
	commits          int64
	slowestReserve   time.Duration // longest call of Reserve
	billRows         int64
}

// measureContention spends from one budget at n holders. Once
// shareRowThreshold grants are open on the budget's row, new ones are drawn on
// share rows.
func measureContention(n int, shareRowThreshold int64) contentionResult {
	f := newFleet(0, 50_000_000)
	f.config.ShareRowThreshold, f.domains = shareRowThreshold, contentionDomains
	defer f.killAll()
	for range n {
		f.startNode().client.SetFaults(memory.Faults{Delay: storeDelay})
	}
	before := f.store.Counts()
	var (
		running sync.WaitGroup
		mu      sync.Mutex // guards figures
		figures contentionResult
	)
	for i, node := range f.nodes {
		random := rand.New(rand.NewPCG(measureSeed, uint64(i)))
		running.Go(func() {
			start := time.Now()
			for k := 0; time.Since(start) < contentionDuration; k++ {
				time.Sleep(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
				reserveStart := time.Now()
				r, err := node.Reserve(context.Background(), request(fmt.Sprint(i, "/", k), requestTokens))
				mu.Lock()
				figures.slowestReserve = max(figures.slowestReserve, time.Since(reserveStart))
				if err != nil {
					figures.refused++
					mu.Unlock()
					continue
				}
				figures.served++
				mu.Unlock()
				_ = r.Settle(context.Background(), requestTokens)
			}
		})
	}
	running.Wait()
	after := f.store.Counts()
	for _, node := range f.nodes {
		s := node.Stats()
		figures.draws += s.Draws.Load()
		figures.conflicts += s.Conflicts.Load()
		figures.drawnTokens += s.DrawnTokens.Load()
		figures.billRows += s.Batches.Load()
	}
	figures.rowsWritten = after.RowsWritten - before.RowsWritten - figures.billRows
	figures.commits = after.Commits - before.Commits
	return figures
}

// TestMeasureContention prints conflicts and written rows per drawn token
// against the number of holders, with one row and with share rows.
func TestMeasureContention(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Log("set " + measureEnv + "=1 to measure")
		return
	}
	for _, n := range []int{1, 10, 100, 400} {
		for name, threshold := range map[string]int64{"one row": math.MaxInt64, "share rows": DefaultSettings().ShareRowThreshold} {
			t.Run(fmt.Sprint(n, " ", name), func(t *testing.T) {
				var result contentionResult
				synctest.Test(t, func(*testing.T) { result = measureContention(n, threshold) })
				million := float64(result.drawnTokens) / 1e6
				t.Logf("draws %d | conflicts a draw %.3f | conflicts per million tokens %.1f | grant rows per million tokens %.1f | slowest reservation %s | served %d refused %d",
					result.draws, float64(result.conflicts)/float64(max(1, result.draws)), float64(result.conflicts)/million, float64(result.rowsWritten)/million, result.slowestReserve, result.served, result.refused)
			})
		}
	}
}

// TestMeasureBillRows prints the mean number of bills in a row, against the
// requests per second of one holder and the linger time.
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
					defer f.killAll()
					n := f.startNode()
					n.client.SetFaults(memory.Faults{Delay: storeDelay})
					random := rand.New(rand.NewPCG(measureSeed, 1))
					for i := 0; i < 6000; i++ {
						time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
						go f.serveOne(n, request(fmt.Sprint(i), requestTokens), requestTokens)
					}
					time.Sleep(time.Minute)
					s := n.Stats()
					t.Logf("%.2f bills a row", float64(s.Bills.Load())/float64(s.Batches.Load()))
				})
			})
		}
	}
}
