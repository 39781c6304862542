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

// ways are the ways to decide that are weighed against each other.
var ways = []struct {
	name string
	make func(trial, *memory.Store) *system
}{
	{"central counter", newCentral},
	{"fixed split", newFixedSplit},
	{"grants, no transfer, small", func(t trial, s *memory.Store) *system { return newGrants(t, s, false, true) }},
	{"grants, recall, small", func(t trial, s *memory.Store) *system { return newGrants(t, s, false, false) }},
	{"grants, recall, serve", func(t trial, s *memory.Store) *system { return newGrants(t, s, true, false) }},
	{"home router, small", func(t trial, s *memory.Store) *system { return newHome(t, s, false) }},
	{"home router, serve", func(t trial, s *memory.Store) *system { return newHome(t, s, true) }},
}

func viewsOf(store *memory.Store, n int) []*memory.View {
	views := make([]*memory.View, n)
	for i := range views {
		views[i] = store.View()
	}
	return views
}

// newGrants is ours; alone keeps the holders from reaching each other.
func newGrants(tr trial, store *memory.Store, serve, alone bool) *system {
	f := newFleet(0, 0)
	f.store, f.serve = store, serve
	if tr.idleAfter > 0 {
		f.config.SmallHoldings.IdleAfter = tr.idleAfter
	}
	for range tr.routers {
		if alone {
			f.network = bus.NewNetwork()
		}
		f.start()
	}
	sys := &system{stop: f.stop}
	for _, n := range f.nodes {
		sys.views = append(sys.views, n.view)
	}
	sys.reserve = func(ctx context.Context, i int, req Request) (Reservation, error) {
		return f.nodes[i].Reserve(ctx, req)
	}
	sys.crash = func(i int) { f.kill(f.nodes[i]) }
	return sys
}

// newHome forwards each request for a decision to the home of its budget,
// by rendezvous hashing over the live routers.
func newHome(tr trial, store *memory.Store, serve bool) *system {
	sys := newGrants(tr, store, serve, false)
	direct, crash, dead := sys.reserve, sys.crash, map[int]bool{}
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
	sys.reserve = func(ctx context.Context, _ int, req Request) (Reservation, error) {
		time.Sleep(2 * tr.hop)
		return direct(ctx, home(req.Account), req)
	}
	sys.crash = func(i int) {
		dead[i] = true
		crash(i)
	}
	return sys
}

// newCentral reserves and settles each request at one row of the budget.
func newCentral(tr trial, store *memory.Store) *system {
	sys := &system{views: viewsOf(store, tr.routers), crash: func(int) {}, stop: func() {}}
	sys.reserve = func(ctx context.Context, i int, req Request) (Reservation, error) {
		table := sys.views[i]
		move := func(reserved, used int64) error { return centralMove(ctx, table, req.Account, reserved, used) }
		if err := move(req.Tokens, 0); err != nil {
			return nil, err
		}
		return naiveReservation{settle: func(ctx context.Context, used int64) error { return move(-req.Tokens, used) }}, nil
	}
	return sys
}

func centralMove(ctx context.Context, table platform.Table, a Account, reserved, used int64) error {
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
		_, err = table.Commit(ctx, platform.Txn{OpID: uuid.NewString(), Conds: []platform.Cond{at(rows[0])}, Writes: []platform.Write{put(rows[0].Key, row)}})
		if !platform.IsConflict(err) {
			return err
		}
	}
}

// newFixedSplit gives each router an equal part of each budget for good.
func newFixedSplit(tr trial, store *memory.Store) *system {
	sys := &system{views: viewsOf(store, tr.routers), crash: func(int) {}, stop: func() {}}
	left := make([]map[Account]int64, tr.routers)
	for i := range left {
		left[i] = make(map[Account]int64)
		for _, row := range store.Dump(budgetPrefix) {
			var a Account
			fmt.Sscanf(row.Key, "budget/%2s/%s", &a.Workspace, &a.Budget)
			left[i][a] = must(decode[sourceRow](row)).Paid / int64(tr.routers)
		}
	}
	changes := make(chan struct{}, 1) // a lock that a bubble can wait on
	sys.reserve = func(_ context.Context, i int, req Request) (Reservation, error) {
		changes <- struct{}{}
		defer func() { <-changes }()
		if left[i][req.Account] < req.Tokens {
			return nil, errors.Join(ErrExhausted)
		}
		left[i][req.Account] -= req.Tokens
		return naiveReservation{settle: func(_ context.Context, used int64) error {
			changes <- struct{}{}
			defer func() { <-changes }()
			left[i][req.Account] += req.Tokens - used
			return nil
		}}, nil
	}
	return sys
}
