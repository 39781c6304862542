package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// unlimitedTable is a table in which every budget has unspent tokens and every write
// succeeds. It keeps only the rows of grants, so that dropRows can measure their memory
// apart from that of the holder.
type unlimitedTable struct {
	mu     sync.Mutex // guards grants
	grants map[string]platform.Row
}

// dropRows removes all rows and returns the heap bytes that this frees.
func (r *unlimitedTable) dropRows() float64 {
	before := liveHeapBytes()
	r.mu.Lock()
	clear(r.grants)
	r.grants = make(map[string]platform.Row)
	r.mu.Unlock()
	return before - liveHeapBytes()
}

// unlimitedBudgetRow is the row of a budget with far more unspent tokens than the
// measurements use.
const unlimitedBudgetRow = `{"paid":1000000000000}`

func (r *unlimitedTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = r.grants[key]
		rows[i].Key = key
		if strings.HasPrefix(key, "budget/") {
			rows[i].Version, rows[i].Value = 1, []byte(unlimitedBudgetRow)
		}
	}
	return rows, nil
}

func (*unlimitedTable) Range(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, nil
}

func (r *unlimitedTable) Commit(_ context.Context, txn platform.Txn) (platform.Receipt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "grant/") {
			r.grants[w.Key] = platform.Row{Key: w.Key, Version: r.grants[w.Key].Version + 1, Value: w.Value}
		}
	}
	return platform.Receipt{Versions: make([]int64, len(txn.Writes))}, nil
}

func (*unlimitedTable) Outcome(context.Context, string) (platform.Receipt, bool, error) {
	return platform.Receipt{}, false, nil
}

// newUnlimitedHolder returns a holder without peers, and the table that it draws from.
func newUnlimitedHolder() (*budget.LocalHolder, *unlimitedTable) {
	table := &unlimitedTable{grants: make(map[string]platform.Row)}
	return budget.NewHolder(budget.Options{
		Settings: budget.DefaultSettings(), Table: table, Clock: clock.Real{}, Events: event.Discard{},
		Bus: bus.NewNetwork().Join(bus.Peer{ID: bus.ID{VM: "a", Incarnation: "1"}}), Log: slog.New(slog.DiscardHandler),
	}), table
}

// reserveAndSettle reserves and settles tokens for n requests, which are spread evenly over
// the given number of budgets. It fails the test if a request fails.
func reserveAndSettle(t *testing.T, h *budget.LocalHolder, n, budgets int) {
	t.Helper()
	const concurrency, tokens = 256, 100
	var failed atomic.Int64
	requests := make(chan int)
	var workers sync.WaitGroup
	for range concurrency {
		workers.Go(func() {
			for i := range requests {
				account := budget.Account{Workspace: fmt.Sprintf("workspace-%06d", i%budgets), Budget: "default"}
				r, err := h.Reserve(t.Context(), budget.Request{Account: account, Key: fmt.Sprint("request:", i), Unique: true, Tokens: tokens})
				if err == nil {
					err = r.Settle(t.Context(), tokens)
				}
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	for i := range n {
		requests <- i
	}
	close(requests)
	workers.Wait()
	if n := failed.Load(); n > 0 {
		t.Fatalf("%d requests failed", n)
	}
}

// TestMeasureBudgets measures the memory of a holder per budget and the processor time per
// request, and updates the committed slopes.
func TestMeasureBudgets(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	recordSlope(t, MemoryPerBudget, "bytes", "budget held", sweep([]int{1000, 4000, 8000, 16000}, func(x int) float64 {
		h, table := newUnlimitedHolder()
		holderAndRows := retainedBytes(func() any {
			reserveAndSettle(t, h, x, x)
			return h
		})
		return holderAndRows - table.dropRows()
	}))
	recordSlope(t, ReserveCPUPerRequest, "core seconds", "request reserved and settled", sweep([]int{10_000, 20_000, 40_000, 80_000}, func(x int) float64 {
		h, _ := newUnlimitedHolder()
		before := cpuSeconds(t)
		reserveAndSettle(t, h, x, 500)
		return cpuSeconds(t) - before
	}))
}
