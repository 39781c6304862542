package budget_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// startHolder starts a holder of a fleet that shares a store.
func startHolder(store *memory.Store, network *bus.Network, vm string) *budget.LocalHolder {
	return budget.NewHolder(budget.Options{
		Settings: budget.DefaultSettings(),
		Table:    store.View(),
		Bus:      network.Join(bus.Peer{ID: bus.ID{VM: vm, Incarnation: "incarnation-of-" + vm}, Domain: "kr-central-a"}),
		Clock:    clock.Real{},
		Events:   event.Discard{},
		Log:      slog.New(slog.DiscardHandler),
	})
}

// A budget is paid, spent at a holder and shown by the ledger.
func Example() {
	ctx := context.Background()
	store := memory.NewStore(clock.Real{})
	ledger := budget.NewLedger(store.View())
	account := budget.Account{Workspace: "coop-7", Budget: "default"}
	if _, err := ledger.TopUp(ctx, account, "invoice-1", 1000); err != nil {
		fmt.Println(err)
		return
	}
	holder := startHolder(store, bus.NewNetwork(), "entry-1")
	request := budget.Request{Account: account, Key: "request-1", Unique: true, Tokens: 300}
	reservation, err := holder.Reserve(ctx, request)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The request runs here; it uses less than its worst case.
	fmt.Println("settle:", reservation.Settle(ctx, 120))

	request.Key, request.Tokens = "request-2", 5000
	_, err = holder.Reserve(ctx, request)
	fmt.Println("exhausted:", errors.Is(err, budget.ErrExhausted))
	fmt.Println("close:", holder.Close(ctx))
	b, err := ledger.Balance(ctx, account)
	fmt.Println(b.Paid, b.Unspent, b.Held, b.Settled, b.InDoubt, err)
	// Output:
	// settle: <nil>
	// exhausted: true
	// close: <nil>
	// 1000 880 0 120 0 <nil>
}

// The grant of a lost holder stays in doubt until an operator settles it.
func ExampleLedger_SettleDoubt() {
	ctx := context.Background()
	store := memory.NewStore(clock.Real{})
	account := budget.Account{Workspace: "coop-7", Budget: "default"}
	// No process is a member of the fleet any more.
	ledger := budget.NewLedger(store.View()).WithLive(func(string) bool { return false })
	if _, err := ledger.TopUp(ctx, account, "invoice-1", 1000); err != nil {
		fmt.Println(err)
		return
	}
	holder := startHolder(store, bus.NewNetwork(), "entry-1")
	if _, err := holder.Reserve(ctx, budget.Request{Account: account, Key: "request-1", Unique: true, Tokens: 300}); err != nil {
		fmt.Println(err)
		return
	}
	holder.Kill()
	doubts, err := ledger.InDoubtGrants(ctx)
	if err != nil || len(doubts) != 1 {
		fmt.Println(doubts, err)
		return
	}
	done, err := ledger.ResolveInDoubtGrant(ctx, budget.Resolution{
		Account: account, Incarnation: doubts[0].Incarnation, ProcessDead: true, Spent: 300,
	})
	fmt.Println(done.WrittenOff, done.Returned == doubts[0].Remaining-300, err)
	// Output:
	// 300 true <nil>
}
