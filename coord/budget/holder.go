package budget

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/internal/keyed"
	"daisyslip.dev/daisyslip/coord/internal/tasks"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Options are what a holder works with.
type Options struct {
	Settings Settings
	Table    platform.Table
	// Bus reaches the other holders of the fleet.
	Bus    bus.Bus
	Clock  clock.Clock
	Events event.Recorder
	Log    *slog.Logger
	// Serve says whether a workspace leans toward being served during an
	// outage; nil means that none does.
	ServeOutages func(workspace string) bool
}

// LocalHolder is the Holder of one process. It draws under the incarnation of
// its bus, which is fresh for each start of a process.
type LocalHolder struct {
	options Options
	self    bus.Peer
	stats   Stats
	biller  *biller
	copies  *copyKeeper

	running *tasks.Group
	ctx     context.Context // of running
	closing atomic.Bool
	fenced  atomic.Bool

	// accounts has a lock of its own, which is taken after an account's.
	accounts keyed.Map[Account, *account]
}

var _ Holder = (*LocalHolder)(nil)

// NewHolder starts a holder. It registers its requests at the bus, so that it
// is called before the bus runs.
func NewHolder(o Options) *LocalHolder {
	if o.ServeOutages == nil {
		o.ServeOutages = func(string) bool { return false }
	}
	h := &LocalHolder{options: o, self: o.Bus.Self(), running: tasks.NewGroup()}
	h.ctx = h.running.Context()
	h.biller = newBiller(h)
	h.copies = newCopyKeeper(h)
	h.handlePeers()
	h.running.Go(h.biller.collect)
	h.running.Go(h.biller.write)
	h.running.Go(h.biller.copyUnits)
	h.running.Go(h.copies.run)
	h.running.Go(h.returnIdle)
	return h
}

// Stats returns the counters of the holder.
func (h *LocalHolder) Stats() *Stats { return &h.stats }

// Fenced reports whether an operator has settled this holder's grants as
// those of a lost process. The process must start anew to serve again.
func (h *LocalHolder) Fenced() bool { return h.fenced.Load() }

// account returns the state of an account, made at its first use.
func (h *LocalHolder) account(a Account) *account {
	return h.accounts.GetOrCreate(a, func() *account { return newAccount(h, a) })
}

// Reserve implements Holder.
func (h *LocalHolder) Reserve(ctx context.Context, req Request) (Reservation, error) {
	r, err := h.reserve(ctx, req)
	switch {
	case err == nil:
		h.stats.Reserved.Add(1)
		h.record(event.TokensReserved, req, req.Tokens, "")
		return r, nil
	case errors.Is(err, ErrExhausted):
		h.stats.RefusedExhausted.Add(1)
	case errors.Is(err, ErrBusy):
		h.stats.RefusedBusy.Add(1)
	default:
		h.stats.RefusedUnavailable.Add(1)
	}
	return nil, fmt.Errorf("reserve tokens of %s: %w", req.Account, err)
}

func (h *LocalHolder) reserve(ctx context.Context, req Request) (Reservation, error) {
	if req.Tokens <= 0 {
		return nil, fmt.Errorf("%w: a reservation of %d tokens", ErrConflict, req.Tokens)
	}
	if h.fenced.Load() {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, ErrFenced)
	}
	if h.closing.Load() {
		return nil, fmt.Errorf("%w: the holder stops", ErrUnavailable)
	}
	if h.biller.full() {
		return nil, fmt.Errorf("%w: too many bills wait for the platform", ErrUnavailable)
	}
	if needed := h.lean(req.Account.Workspace).MinReplicas; h.biller.away() && len(h.options.Bus.Peers()) < needed {
		return nil, fmt.Errorf("%w: the platform is away and too few peers are in reach to keep the bill", ErrUnavailable)
	}
	if err := h.checkKey(ctx, req); err != nil {
		return nil, err
	}
	for {
		a := h.account(req.Account)
		err := a.reserve(ctx, req.Tokens)
		switch {
		case err == nil:
			return &localReservation{account: a, request: req}, nil
		case !errors.Is(err, errForgotten):
			return nil, err
		}
	}
}

