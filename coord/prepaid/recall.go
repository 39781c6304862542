package prepaid

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// holderDeadAfter is the age of a grant's last write beyond which its holder counts
// as dead when a shortage is classified. A live holder that serves requests writes
// more often than that.
const holderDeadAfter = 15 * time.Second

const (
	// maxRecalls bounds the recall requests that one write makes for its first
	// waiter.
	maxRecalls = 4
	// recallRetryInterval is the wait after a recall request before the draw is
	// attempted again.
	recallRetryInterval = 60 * time.Millisecond
)

// confirmShortage reads the rows before a waiter is refused, and returns the plan
// to retry with. If other holders have enough unspent tokens, it requests a recall
// and extends the deadlines of the waiters; recalls counts the requests. The error
// says whether tokens may be returned later: it wraps ErrBusy then.
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
	if len(a.waiters) > 0 && a.waiters[0].noWait {
		a.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", errShortage, ErrBusy)
	}
	for _, w := range a.waiters {
		if w.noWait {
			continue
		}
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

// peerRecallValidFor is how long a recall request of another holder makes one of
// this holder redundant. It is the time within which other holders respond to it.
const peerRecallValidFor = 300 * time.Millisecond

// recallTokens requests that the other holders return surplus headroom, or all of
// it. It does nothing if an equivalent request was made recently.
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
	a.holder.options.Log.Info("recall requested from other holders", "workspace", a.workspace, "all", all)
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	key := rowstore.Key{Table: recallTable, Name: a.workspace}
	put := rowstore.Put{Key: key, Value: encode(recallRow{StoreMs: a.holder.heartbeat.storeMs(), All: all})}
	if _, err := a.holder.options.Store.Commit(ctx, rowstore.Tx{Put: []rowstore.Put{put}}); err != nil {
		return fmt.Errorf("request recall of tokens of %s: %w", a.workspace, err)
	}
	return nil
}

// needsRecallLocked reports whether the grant lacks headroom that other holders
// have beyond their share.
func (a *account) needsRecallLocked() bool {
	_, headroom := a.targetsLocked()
	unused := a.granted - a.inUseLocked()
	recentRecall := !a.lastRecall.IsZero() && a.now().Sub(a.lastRecall) < a.holder.options.Settings.ScarceFor
	return !a.unreachable && !recentRecall && !a.scarceLocked() && float64(unused) < recallLowWater*float64(headroom)
}

// recallLowWater is the fraction of its headroom below which a grant needs a
// recall.
const recallLowWater = 0.3

// recallAhead requests a recall of surplus headroom before a request needs it.
func (a *account) recallAhead() {
	if err := a.recallTokens(false); err != nil {
		a.holder.options.Log.Warn("recall request to other holders failed", "workspace", a.workspace, "err", err.Error())
	}
}

// unspentByOthers returns the tokens in the grants of other holders that were
// neither spent nor reserved when the rows were written. It skips grants whose
// holder counts as dead, unless they may be reclaimed.
func (a *account) unspentByOthers(rows []rowstore.Row) int64 {
	now, unspent := a.holder.heartbeat.storeMs(), int64(0)
	for _, row := range rows {
		if row.Key == a.storedGrant.Key || !strings.HasPrefix(row.Key.Name, grantPrefix) {
			continue
		}
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			a.holder.options.Log.Error("cannot decode grant row, its unspent tokens are not counted", "row", row.Key.String(), "err", err)
			continue
		}
		if now-grant.StoreMs < holderDeadAfter.Milliseconds() || a.holder.mayReclaim(row) {
			unspent += grant.Granted - max(grant.Spent, grant.InUse)
		}
	}
	return unspent
}

// mayReclaim reports whether tokens of the grant in a row may come back though the row was not
// written lately: its holder responds, or does not do so only for a short time.
func (h *Holder) mayReclaim(row rowstore.Row) bool {
	p := h.lends.Load()
	holder, ok := holderOf(row)
	if p == nil || !ok {
		return false
	}
	p.lost.suspect(holder)
	return p.lost.mayReclaim(holder)
}
