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

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/internal/keyed"
	"daisyslip.dev/daisyslip/coord/internal/tasks"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// Options are the settings and dependencies of a holder.
type Options struct {
	Settings Settings
	Store    rowstore.Store
	// VM names the VM of the process. While a process runs on a VM, no earlier
	// process with the same VM name is alive.
	VM string
	// Incarnation is unique to this start of the process.
	Incarnation string
	Clock       clock.Clock
	Log         *slog.Logger
	// Limit returns the workspace's limit as this process knows it, and false if
	// there is none. When a limit is lowered, the holder returns what it has not
	// spent.
	Limit func(workspace string) (Limit, bool)
	// Holders is the number of processes that hold grants of a workspace, unless a
	// Pool knows it.
	Holders int
}

// Limit is the prepaid total of a workspace.
type Limit struct {
	Tokens int64
	// Revision orders limits: of two, the one with the greater revision applies.
	Revision int64
}

// Stats are counters of a holder's work since its start.
type Stats struct {
	// Applied writes of grants, conflicts with other holders, failed calls to the
	// store, and reclaimed orphaned grants.
	Writes, Conflicts, Failures, Reclaims atomic.Int64
	// Failed reservations by error: ErrExhausted, ErrBusy and ErrUnavailable.
	Exhausted, Busy, Unavailable atomic.Int64
}

// Holder manages the grants of one process. It is safe for concurrent use.
type Holder struct {
	options   Options
	stats     Stats
	closing   atomic.Bool
	heartbeat heartbeat
	eras      eras
	// closeStarted is closed once closing is set.
	closeStarted chan struct{}

	tasks *tasks.Group
	ctx   context.Context // ends when tasks stops

	// lends is the pool that this holder belongs to; nil if it lends nothing.
	lends atomic.Pointer[Pool]
	// reclaimFor are the workspaces that ReclaimFor has set. Their rows are read only
	// once the heartbeat row shows that there was an earlier process on this VM.
	reclaimMu  sync.Mutex // guards reclaimFor
	reclaimFor []string

	// accounts are by workspace. The map has its own lock, which is not held while
	// an account's lock is taken.
	accounts keyed.Map[string, *account]
}

// NewHolder returns a holder. Run must be called for it to send heartbeats.
func NewHolder(o Options) *Holder {
	h := &Holder{options: o, tasks: tasks.NewGroup(), closeStarted: make(chan struct{})}
	h.ctx = h.tasks.Context()
	h.heartbeat.init(h)
	h.eras.holder = h
	return h
}

// Stats returns the holder's counters, which keep changing.
func (h *Holder) Stats() *Stats { return &h.stats }

// holderCount returns the number of processes that are expected to hold grants of a
// workspace.
func (h *Holder) holderCount(workspace string) int {
	if p := h.lends.Load(); p != nil {
		return p.lenderCount(workspace)
	}
	return max(h.options.Holders, 1)
}

// isLender reports whether this process is expected to hold a grant of a workspace.
func (h *Holder) isLender(workspace string) bool {
	p := h.lends.Load()
	return p == nil || p.isLender(workspace)
}

// holding reports whether this process has a grant.
func (h *Holder) holding() bool {
	for _, a := range h.accounts.All() {
		a.mu.Lock()
		holds := a.granted > 0 || a.writing || len(a.pendingWrites) > 0
		a.mu.Unlock()
		if holds {
			return true
		}
	}
	return false
}

// Reservation is the tokens set aside for one request, until Settle.
type Reservation struct {
	settle func(used int64)
	tokens int64
	lender bus.ID
	once   sync.Once
}

// Settle ends the reservation with the number of tokens used; later calls do
// nothing. Tokens used beyond those reserved are counted, too.
func (r *Reservation) Settle(used int64) {
	r.once.Do(func() { r.settle(max(used, 0)) })
}

// Lender returns the process in whose grant the tokens are reserved.
func (r *Reservation) Lender() bus.ID { return r.lender }

// Tokens returns the number of reserved tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Reserve sets tokens aside for a request of the workspace. If the grant has too
// few, it waits for the store, or for other holders to return tokens, but no longer
// than until ctx ends. The error wraps one of the errors of this package.
func (h *Holder) Reserve(ctx context.Context, workspace string, tokens int64) (*Reservation, error) {
	if h.closing.Load() {
		return nil, fmt.Errorf("reserve for %s: %w", workspace, ErrClosed)
	}
	a := h.account(workspace)
	if err := a.reserve(ctx, tokens, false); err != nil {
		h.countError(err)
		return nil, fmt.Errorf("reserve %d tokens for %s: %w", tokens, workspace, err)
	}
	return a.newReservation(tokens), nil
}

