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
// platform. Repeating it is harmless, since tokens change hands only in the
// table.
type recallRequest struct {
	Account Account `cbor:"1,keyasint"`
	Tokens  int64   `cbor:"2,keyasint"`
}

// recallResponse reports the tokens that were returned. InUse counts the
// tokens that the responding holder still has reserved, available or in a
// return that is in progress; they may be returned to the source later.
type recallResponse struct {
	Returned int64 `cbor:"1,keyasint"`
	InUse    int64 `cbor:"2,keyasint"`
}

// registerHandlers registers the handlers for messages of other holders.
func (h *LocalHolder) registerHandlers() {
	bus.Handle(h.options.Bus, kindReplicate, func(_ context.Context, _ bus.ID, req replicateRequest) (emptyResponse, error) {
		if len(req.Bills) == 0 {
			return emptyResponse{}, nil
		}
		return emptyResponse{}, h.replicas.add(req.Holder, req.Bills)
	})
	bus.Handle(h.options.Bus, kindWritten, func(_ context.Context, from bus.ID, req writtenRequest) (emptyResponse, error) {
		h.replicas.remove(from, req.Last)
		return emptyResponse{}, nil
	})
	bus.Handle(h.options.Bus, kindFlush, func(ctx context.Context, _ bus.ID, req flushRequest) (emptyResponse, error) {
		return emptyResponse{}, h.replicas.flush(ctx, req.Incarnation)
	})
	bus.Handle(h.options.Bus, kindRecall, func(ctx context.Context, from bus.ID, req recallRequest) (recallResponse, error) {
		return h.handleRecall(ctx, from, req)
	})
}

// handleRecall returns surplus tokens of an account for the holder from.
func (h *LocalHolder) handleRecall(ctx context.Context, from bus.ID, req recallRequest) (recallResponse, error) {
	a, found := h.accounts.Get(req.Account)
	if !found {
		return recallResponse{}, nil
	}
	returned, err := a.returnSurplus(ctx, from, req.Tokens)
	if returned > 0 {
		h.options.Events.Record(event.Event{
			Component: event.ComponentBudget, Kind: event.GrantTransferred, Workspace: req.Account.Workspace,
			Peer: from.String(), Tokens: returned,
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return recallResponse{Returned: returned, InUse: a.reserved + a.returning + max(0, a.availableLocked())}, err
}

// returnSurplus returns up to limit surplus tokens to the platform for the
// requester and reports how many.
func (a *account) returnSurplus(ctx context.Context, requester bus.ID, limit int64) (int64, error) {
	a.mu.Lock()
	amount := min(limit, a.surplusLocked(requester, limit))
	a.mu.Unlock()
	if amount <= 0 {
		return 0, nil
	}
	return a.returnTokens(ctx, amount)
}

// recall finds tokens for the waiters after a draw failed with the given
// shortage: first in the budget's row and in other share rows, then at the
// other holders. It returns nil after a successful draw, ErrExhausted if no
// tokens can come back, and otherwise ErrBusy.
func (a *account) recall(shortage error) error {
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	needed := a.firstShortage()
	if err := a.refillAndDraw(ctx, needed); !errors.Is(err, errShortage) {
		return err
	}
	moved, err := a.reclaimShares(ctx)
	if err != nil {
		return a.unavailable(err)
	}
	if moved {
		if err := a.refillAndDraw(ctx, needed); !errors.Is(err, errShortage) {
			return err
		}
	}
	inUse, complete, err := a.recallFromPeers(ctx, needed)
	if err != nil {
		return a.unavailable(err)
	}
	if err := a.refillAndDraw(ctx, needed); !errors.Is(err, errShortage) {
		return err
	}
	a.mu.Lock()
	inUse += a.reserved
	a.mu.Unlock()
	if inUse == 0 && complete {
		return fmt.Errorf("draw grant: %w: %w", ErrExhausted, shortage)
	}
	return fmt.Errorf("draw grant: %w: %w: %d tokens are in use elsewhere", ErrBusy, shortage, inUse)
}

// refillAndDraw attempts a draw; if the source is a share row, it refills the
// row and tries again until the draw succeeds or nothing is left to move.
func (a *account) refillAndDraw(ctx context.Context, needed int64) error {
	for {
		err := a.tryDraw()
		if !errors.Is(err, errShortage) {
			return err
		}
		moved, refillErr := a.refill(ctx, needed)
		if refillErr != nil {
			return a.unavailable(refillErr)
		}
		if !moved {
			return err
		}
	}
}

// firstShortage returns the tokens that the first waiter lacks.
func (a *account) firstShortage() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, first := a.shortageLocked()
	return first
}

// maxConcurrentRecalls bounds the concurrent recall requests to peers.
const maxConcurrentRecalls = 16

// recallFromPeers asks the other live holders with a grant of the account to
// return tokens. It returns the tokens that they have in use, and whether all
// of them responded. Grants of lost holders are reclaimed only by an operator
// and do not count.
func (a *account) recallFromPeers(ctx context.Context, needed int64) (inUse int64, complete bool, err error) {
	grants, err := NewLedger(a.holder.options.Table).readGrants(ctx, grantPrefix+a.name.String()+"/")
	if err != nil {
		return 0, false, err
	}
	hasGrant := make(map[string]bool, len(grants))
	for _, g := range grants {
		hasGrant[g.grant.Holder] = true
	}
	var (
		calls sync.WaitGroup
		mu    sync.Mutex // guards inUse and complete
		slots = make(chan struct{}, maxConcurrentRecalls)
	)
	complete = true
	for _, p := range a.holder.options.Bus.Peers() {
		if !hasGrant[p.ID.String()] {
			continue
		}
		a.holder.stats.Recalls.Add(1)
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			response, err := bus.Call[recallRequest, recallResponse](ctx, a.holder.options.Bus, p.ID, kindRecall, recallRequest{Account: a.name, Tokens: needed})
			mu.Lock()
			defer mu.Unlock()
			inUse += response.InUse
			complete = complete && err == nil
		})
	}
	calls.Wait()
	return inUse, complete, nil
}
