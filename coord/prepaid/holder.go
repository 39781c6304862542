package prepaid

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/internal/keyed"
	"daisyslip.dev/daisyslip/coord/internal/tasks"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// Options are what a holder works with.
type Options struct {
	Settings Settings
	Store    rowstore.Store
	// VM names the place of the process: while a process runs there, no
	// earlier one of that name does.
	VM string
	// Incarnation is unique to this start of the process.
	Incarnation string
	Clock       clock.Clock
	Log         *slog.Logger
	// Limit returns the workspace's limit as far as this process knows it, and
	// false if it has none. A limit that falls makes the holder give back what
	// it has not spent.
	Limit func(workspace string) (Limit, bool)
}

// Limit is the prepaid total of a workspace.
type Limit struct {
	Tokens int64
	// Revision orders limits: of two, the one with the greater is in force.
	Revision int64
}

// Stats count the work of a holder.
type Stats struct {
	Writes, Conflicts, Failures, Reclaims atomic.Int64
	Exhausted, Busy, Unavailable          atomic.Int64
}

// Holder holds the grants of one process. It is safe for concurrent use.
type Holder struct {
	options  Options
	stats    Stats
	closing  atomic.Bool
	presence presence

	running *tasks.Group
	ctx     context.Context // of running

	// accounts has a lock of its own, which is not held over an account's.
	accounts keyed.Map[string, *account]
}

// NewHolder returns a holder; Run has it keep contact.
func NewHolder(o Options) *Holder {
	h := &Holder{options: o, running: tasks.NewGroup()}
	h.ctx = h.running.Context()
	h.presence.init(h)
	return h
}

// Stats returns the counters.
func (h *Holder) Stats() *Stats { return &h.stats }

// Holders returns the number of VMs that hold or held grants, or 0 while it is
// not known.
func (h *Holder) HolderCount() int { return int(h.presence.holders.Load()) }

// Reservation holds the tokens of one request until Settle.
type Reservation struct {
	account *account
	tokens  int64
	once    sync.Once
}

// Settle ends the reservation with the tokens that were used; later calls do
// nothing. Tokens beyond those reserved are counted, too.
func (r *Reservation) Settle(used int64) {
	r.once.Do(func() { r.account.settle(r.tokens, max(used, 0)) })
}

// Tokens returns the size of the reservation.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Reserve sets tokens aside for a request of the workspace. It waits for the
// store, or for others to return tokens, if the grant is too small, at most until
// ctx ends.
func (h *Holder) Reserve(ctx context.Context, workspace string, tokens int64) (*Reservation, error) {
	if h.closing.Load() {
		return nil, fmt.Errorf("reserve for %s: %w", workspace, ErrClosed)
	}
	a := h.account(workspace)
	if err := a.reserve(ctx, tokens); err != nil {
		h.count(err)
		return nil, fmt.Errorf("reserve %d tokens for %s: %w", tokens, workspace, err)
	}
	return &Reservation{account: a, tokens: tokens}, nil
}

func (h *Holder) count(err error) {
	switch {
	case errors.Is(err, ErrExhausted):
		h.stats.Exhausted.Add(1)
	case errors.Is(err, ErrBusy):
		h.stats.Busy.Add(1)
	case errors.Is(err, ErrUnavailable):
		h.stats.Unavailable.Add(1)
	}
}

func (h *Holder) account(workspace string) *account {
	return h.accounts.GetOrCreate(workspace, func() *account { return newAccount(h, workspace) })
}

// Run keeps contact with the store and gives back surplus until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { h.presence.run(ctx) })
	duties.Go(func() { h.followWanted(ctx) })
	for clock.Sleep(ctx, h.options.Clock, around(h.options.Settings.CheckInterval)) == nil {
		for _, a := range h.accounts.All() {
			a.check()
		}
	}
	duties.Wait()
}

// around is a random time around mean: holders that start together must not write
// together from then on.
func around(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// LimitsChanged has each account look at its limit.
func (h *Holder) LimitsChanged() {
	for _, a := range h.accounts.All() {
		a.checkLimit()
	}
}

// Sweep takes up the grants of predecessors for the workspaces, so that what
// can be given back is, and draws first grants ahead of need.
func (h *Holder) PrepareWorkspaces(workspaces []string) {
	for _, w := range workspaces {
		a := h.account(w)
		a.checkLimit()
		a.check()
	}
}

// wantedWait is the longest wait of one call for wanted tokens; a silent
// connection only delays their return.
const wantedWait = 3 * time.Second

// followWanted returns tokens that another holder is short of.
func (h *Holder) followWanted(ctx context.Context) {
	f := rowstore.Watcher{Store: h.options.Store, Table: wantedTable, Wait: wantedWait, Clock: h.options.Clock, Log: h.options.Log}
	f.OnChange = func(rows []rowstore.Row) {
		for _, row := range rows {
			var w wantedRow
			if err := decode(row, &w); err != nil {
				h.options.Log.Error("row of wanted tokens is unreadable", "row", row.Key.String(), "err", err.Error())
				continue
			}
			if h.presence.storeMs()-w.StoreMs < h.options.Settings.ScarceFor.Milliseconds() {
				h.account(row.Key.Name).wanted(w.All)
			}
		}
	}
	f.OnSnapshot = f.OnChange
	for ctx.Err() == nil {
		f.Step(ctx)
		// Asks come in groups; one look answers them.
		_ = clock.Sleep(ctx, h.options.Clock, wantedPause) // the loop looks at ctx
	}
}

// wantedPause is the least time between two looks at what is wanted.
const wantedPause = 10 * time.Millisecond

// Close refuses further reservations and returns what is not spent. Tokens of
// reservations that are still open stay in the grant.
func (h *Holder) Close(ctx context.Context) error {
	h.closing.Store(true)
	all := h.accounts.All()
	for _, a := range all {
		a.startClose()
	}
	var problems []error
	for _, a := range all {
		if err := a.awaitClose(ctx); err != nil {
			problems = append(problems, err)
		}
	}
	if err := h.presence.withdraw(ctx, len(problems) == 0); err != nil {
		problems = append(problems, err)
	}
	h.running.Stop()
	return errors.Join(problems...)
}
