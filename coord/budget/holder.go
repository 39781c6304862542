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

// Options are the settings and dependencies of a holder.
type Options struct {
	Settings Settings
	Table    platform.Table
	// Bus connects the holder to the other holders of the fleet.
	Bus    bus.Bus
	Clock  clock.Clock
	Events event.Recorder
	Log    *slog.Logger
	// ServeOutages reports whether Settings.ServeOutages is the grant policy of
	// a workspace; otherwise the policy is Settings.SmallHoldings. If the
	// function is nil, all workspaces have SmallHoldings.
	ServeOutages func(workspace string) bool
}

// LocalHolder is the Holder of one process. It draws grants under the
// incarnation of its bus, which is unique to each start of a process.
type LocalHolder struct {
	options  Options
	self     bus.Peer
	stats    Stats
	biller   *biller
	replicas *replicaStore

	running *tasks.Group
	ctx     context.Context // context of running; it ends when the holder stops
	// closing is set by Close and Kill, and fenced once an operation found
	// that the incarnation of the holder is fenced.
	closing atomic.Bool
	fenced  atomic.Bool

	// accounts has its own lock, which may be acquired while the mutex of an
	// account is held, not the other way round.
	accounts keyed.Map[Account, *account]
}

var _ Holder = (*LocalHolder)(nil)

// NewHolder returns a running holder. It registers handlers at the bus, so it
// must be called before the bus runs.
func NewHolder(o Options) *LocalHolder {
	if o.ServeOutages == nil {
		o.ServeOutages = func(string) bool { return false }
	}
	h := &LocalHolder{options: o, self: o.Bus.Self(), running: tasks.NewGroup()}
	h.ctx = h.running.Context()
	h.biller = newBiller(h)
	h.replicas = newReplicaStore(h)
	h.registerHandlers()
	h.running.Go(h.biller.groupLoop)
	h.running.Go(h.biller.writeLoop)
	h.running.Go(h.biller.replicateLoop)
	h.running.Go(h.replicas.run)
	h.running.Go(h.returnIdle)
	return h
}

// Stats returns the counters of the holder.
func (h *LocalHolder) Stats() *Stats { return &h.stats }

// Fenced reports whether an operator has resolved this holder's grants as
// those of a dead process. The process must be restarted to serve again.
func (h *LocalHolder) Fenced() bool { return h.fenced.Load() }

// account returns the state of an account, which is created at its first use.
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

// reserve is Reserve without counters, events and the wrapping of errors.
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
	if needed := h.grantPolicy(req.Account.Workspace).MinReplicas; h.biller.platformUnreachable() && len(h.options.Bus.Peers()) < needed {
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
		case !errors.Is(err, errAccountDropped):
			return nil, err
		}
	}
}

// dropAccount removes the state of an account without a grant. The caller
// holds a.mu.
func (h *LocalHolder) dropAccount(a *account) { h.accounts.Delete(a.name) }

// checkKey refuses a caller's key that was used for other content, or whose
// replays have reached the limit. If the platform is unreachable or the read
// fails, the check is skipped, and the bill decides what is charged.
func (h *LocalHolder) checkKey(ctx context.Context, req Request) error {
	if req.Unique || h.biller.platformUnreachable() {
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

// Close implements Holder. Tokens whose bills are not written, or that are
// not returned, when ctx ends stay in doubt.
func (h *LocalHolder) Close(ctx context.Context) error {
	h.closing.Store(true)
	handOverErr := h.replicas.handOver(ctx)
	err := h.biller.flush(ctx)
	if err != nil {
		h.biller.replicateBacklog(0)
	}
	for _, a := range h.accounts.All() {
		if err == nil {
			err = a.close(ctx)
		}
	}
	h.running.Stop()
	if err = errors.Join(err, handOverErr); err != nil {
		return fmt.Errorf("close budgets: %w", err)
	}
	return nil
}

// Kill stops the goroutines without writing anything, as a crash does.
func (h *LocalHolder) Kill() {
	h.closing.Store(true)
	h.running.Stop()
}

// returnIdle periodically returns grants that are not used.
func (h *LocalHolder) returnIdle() {
	for clock.Sleep(h.ctx, h.options.Clock, h.options.Settings.IdleCheckInterval) == nil {
		for _, a := range h.accounts.All() {
			a.checkIdle()
		}
	}
}

// grantPolicy returns the grant policy of a workspace.
func (h *LocalHolder) grantPolicy(workspace string) GrantPolicy {
	if h.options.ServeOutages(workspace) {
		return h.options.Settings.ServeOutages
	}
	return h.options.Settings.SmallHoldings
}

// recordOp records an event caused by the transaction with operation id opID.
func (h *LocalHolder) recordOp(kind event.Kind, req Request, tokens int64, opID string) {
	h.options.Events.Record(event.Event{
		Component: event.ComponentBudget, Kind: kind, Request: req.ID, Workspace: req.Account.Workspace, Tokens: tokens, Op: opID,
	})
}

// record records an event without an operation id.
func (h *LocalHolder) record(kind event.Kind, req Request, tokens int64, detail string) {
	h.options.Events.Record(event.Event{
		Component: event.ComponentBudget, Kind: kind, Request: req.ID, Workspace: req.Account.Workspace,
		Tokens: tokens, Detail: detail,
	})
}

// platformRetryInterval bounds how long a loop waits before it tries the
// platform again.
const platformRetryInterval = time.Second

// localReservation is the Reservation of a LocalHolder.
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
