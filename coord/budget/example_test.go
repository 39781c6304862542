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

// startHolder starts a holder on vm that shares the store and the network
// with the others.
func startHolder(store *memory.Store, network *bus.Network, vm string) *budget.LocalHolder {
	return budget.NewHolder(budget.Options{
		Settings: budget.DefaultSettings(),
		Table:    store.NewClient(),
		Bus:      network.Join(bus.Peer{ID: bus.ID{VM: vm, Incarnation: "incarnation-of-" + vm}, Domain: "kr-central-a"}),
		Clock:    clock.Real{},
		Events:   event.Discard{},
		Log:      slog.New(slog.DiscardHandler),
	})
}

// A budget is paid, spent from at a holder and read from the ledger.
func Example() {
	ctx := context.Background()
	store := memory.NewStore(clock.Real{})
	ledger := budget.NewLedger(store.NewClient())
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
	// The request executes here; it uses fewer tokens than it has reserved.
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

// The grant of a lost holder stays in doubt until an operator resolves it.
func ExampleLedger_ResolveInDoubtGrant() {
	ctx := context.Background()
	store := memory.NewStore(clock.Real{})
	account := budget.Account{Workspace: "coop-7", Budget: "default"}
	// No process is a member of the fleet any more.
	ledger := budget.NewLedger(store.NewClient()).WithLive(func(string) bool { return false })
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
	inDoubt, err := ledger.InDoubtGrants(ctx)
	if err != nil || len(inDoubt) != 1 {
		fmt.Println(inDoubt, err)
		return
	}
	resolved, err := ledger.ResolveInDoubtGrant(ctx, budget.Resolution{
		Account: account, Incarnation: inDoubt[0].Incarnation, ProcessDead: true, Spent: 300,
	})
	fmt.Println(resolved.WrittenOff, resolved.Returned == inDoubt[0].Remaining-300, err)
	// Output:
	// 300 true <nil>
}
