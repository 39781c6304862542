package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
)

// recallRequest asks a holder to return unspent tokens of an account to the
// platform. Asking twice is harmless: tokens change hands only in the table.
type recallRequest struct {
	Account Account `cbor:"1,keyasint"`
	Tokens  int64   `cbor:"2,keyasint"`
}

// recallAnswer says what was returned, and what is in open reservations and
// may come back.
type recallAnswer struct {
	Returned int64 `cbor:"1,keyasint"`
	Open     int64 `cbor:"2,keyasint"`
}

// handlePeers registers the requests of other holders.
func (h *LocalHolder) handlePeers() {
	bus.Handle(h.options.Bus, kindCopy, func(_ context.Context, _ bus.ID, req copyRequest) (done, error) {
		if len(req.Bills) == 0 {
			return done{}, nil
		}
		return done{}, h.copies.keep(req.Holder, req.Bills)
	})
	bus.Handle(h.options.Bus, kindWritten, func(_ context.Context, from bus.ID, req writtenRequest) (done, error) {
		h.copies.drop(from, req.Last)
		return done{}, nil
	})
	bus.Handle(h.options.Bus, kindFlush, func(ctx context.Context, _ bus.ID, req flushRequest) (done, error) {
		return done{}, h.copies.flush(ctx, req.Incarnation)
	})
	bus.Handle(h.options.Bus, kindRecall, func(ctx context.Context, from bus.ID, req recallRequest) (recallAnswer, error) {
		return h.giveUp(ctx, from, req)
	})
}

// giveUp returns what this holder can spare of an account.
func (h *LocalHolder) giveUp(ctx context.Context, from bus.ID, req recallRequest) (recallAnswer, error) {
	a, found := h.accounts.Get(req.Account)
	if !found {
		return recallAnswer{}, nil
	}
	returned, err := a.spare(ctx, from, req.Tokens)
	if returned > 0 {
		h.options.Events.Record(event.Event{
			Duty: event.DutyBudget, Kind: event.GrantTransferred, Workspace: req.Account.Workspace,
			Peer: from.String(), Tokens: returned,
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return recallAnswer{Returned: returned, Open: a.open + a.leaving + max(0, a.availableLocked())}, err
}

// spare returns up to want tokens to the platform.
func (a *account) spare(ctx context.Context, to bus.ID, want int64) (int64, error) {
	a.mu.Lock()
	amount := min(want, a.spareLocked(to, want))
	a.mu.Unlock()
	if amount <= 0 {
		return 0, nil
	}
	return a.giveBack(ctx, amount)
}

// recall finds tokens for those who wait when the source is short: first in
// the budget's row and other share rows, then at the other holders.
func (a *account) recall(short error) error {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	need := a.need()
	if err := a.refillAndDraw(ctx, need); !errors.Is(err, errShort) {
		return err
	}
	moved, err := a.collect(ctx)
	if err != nil {
		return a.unavailable(err)
	}
	if moved {
		if err := a.refillAndDraw(ctx, need); !errors.Is(err, errShort) {
			return err
		}
	}
	open, complete, err := a.askPeers(ctx, need)
	if err != nil {
		return a.unavailable(err)
	}
	if err := a.refillAndDraw(ctx, need); !errors.Is(err, errShort) {
		return err
	}
	a.mu.Lock()
	open += a.open
	a.mu.Unlock()
	if open == 0 && complete {
		return fmt.Errorf("draw grant: %w: %w", ErrExhausted, short)
	}
	return fmt.Errorf("draw grant: %w: %w: %d tokens are in use elsewhere", ErrBusy, short, open)
}

// refillAndDraw draws again, after a refill if the source is a share row.
func (a *account) refillAndDraw(ctx context.Context, need int64) error {
	for {
		err := a.tryDraw()
		if !errors.Is(err, errShort) {
			return err
		}
		moved, failed := a.refill(ctx, need)
		if failed != nil {
			return a.unavailable(failed)
		}
		if !moved {
			return err
		}
	}
}

// need is what the first waiter lacks.
func (a *account) need() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, first := a.shortLocked()
	return first
}

// askers bounds the peers asked at the same time.
const askers = 16

// askPeers asks the other live holders of the account to return tokens. It
// returns what they have in use, and whether all of them answered. Grants of
// lost holders come back only by an operator and do not count.
func (a *account) askPeers(ctx context.Context, need int64) (open int64, complete bool, err error) {
	grants, err := NewLedger(a.holder.options.Table).grants(ctx, grantPrefix+a.name.String()+"/")
	if err != nil {
		return 0, false, err
	}
	holds := make(map[string]bool, len(grants))
	for _, g := range grants {
		holds[g.row.Holder] = true
	}
	var (
		asking sync.WaitGroup
		mu     sync.Mutex // guards open and complete
		slots  = make(chan struct{}, askers)
	)
	complete = true
	for _, p := range a.holder.options.Bus.Peers() {
		if !holds[p.ID.String()] {
			continue
		}
		a.holder.stats.Recalls.Add(1)
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			answer, err := bus.Call[recallRequest, recallAnswer](ctx, a.holder.options.Bus, p.ID, kindRecall, recallRequest{Account: a.name, Tokens: need})
			mu.Lock()
			defer mu.Unlock()
			open += answer.Open
			complete = complete && err == nil
		})
	}
	asking.Wait()
	return open, complete, nil
}