// forget drops the state of an account that holds nothing.
func (h *LocalHolder) forget(a *account) { h.accounts.Delete(a.name) }

// checkKey refuses a caller's key that was used for other content, or served
// again too often. With the platform away the check is left to the bill.
func (h *LocalHolder) checkKey(ctx context.Context, req Request) error {
	if req.Unique || h.biller.away() {
		return nil
	}
	rows, err := h.options.Table.Get(ctx, callerKey(req.Account, req.Key))
	if err != nil || rows[0].Version == 0 {
		return nil
	}
	row, err := decode[keyRow](rows[0])
	if err != nil {
		return err
	}
	if row.Digest != req.Digest {
		return fmt.Errorf("%w: the key was used for another request", ErrConflict)
	}
	if replays := len(row.Replays); replays >= h.options.Settings.MaxReplays {
		return fmt.Errorf("%w: the key was served %d times", ErrConflict, replays+1)
	}
	return nil
}

// Close implements Holder. What it cannot write or return by the end of ctx
// stays in doubt.
func (h *LocalHolder) Close(ctx context.Context) error {
	h.closing.Store(true)
	handed := h.copies.handOver(ctx)
	err := h.biller.flush(ctx)
	if err != nil {
		h.biller.copyBacklog(0)
	}
	for _, a := range h.accounts.All() {
		if err == nil {
			err = a.close(ctx)
		}
	}
	h.running.Stop()
	if err = errors.Join(err, handed); err != nil {
		return fmt.Errorf("close budgets: %w", err)
	}
	return nil
}

// Kill stops the goroutines and writes nothing, as a crash does.
func (h *LocalHolder) Kill() {
	h.closing.Store(true)
	h.running.Stop()
}

// returnIdle gives back grants that nobody uses.
func (h *LocalHolder) returnIdle() {
	for clock.Sleep(h.ctx, h.options.Clock, h.options.Settings.IdleCheckInterval) == nil {
		for _, a := range h.accounts.All() {
			a.checkIdle()
		}
	}
}

// lean returns the size policy of a workspace.
func (h *LocalHolder) lean(workspace string) GrantPolicy {
	if h.options.ServeOutages(workspace) {
		return h.options.Settings.ServeOutages
	}
	return h.options.Settings.SmallHoldings
}

// recordOp records an event that a transaction of the platform brought about.
func (h *LocalHolder) recordOp(kind event.Kind, req Request, tokens int64, op string) {
	h.options.Events.Record(event.Event{
		Duty: event.DutyBudget, Kind: kind, Request: req.ID, Workspace: req.Account.Workspace, Tokens: tokens, Op: op,
	})
}

func (h *LocalHolder) record(kind event.Kind, req Request, tokens int64, detail string) {
	h.options.Events.Record(event.Event{
		Duty: event.DutyBudget, Kind: kind, Request: req.ID, Workspace: req.Account.Workspace,
		Tokens: tokens, Detail: detail,
	})
}

// platformPause bounds how long a loop waits before it tries the platform
// again.
const platformPause = time.Second

// localReservation implements Reservation.
type localReservation struct {
	account *account
	request Request
	once    sync.Once
}

// Settle implements Reservation.
func (r *localReservation) Settle(ctx context.Context, used int64) error {
	var err error
	r.once.Do(func() {
		used = max(0, min(used, r.request.Tokens))
		r.account.settle(r.request.Tokens, used)
		err = r.account.holder.biller.bill(ctx, r.account, r.request, used)
	})
	return err
}

// Cancel implements Reservation.
func (r *localReservation) Cancel() {
	r.once.Do(func() { r.account.settle(r.request.Tokens, 0) })
}
