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

// richTable is a table in which every budget has tokens and every write
// succeeds. It keeps the rows of grants only, and their memory can be told
// from the holder's.
type richTable struct {
	mu     sync.Mutex // guards grants
	grants map[string]platform.Row
}

// release drops all rows and returns their memory.
func (r *richTable) release() float64 {
	before := heap()
	r.mu.Lock()
	clear(r.grants)
	r.grants = make(map[string]platform.Row)
	r.mu.Unlock()
	return before - heap()
}

// richBudget is the row of a budget with many tokens unspent.
const richBudget = `{"paid":1000000000000}`

func (r *richTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = r.grants[key]
		rows[i].Key = key
		if strings.HasPrefix(key, "budget/") {
			rows[i].Version, rows[i].Value = 1, []byte(richBudget)
		}
	}
	return rows, nil
}

func (*richTable) Range(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, nil
}

func (r *richTable) Commit(_ context.Context, txn platform.Txn) (platform.Receipt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "grant/") {
			r.grants[w.Key] = platform.Row{Key: w.Key, Version: r.grants[w.Key].Version + 1, Value: w.Value}
		}
	}
	return platform.Receipt{Versions: make([]int64, len(txn.Writes))}, nil
}

func (*richTable) Outcome(context.Context, string) (platform.Receipt, bool, error) {
	return platform.Receipt{}, false, nil
}

func newRichHolder() (*budget.LocalHolder, *richTable) {
	table := &richTable{grants: make(map[string]platform.Row)}
	return budget.NewHolder(budget.Options{
		Settings: budget.DefaultSettings(), Table: table, Clock: clock.Real{}, Events: event.Discard{},
		Bus: bus.NewNetwork().Join(bus.Peer{ID: bus.ID{VM: "a", Incarnation: "1"}}), Log: slog.New(slog.DiscardHandler),
	}), table
}

// spend pays for n requests over the given number of budgets.
func spend(t *testing.T, h *budget.LocalHolder, n, budgets int) {
	t.Helper()
	const width, tokens = 256, 100
	var failed atomic.Int64
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range width {
		workers.Go(func() {
			for i := range jobs {
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
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	if n := failed.Load(); n > 0 {
		t.Fatalf("%d requests failed", n)
	}
}

func TestMeasureBudgets(t *testing.T) {
	if !measuring(t) {
		return
	}
	record(t, MemoryPerBudget, "bytes", "budget held", sweep([]int{1000, 4000, 8000, 16000}, func(x int) float64 {
		h, table := newRichHolder()
		both := held(func() any {
			spend(t, h, x, x)
			return h
		})
		return both - table.release()
	}))
	record(t, ReserveCPUPerRequest, "core seconds", "request reserved and settled", sweep([]int{10_000, 20_000, 40_000, 80_000}, func(x int) float64 {
		h, _ := newRichHolder()
		before := cpu(t)
		spend(t, h, x, 500)
		return cpu(t) - before
	}))
}
