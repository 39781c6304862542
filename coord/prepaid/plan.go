package prepaid

import (
	"math"
	"time"
)

// plan is what a grant should become, in tokens.
type plan struct {
	granted   int64
	activated int64
	// first is the size of the first waiter, or 0.
	firstWaiter int64
	// due says that the write is due even if nothing can be drawn.
	due bool
}

// shareRequests is the number of requests that outweigh the assumption that all
// holders have equal parts of the use.
const equalShareRequests = 4

// clearLowWater is the share of the cleared stock below which more is cleared.
const activateLowWater = 0.5

// aheadRequests is the number of requests that are cleared beside the use of
// ClearAhead, since requests come in groups; aheadShare bounds what
// is cleared by a share of the stock, since it is lost when the holder dies.
const (
	activateRequests = 0.5
	maxActivateShare = 0.6
)

// stockRequests is the number of requests that a grant covers beside the use of
// the horizon: the first requests of a workspace may come when the store is
// away.
const headroomRequests = 6

// planLocked returns the write that is due, or nil.
func (a *account) planLocked() *plan {
	inUse := a.inUseLocked()
	if a.returnAll {
		return &plan{granted: inUse, activated: inUse, due: true}
	}
	if a.holder.closing.Load() {
		return nil
	}
	activateAhead, headroom := a.targetsLocked()
	needed := inUse
	for _, w := range a.waiters {
		needed += w.tokens
	}
	p := &plan{granted: needed + max(activateAhead, headroom), activated: needed + activateAhead}
	activationDue := inUse > a.activated || float64(a.activated-inUse) < activateLowWater*float64(activateAhead) && a.activated < a.granted
	// A write that succeeds ends those whose outcome is not known.
	p.due = a.canReclaimLocked() || activationDue || len(a.waiters) > 0 || len(a.pendingWrites) > 0
	unused := a.granted - needed
	s := a.holder.options.Settings
	belowLowWater := float64(unused) < s.LowWater*float64(headroom) && float64(headroom-unused) >= a.meanRequest && !a.delaysFirstDrawLocked()
	returnAll := a.scarceLocked() && a.scarceReturnAll
	hasSurplus := float64(unused) > a.surplusFactorLocked()*float64(headroom) && (float64(unused-headroom) >= a.meanRequest || returnAll)
	switch {
	case len(a.waiters) > 0:
		p.firstWaiter = a.waiters[0].tokens
		if unused >= activateAhead && !belowLowWater {
			p.granted = a.granted // clearing is enough
		}
		p.granted = max(p.granted, a.granted) // a return would delay the waiter
	case belowLowWater:
		p.granted = max(p.granted, a.granted)
	case hasSurplus:
	case p.due:
		p.granted = a.granted
	default:
		return nil
	}
	return p
}

// leftKnown reports whether grants of predecessors can be taken up.
func (a *account) canReclaimLocked() bool {
	return len(a.orphanedGrants) > 0 && a.holder.heartbeat.predecessorsKnown.Load()
}

// firstDrawSpread is the time, a holder, over which first draws ahead of need are
// spread: ten transactions of one partition.
const firstDrawSpread = 50 * time.Millisecond

// earlyLocked reports whether the first draw ahead of need has to wait for those
// of other holders that started at the same time.
func (a *account) delaysFirstDrawLocked() bool {
	delay := time.Duration(a.firstDrawFraction * float64(firstDrawSpread) * float64(a.holder.HolderCount()))
	return a.storedGrant.Version == 0 && a.now().Sub(a.createdAt) < delay
}

// scarceLocked reports whether a holder is short of tokens.
func (a *account) scarceLocked() bool { return a.now().Before(a.scarceUntil) }

// surplusLocked is the factor over the stock above which tokens go back.
func (a *account) surplusFactorLocked() float64 {
	if a.scarceLocked() {
		return 1
	}
	return a.holder.options.Settings.Surplus
}

// stocksLocked returns what should be cleared ahead of use, and the stock that
// the grant should have.
func (a *account) targetsLocked() (activateAhead, headroom int64) {
	if !a.totalRead || a.scarceLocked() && a.scarceReturnAll {
		return 0, 0 // how much is left is not known yet, or others need it
	}
	s := a.holder.options.Settings
	share := s.HeadroomShare
	if a.scarceLocked() {
		share = s.ScarceShare
	}
	usage := min(a.usage.perSecond(a.now()), a.maxLikelyUsageLocked())
	unspent := max(a.lastLimit-a.total.Spent-(a.inUseLocked()-a.reportedSpent), 0)
	shareOfUnspent := share * float64(unspent) * a.usageShareLocked()
	headroom = int64(math.Min(usage*s.Horizon.Seconds()+headroomRequests*a.meanRequest, shareOfUnspent))
	activateAhead = min(int64(usage*s.ActivateAhead.Seconds()+activateRequests*a.meanRequest), int64(maxActivateShare*float64(headroom)),
		int64(s.ActivateShare*float64(a.lastLimit)*a.usageShareLocked()))
	return activateAhead, headroom
}

// idleLocked is the greatest use, in tokens a second, that the time since the last
// request makes likely: callers may have gone to other holders.
func (a *account) maxLikelyUsageLocked() float64 {
	return idleMeanRequests * a.meanRequest / max(a.now().Sub(a.lastReserve), time.Millisecond).Seconds()
}

// idleRequests is the mean number of requests in a time in which, with 95 in 100,
// at least one comes.
const idleMeanRequests = 3

// shareLocked is this holder's part of the workspace's recent use. Holders start
// with equal parts, which weigh like shareRequests requests.
func (a *account) usageShareLocked() float64 {
	now := a.now()
	equalShare := 1 / float64(max(a.total.OpenGrants, int64(a.holder.HolderCount()), 1))
	localUsage := min(a.shareUsage.decayedSum(now), a.maxLikelyUsageLocked()*shareTimeConstant.Seconds())
	// The total has what was reported, the own part in it included.
	totalUsage := max(a.total.recentSpentAt(a.holder.heartbeat.storeMs()), localUsage)
	priorWeight := equalShareRequests * a.meanRequest
	return (localUsage + priorWeight*equalShare) / (totalUsage + priorWeight)
}

// recent is the decayed use of all holders at a later moment of the store's
// clock.
func (t totalRow) recentSpentAt(storeMs int64) float64 {
	return t.RecentSpent * decayFactor(time.Duration(max(storeMs-t.RecentAsOfMs, 0))*time.Millisecond, shareTimeConstant)
}
