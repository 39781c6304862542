package prepaid

import (
	"math"
	"time"
)

// plan is what a grant should become, in tokens.
type plan struct {
	granted int64
	cleared int64
	// first is the size of the first waiter, or 0.
	first int64
	// due says that the write is due even if nothing can be drawn.
	due bool
}

// shareRequests is the number of requests that outweigh the assumption that all
// holders have equal parts of the use.
const shareRequests = 4

// clearLowWater is the share of the cleared stock below which more is cleared.
const clearLowWater = 0.5

// aheadRequests is the number of requests that are cleared beside the use of
// ClearAhead, since requests come in groups; aheadShare bounds what
// is cleared by a share of the stock, since it is lost when the holder dies.
const (
	aheadRequests = 0.5
	aheadShare    = 0.6
)

// stockRequests is the number of requests that a grant covers beside the use of
// the horizon: the first requests of a workspace may come when the store is
// away.
const stockRequests = 6

// planLocked returns the write that is due, or nil.
func (a *account) planLocked() *plan {
	inUse := a.inUseLocked()
	if a.recall {
		return &plan{granted: inUse, cleared: inUse, due: true}
	}
	if a.holder.closing.Load() {
		return nil
	}
	ahead, stock := a.stocksLocked()
	wanted := inUse
	for _, w := range a.waiters {
		wanted += w.tokens
	}
	p := &plan{granted: wanted + max(ahead, stock), cleared: wanted + ahead}
	uncleared := inUse > a.cleared || float64(a.cleared-inUse) < clearLowWater*float64(ahead) && a.cleared < a.granted
	// A write that succeeds ends those whose outcome is not known.
	p.due = a.leftKnown() || uncleared || len(a.waiters) > 0 || len(a.pending) > 0
	free := a.granted - wanted
	s := a.holder.options.Settings
	low := float64(free) < s.LowWater*float64(stock) && float64(stock-free) >= a.request && !a.earlyLocked()
	all := a.scarceLocked() && a.scarceAll
	high := float64(free) > a.surplusLocked()*float64(stock) && (float64(free-stock) >= a.request || all)
	switch {
	case len(a.waiters) > 0:
		p.first = a.waiters[0].tokens
		if free >= ahead && !low {
			p.granted = a.granted // clearing is enough
		}
		p.granted = max(p.granted, a.granted) // a return would delay the waiter
	case low:
		p.granted = max(p.granted, a.granted)
	case high:
	case p.due:
		p.granted = a.granted
	default:
		return nil
	}
	return p
}

// leftKnown reports whether grants of predecessors can be taken up.
func (a *account) leftKnown() bool { return len(a.left) > 0 && a.holder.presence.known.Load() }

// firstDrawSpread is the time, a holder, over which first draws ahead of need are
// spread: ten transactions of one partition.
const firstDrawSpread = 50 * time.Millisecond

// earlyLocked reports whether the first draw ahead of need has to wait for those
// of other holders that started at the same time.
func (a *account) earlyLocked() bool {
	spread := time.Duration(a.early * float64(firstDrawSpread) * float64(a.holder.HolderCount()))
	return a.own.Version == 0 && a.now().Sub(a.born) < spread
}

// scarceLocked reports whether a holder is short of tokens.
func (a *account) scarceLocked() bool { return a.now().Before(a.scarceUntil) }

// surplusLocked is the factor over the stock above which tokens go back.
func (a *account) surplusLocked() float64 {
	if a.scarceLocked() {
		return 1
	}
	return a.holder.options.Settings.Surplus
}

// stocksLocked returns what should be cleared ahead of use, and the stock that
// the grant should have.
func (a *account) stocksLocked() (ahead, stock int64) {
	if !a.totalSeen || a.scarceLocked() && a.scarceAll {
		return 0, 0 // how much is left is not known yet, or others need it
	}
	s := a.holder.options.Settings
	share := s.HeadroomShare
	if a.scarceLocked() {
		share = s.ScarceShare
	}
	use := min(a.use.perSecond(a.now()), a.idleLocked())
	unspent := max(a.lastLimit-a.totalNow.Spent-(a.inUseLocked()-a.reported), 0)
	byRest := share * float64(unspent) * a.shareLocked()
	stock = int64(math.Min(use*s.Horizon.Seconds()+stockRequests*a.request, byRest))
	ahead = min(int64(use*s.ActivateAhead.Seconds()+aheadRequests*a.request), int64(aheadShare*float64(stock)),
		int64(s.ActivateShare*float64(a.lastLimit)*a.shareLocked()))
	return ahead, stock
}

// idleLocked is the greatest use, in tokens a second, that the time since the last
// request makes likely: callers may have gone to other holders.
func (a *account) idleLocked() float64 {
	return idleRequests * a.request / max(a.now().Sub(a.lastUse), time.Millisecond).Seconds()
}

// idleRequests is the mean number of requests in a time in which, with 95 in 100,
// at least one comes.
const idleRequests = 3

// shareLocked is this holder's part of the workspace's recent use. Holders start
// with equal parts, which weigh like shareRequests requests.
func (a *account) shareLocked() float64 {
	now := a.now()
	equal := 1 / float64(max(a.totalNow.Open, int64(a.holder.HolderCount()), 1))
	own := min(a.part.recent(now), a.idleLocked()*shareMemory.Seconds())
	// The total has what was reported, the own part in it included.
	all := max(a.totalNow.recent(a.holder.presence.storeMs()), own)
	prior := shareRequests * a.request
	return (own + prior*equal) / (all + prior)
}

// recent is the decayed use of all holders at a later moment of the store's
// clock.
func (t totalRow) recent(storeMs int64) float64 {
	return t.Recent * fade(time.Duration(max(storeMs-t.RecentMs, 0))*time.Millisecond, shareMemory)
}
