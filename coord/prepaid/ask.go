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
const deadAfter = 15 * time.Second

// Asking others for tokens: how often a waiter is tried again, after what pause.
const (
	maxAsks  = 4
	askPause = 60 * time.Millisecond
)

// confirmShort reads the rows before a waiter is refused, and returns the plan
// to try again with. If others hold enough it asks them to return it. The error
// tells whether tokens may come back.
func (a *account) confirmShort(short error, asked *int) (*plan, error) {
	a.mu.Lock()
	waiting := len(a.waiters) > 0
	a.mu.Unlock()
	if !waiting || errors.Is(short, ErrUnlimited) {
		return nil, short
	}
	snap, err := a.read()
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	p := a.planLocked()
	lacks := int64(0)
	if p != nil {
		lacks = a.inUseLocked() + p.first - a.granted
	}
	a.mu.Unlock()
	limit, _ := a.limit()
	rest := limit.Tokens - a.totalNow.Granted
	if p == nil || p.first == 0 || rest >= lacks {
		return p, nil
	}
	held := a.heldByOthers(snap.Rows)
	a.holder.options.Log.Info("workspace is short of tokens", "workspace", a.workspace,
		"lacks", lacks, "unspent", rest, "held_by_others", held, "limit", limit.Tokens, "store_version", snap.Version)
	if rest+held < lacks {
		return nil, errShort
	}
	a.mu.Lock()
	for _, w := range a.waiters {
		w.asked = true
		w.until = later(w.until, w.came.Add(a.holder.options.Settings.RecallWait))
	}
	a.mu.Unlock()
	if *asked++; *asked > maxAsks {
		return nil, fmt.Errorf("%w: %w", errShort, ErrBusy)
	}
	if err := a.ask(*asked > 1); err != nil {
		return nil, err
	}
	select {
	case <-a.holder.options.Clock.After(askPause):
	case <-a.holder.ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.planLocked(), nil
}

// heardFor is how long an ask of another holder counts as an own one: the time in
// which its answers come.
const heardFor = 300 * time.Millisecond

// ask asks the other holders to return stock, or all of it.
func (a *account) ask(all bool) error {
	a.mu.Lock()
	now := a.now()
	recent := !a.asked.IsZero() && now.Sub(a.asked) < a.holder.options.Settings.ScarceFor/2
	heard := !a.heard.IsZero() && now.Sub(a.heard) < heardFor && (a.heardAll || !all)
	needless := heard || recent && (a.askedAll || !all)
	if !needless {
		a.asked, a.askedAll = now, all
	}
	a.scarceAll = all || a.scarceAll && a.scarceLocked()
	a.scarceUntil = now.Add(a.holder.options.Settings.ScarceFor)
	a.mu.Unlock()
	if needless {
		return nil
	}
	a.holder.options.Log.Info("others are asked for tokens", "workspace", a.workspace, "all", all)
	ctx, cancel := context.WithTimeout(a.holder.ctx, a.holder.options.Settings.CallTimeout)
	defer cancel()
	key := rowstore.Key{Table: wantedTable, Name: a.workspace}
	put := rowstore.Put{Key: key, Value: encode(wantedRow{StoreMs: a.holder.presence.storeMs(), All: all})}
	if _, err := a.holder.options.Store.Commit(ctx, rowstore.Tx{Put: []rowstore.Put{put}}); err != nil {
		return fmt.Errorf("ask for tokens of %s: %w", a.workspace, err)
	}
	return nil
}

// starvedLocked reports whether the grant is short of stock that others hold
// above their part.
func (a *account) starvedLocked() bool {
	_, stock := a.stocksLocked()
	free := a.granted - a.inUseLocked()
	recent := !a.asked.IsZero() && a.now().Sub(a.asked) < a.holder.options.Settings.ScarceFor
	return !a.away && !recent && !a.scarceLocked() && float64(free) < starvedShare*float64(stock)
}

// starvedShare is the part of its stock below which a grant is starved.
const starvedShare = 0.3

// askAhead asks for stock before a request needs it.
func (a *account) askAhead() {
	if err := a.ask(false); err != nil {
		a.holder.options.Log.Warn("others were not asked for tokens", "workspace", a.workspace, "err", err.Error())
	}
}

// heldByOthers is what grants of holders that seem to live have not spent.
func (a *account) heldByOthers(rows []rowstore.Row) int64 {
	now, held := a.holder.presence.storeMs(), int64(0)
	for _, row := range rows {
		if row.Key == a.own.Key || row.Key == a.total.Key {
			continue
		}
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			a.holder.options.Log.Error("grant row is unreadable", "row", row.Key.String(), "err", err)
			continue
		}
		if now-grant.StoreMs < deadAfter.Milliseconds() {
			held += grant.Granted - max(grant.Spent, grant.Used)
		}
	}
	return held
}
