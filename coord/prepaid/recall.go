package prepaid

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// deadAfter is the age of a grant's last write after which its holder counts
// as dead when a refusal is worded; holders that live and serve write more
// often than that.
const holderDeadAfter = 15 * time.Second

// Asking others for tokens: how often a waiter is tried again, after what pause.
const (
	maxRecalls          = 4
	recallRetryInterval = 60 * time.Millisecond
)

// confirmShort reads the rows before a waiter is refused, and returns the plan
// to try again with. If others hold enough it asks them to return it. The error
// tells whether tokens may come back.
func (a *account) confirmShortage(shortage error, recalls *int) (*plan, error) {
	a.mu.Lock()
	waiting := len(a.waiters) > 0
	a.mu.Unlock()
	if !waiting || errors.Is(shortage, ErrUnlimited) {
		return nil, shortage
	}
	snap, err := a.readRows()
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	p := a.planLocked()
	missing := int64(0)
	if p != nil {
		missing = a.inUseLocked() + p.firstWaiter - a.granted
	}
	a.mu.Unlock()
	limit, _ := a.newestLimit()
	ungranted := limit.Tokens - a.total.Granted
	if p == nil || p.firstWaiter == 0 || ungranted >= missing {
		return p, nil
	}
	unspentByOthers := a.unspentByOthers(snap.Rows)
	a.holder.options.Log.Info("workspace is short of tokens", "workspace", a.workspace,
		"lacks", missing, "unspent", ungranted, "held_by_others", unspentByOthers, "limit", limit.Tokens, "store_version", snap.Version)
	if ungranted+unspentByOthers < missing {
		return nil, errShortage
	}
	a.mu.Lock()
	for _, w := range a.waiters {
		w.recallRequested = true
		w.deadline = later(w.deadline, w.arrivedAt.Add(a.holder.options.Settings.RecallWait))
	}
	a.mu.Unlock()
	if *recalls++; *recalls > maxRecalls {
		return nil, fmt.Errorf("%w: %w", errShortage, ErrBusy)
	}
	if err := a.recallTokens(*recalls > 1); err != nil {
		return nil, err
	}
	select {
	case <-a.holder.options.Clock.After(recallRetryInterval):
	case <-a.holder.ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.planLocked(), nil
}

// heardFor is how long an ask of another holder counts as an own one: the time in
// which its answers come.
const peerRecallValidFor = 300 * time.Millisecond

// ask asks the other holders to return stock, or all of it.
func (a *account) recallTokens(all bool) error {
	a.mu.Lock()
	now := a.now()
	recentRecall := !a.lastRecall.IsZero() && now.Sub(a.lastRecall) < a.holder.options.Settings.ScarceFor/2
	peerRecalled := !a.lastPeerRecall.IsZero() && now.Sub(a.lastPeerRecall) < peerRecallValidFor && (a.lastPeerRecallAll || !all)
	redundant := peerRecalled || recentRecall && (a.lastRecallAll || !all)
	if !redundant {
		a.lastRecall, a.lastRecallAll = now, all
	}
	a.scarceReturnAll = all || a.scarceReturnAll && a.scarceLocked()
	a.scarceUntil = now.Add(a.holder.options.Settings.ScarceFor)
	a.mu.Unlock()
	if redundant {
		return nil
	}
	a.holder.options.Log.Info("others are asked for tokens", "workspace", a.workspace, "all", all)
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	key := rowstore.Key{Table: recallTable, Name: a.workspace}
	put := rowstore.Put{Key: key, Value: encode(recallRow{StoreMs: a.holder.heartbeat.storeMs(), All: all})}
	if _, err := a.holder.options.Store.Commit(ctx, rowstore.Tx{Put: []rowstore.Put{put}}); err != nil {
		return fmt.Errorf("ask for tokens of %s: %w", a.workspace, err)
	}
	return nil
}

// starvedLocked reports whether the grant is short of stock that others hold
// above their part.
func (a *account) needsRecallLocked() bool {
	_, headroom := a.targetsLocked()
	unused := a.granted - a.inUseLocked()
	recentRecall := !a.lastRecall.IsZero() && a.now().Sub(a.lastRecall) < a.holder.options.Settings.ScarceFor
	return !a.unreachable && !recentRecall && !a.scarceLocked() && float64(unused) < recallLowWater*float64(headroom)
}

// starvedShare is the part of its stock below which a grant is starved.
const recallLowWater = 0.3

// askAhead asks for stock before a request needs it.
func (a *account) recallAhead() {
	if err := a.recallTokens(false); err != nil {
		a.holder.options.Log.Warn("others were not asked for tokens", "workspace", a.workspace, "err", err.Error())
	}
}

// heldByOthers is what grants of holders that seem to live have not spent.
func (a *account) unspentByOthers(rows []rowstore.Row) int64 {
	now, unspent := a.holder.heartbeat.storeMs(), int64(0)
	for _, row := range rows {
		if row.Key == a.storedGrant.Key || row.Key == a.storedTotal.Key {
			continue
		}
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			a.holder.options.Log.Error("grant row is unreadable", "row", row.Key.String(), "err", err)
			continue
		}
		if now-grant.StoreMs < holderDeadAfter.Milliseconds() {
			unspent += grant.Granted - max(grant.Spent, grant.InUse)
		}
	}
	return unspent
}
