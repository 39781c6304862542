package budget

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// candidates are the methods of enforcing budgets that the measurements
// compare.
var candidates = []struct {
	name string
	make func(trial, *memory.Store) *candidate
}{
	{"central counter", newCentralCounterCandidate},
	{"fixed split", newFixedSplitCandidate},
	{"grants, no transfer, small", func(t trial, s *memory.Store) *candidate { return newEscrowCandidate(t, s, false, true) }},
	{"grants, recall, small", func(t trial, s *memory.Store) *candidate { return newEscrowCandidate(t, s, false, false) }},
	{"grants, recall, serve", func(t trial, s *memory.Store) *candidate { return newEscrowCandidate(t, s, true, false) }},
	{"home router, small", func(t trial, s *memory.Store) *candidate { return newHomeRouterCandidate(t, s, false) }},
	{"home router, serve", func(t trial, s *memory.Store) *candidate { return newHomeRouterCandidate(t, s, true) }},
}

// newClients returns n clients of the store.
func newClients(store *memory.Store, n int) []*memory.Client {
	clients := make([]*memory.Client, n)
	for i := range clients {
		clients[i] = store.NewClient()
	}
	return clients
}

// newEscrowCandidate uses LocalHolders; isolated prevents them from reaching
// each other.
func newEscrowCandidate(tr trial, store *memory.Store, serveOutages, isolated bool) *candidate {
	f := newFleet(0, 0)
	f.store, f.serveOutages = store, serveOutages
	if tr.idleAfter > 0 {
		f.config.SmallHoldings.IdleAfter = tr.idleAfter
	}
	for range tr.routers {
		if isolated {
			f.network = bus.NewNetwork()
		}
		f.startNode()
	}
	c := &candidate{stop: f.killAll}
	for _, n := range f.nodes {
		c.clients = append(c.clients, n.client)
	}
	c.reserve = func(ctx context.Context, i int, req Request) (Reservation, error) {
		return f.nodes[i].Reserve(ctx, req)
	}
	c.crash = func(i int) { f.kill(f.nodes[i]) }
	return c
}

// newHomeRouterCandidate forwards each request for a decision to the home
// router of its budget, which is chosen by rendezvous hashing over the live
// routers.
func newHomeRouterCandidate(tr trial, store *memory.Store, serveOutages bool) *candidate {
	c := newEscrowCandidate(tr, store, serveOutages, false)
	direct, crash, dead := c.reserve, c.crash, map[int]bool{}
	home := func(a Account) int {
		best, score := 0, uint64(0)
		for i := range tr.routers {
			h := fnv.New64a()
			fmt.Fprint(h, a.String(), "/", i)
			if s := h.Sum64(); !dead[i] && s > score {
				best, score = i, s
			}
		}
		return best
	}
	c.reserve = func(ctx context.Context, _ int, req Request) (Reservation, error) {
		time.Sleep(2 * tr.hop)
		return direct(ctx, home(req.Account), req)
	}
	c.crash = func(i int) {
		dead[i] = true
		crash(i)
	}
	return c
}

// newCentralCounterCandidate reserves and settles each request in the
// budget's row.
func newCentralCounterCandidate(tr trial, store *memory.Store) *candidate {
	c := &candidate{clients: newClients(store, tr.routers), crash: func(int) {}, stop: func() {}}
	c.reserve = func(ctx context.Context, i int, req Request) (Reservation, error) {
		table := c.clients[i]
		update := func(reserved, used int64) error { return updateCentralCounter(ctx, table, req.Account, reserved, used) }
		if err := update(req.Tokens, 0); err != nil {
			return nil, err
		}
		return naiveReservation{settle: func(ctx context.Context, used int64) error { return update(-req.Tokens, used) }}, nil
	}
	return c
}

// updateCentralCounter adds reserved and used tokens to the budget's row.
func updateCentralCounter(ctx context.Context, table platform.Table, a Account, reserved, used int64) error {
	for {
		rows, err := table.Get(ctx, budgetKey(a))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		row := must(decode[sourceRow](rows[0]))
		if row.unspent() < reserved {
			return ErrExhausted
		}
		row.Granted += reserved + used
		row.Settled += used
		_, err = table.Commit(ctx, platform.Txn{OpID: uuid.NewString(), Conds: []platform.Cond{unchanged(rows[0])}, Writes: []platform.Write{putRow(rows[0].Key, row)}})
		if !platform.IsConflict(err) {
			return err
		}
	}
}

// newFixedSplitCandidate permanently assigns each router an equal part of
// each budget.
func newFixedSplitCandidate(tr trial, store *memory.Store) *candidate {
	c := &candidate{clients: newClients(store, tr.routers), crash: func(int) {}, stop: func() {}}
	remaining := make([]map[Account]int64, tr.routers)
	for i := range remaining {
		remaining[i] = make(map[Account]int64)
		for _, row := range store.Dump(budgetPrefix) {
			var a Account
			fmt.Sscanf(row.Key, "budget/%2s/%s", &a.Workspace, &a.Budget)
			remaining[i][a] = must(decode[sourceRow](row)).Paid / int64(tr.routers)
		}
	}
	lock := make(chan struct{}, 1) // used as a mutex: virtual time can advance while goroutines wait for a channel, not for a sync.Mutex
	c.reserve = func(_ context.Context, i int, req Request) (Reservation, error) {
		lock <- struct{}{}
		defer func() { <-lock }()
		if remaining[i][req.Account] < req.Tokens {
			return nil, errors.Join(ErrExhausted)
		}
		remaining[i][req.Account] -= req.Tokens
		return naiveReservation{settle: func(_ context.Context, used int64) error {
			lock <- struct{}{}
			defer func() { <-lock }()
			remaining[i][req.Account] += req.Tokens - used
			return nil
		}}, nil
	}
	return c
}