// countError counts a failed reservation.
func (h *Holder) countError(err error) {
	switch {
	case errors.Is(err, ErrExhausted):
		h.stats.Exhausted.Add(1)
	case errors.Is(err, ErrBusy):
		h.stats.Busy.Add(1)
	case errors.Is(err, ErrUnavailable):
		h.stats.Unavailable.Add(1)
	}
}

// account returns the account of a workspace, which it creates at first use.
func (h *Holder) account(workspace string) *account {
	return h.accounts.GetOrCreate(workspace, func() *account { return newAccount(h, workspace) })
}

// Run sends heartbeats, handles recall requests and returns surplus until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	var components sync.WaitGroup
	components.Go(func() { h.heartbeat.run(ctx) })
	components.Go(func() { h.watchRecalls(ctx) })
	for clock.Sleep(ctx, h.options.Clock, jitter(h.options.Settings.CheckInterval)) == nil {
		h.eras.observe()
		for _, a := range h.accounts.All() {
			a.check()
		}
	}
	components.Wait()
}

// jitter returns a random duration between half and one and a half times mean, so
// that holders that start together do not keep writing at the same time.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// LimitsChanged makes each account check its limit. Callers call it after a change
// of the configuration.
func (h *Holder) LimitsChanged() {
	for _, a := range h.accounts.All() {
		a.checkLimit()
	}
}

// ReclaimFor sets the workspaces whose orphaned grants of predecessors are reclaimed,
// so that unspent tokens are returned. A process without predecessor reads nothing
// for it.
func (h *Holder) ReclaimFor(workspaces []string) {
	h.LimitsChanged()
	h.reclaimMu.Lock()
	h.reclaimFor = workspaces
	h.reclaimMu.Unlock()
	h.reclaim()
}

// reclaim looks for grants that an earlier process on this VM left in the workspaces
// that ReclaimFor has set. It does nothing if there was no earlier process.
func (h *Holder) reclaim() {
	if !h.heartbeat.hasPredecessor() {
		return
	}
	h.reclaimMu.Lock()
	workspaces := h.reclaimFor
	h.reclaimMu.Unlock()
	for _, workspace := range workspaces {
		a := h.account(workspace)
		a.checkLimit()
		a.reclaim()
	}
}

// recallFeedWait is the longest time that one call waits for recall requests. A
// connection that stops responding only delays the return of tokens.
const recallFeedWait = 3 * time.Second

// watchRecalls passes the recall requests of other holders to the accounts until
// ctx ends.
func (h *Holder) watchRecalls(ctx context.Context) {
	watcher := rowstore.Watcher{Store: h.options.Store, Table: recallTable, Wait: recallFeedWait, Clock: h.options.Clock, Log: h.options.Log}
	watcher.OnChange = func(rows []rowstore.Row) {
		for _, row := range rows {
			var recall recallRow
			if err := decode(row, &recall); err != nil {
				h.options.Log.Error("cannot decode recall request", "row", row.Key.String(), "err", err.Error())
				continue
			}
			if h.heartbeat.storeMs()-recall.StoreMs < h.options.Settings.ScarceFor.Milliseconds() {
				h.account(row.Key.Name).recallReceived(recall.All)
			}
		}
	}
	watcher.OnSnapshot = watcher.OnChange
	for ctx.Err() == nil {
		if !h.holding() {
			_ = clock.Sleep(ctx, h.options.Clock, notHoldingInterval) // the loop condition checks ctx
			continue
		}
		watcher.Step(ctx)
		// Recall requests come in bursts; one read handles several.
		_ = clock.Sleep(ctx, h.options.Clock, recallReadInterval) // the loop condition checks ctx
	}
}

// notHoldingInterval is the interval at which a process without a grant checks whether
// it has one.
const notHoldingInterval = 200 * time.Millisecond

// recallReadInterval is the least time between two reads of recall requests.
const recallReadInterval = 10 * time.Millisecond

// Close refuses further reservations and returns what is not spent. Tokens of
// reservations that are not settled stay in the grant.
func (h *Holder) Close(ctx context.Context) error {
	if h.closing.CompareAndSwap(false, true) {
		close(h.closeStarted)
	}
	accounts := h.accounts.All()
	for _, a := range accounts {
		a.startClose()
	}
	var errs []error
	for _, a := range accounts {
		if err := a.awaitClose(ctx); err != nil {
			errs = append(errs, err)
		}
	}
	if err := h.heartbeat.removeRow(ctx, len(errs) == 0); err != nil {
		errs = append(errs, err)
	}
	if p := h.lends.Load(); p != nil {
		p.records.flush(ctx)
	}
	h.tasks.Stop()
	return errors.Join(errs...)
}
