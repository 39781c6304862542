package prepaid

import (
	"math"
	"time"
)

// plan is the state that a grant should be brought to, in tokens.
type plan struct {
	granted   int64
	activated int64
	// firstWaiter is the size of the first waiter, or 0 if none waits.
	firstWaiter int64
	// due is set if the row must be written even if no tokens can be drawn.
	due bool
}

// equalShareRequests is the weight, in requests, of the initial assumption that all
// holders have equal shares of the use.
const equalShareRequests = 4

// activateLowWater is the fraction of the target for activated, unused tokens below
// which more are activated.
const activateLowWater = 0.5

// activateSurplus is the multiple of that target, in addition to the mean size of a
// request, above which tokens are deactivated.
const activateSurplus = 1.5

const (
	// activateRequests is the number of requests for which tokens are activated
	// beyond the use of Settings.ActivateAhead, since requests come in bursts.
	// maxActivateShare bounds the activated, unused tokens by a share of the
	// headroom, since they are lost when the holder dies.
	activateRequests = 0.5
	maxActivateShare = 0.6
)

// headroomRequests is the number of requests that a grant covers beyond the use of
// Settings.Horizon, since the first requests of a workspace may come while the
// store is unreachable.
const headroomRequests = 6

// planLocked returns the plan of the write that is due, or nil if none is.
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
	// Activated tokens that are not needed would be lost if the holder died.
	activationSurplus := float64(a.activated-inUse) > activateSurplus*float64(activateAhead)+a.meanRequest && len(a.waiters) == 0
	activationDue = activationDue || activationSurplus
	// A successful write supersedes the pending ones, whose outcome is unknown.
	p.due = a.canReclaimLocked() || a.reclaimsLostLocked() || a.renewReplicas || a.restoresGrantLocked() || a.confirmsTotalLocked() || a.reportUse && a.storedGrant.Version != 0 && a.storedInUse != inUse || activationDue || len(a.waiters) > 0 || len(a.pendingWrites) > 0
	unused := a.granted - needed
	s := a.holder.options.Settings
	// Less than the mean size of a request is neither drawn nor returned, except that
	// everything is returned while other holders need all headroom.
	belowLowWater := float64(unused) < s.LowWaterMark*float64(headroom) && float64(headroom-unused) >= a.meanRequest && !a.delaysFirstDrawLocked()
	keepsNoHeadroom := a.scarceLocked() && a.scarceReturnAll
	hasSurplus := float64(unused) > a.surplusFactorLocked()*float64(headroom) && (float64(unused-headroom) >= a.meanRequest || keepsNoHeadroom)
	switch {
	case len(a.waiters) > 0:
		p.firstWaiter = a.waiters[0].tokens
		if unused >= activateAhead && !belowLowWater {
			p.granted = a.granted // activating more tokens is enough
		}
		p.granted = max(p.granted, a.granted) // returning tokens would delay the waiter
	case belowLowWater:
		p.granted = max(p.granted, a.granted)
	case hasSurplus: // p.granted is below a.granted
	case p.due:
		p.granted = a.granted
	default:
		return nil
	}
	return p
}

// canReclaimLocked reports whether there are orphaned grants of predecessors and it
// is known how much of them may have been spent.
func (a *account) canReclaimLocked() bool {
	return len(a.orphanedGrants) > 0 && a.holder.heartbeat.predecessorsKnown.Load() && !a.unconfirmedLocked() && a.orphansBoundedLocked()
}

// firstDrawSpread is the time, per holder, over which first draws ahead of need are
// spread. It is the duration of ten transactions in one partition.
const firstDrawSpread = 50 * time.Millisecond

// delaysFirstDrawLocked reports whether the first draw ahead of need is delayed, so
// that holders that started at the same time do not draw together.
func (a *account) delaysFirstDrawLocked() bool {
	delay := time.Duration(a.firstDrawFraction * float64(firstDrawSpread) * float64(a.holder.holderCount(a.workspace)))
	return a.storedGrant.Version == 0 && a.now().Sub(a.createdAt) < delay
}

// scarceLocked reports whether tokens count as scarce: within Settings.ScarceFor,
// this or another holder requested a recall.
func (a *account) scarceLocked() bool { return a.now().Before(a.scarceUntil) }

// surplusFactorLocked returns the multiple of the headroom above which unused
// tokens are returned.
func (a *account) surplusFactorLocked() float64 {
	if a.scarceLocked() {
		return 1
	}
	return a.holder.options.Settings.Surplus
}

// targetsLocked returns the tokens that should be activated ahead of use, and the
// headroom that the grant should have.
func (a *account) targetsLocked() (activateAhead, headroom int64) {
	if !a.totalRead || a.scarceLocked() && a.scarceReturnAll {
		return 0, 0 // the total is not read yet, or other holders need the tokens
	}
	s := a.holder.options.Settings
	share := s.HeadroomShare
	if a.scarceLocked() {
		share = s.ScarceShare
	}
	usage := min(a.usage.perSecond(a.now()), a.maxLikelyUsageLocked())
	unspent := max(a.lastLimit-a.total.Spent-(a.inUseLocked()-a.reportedSpent), 0)
	shareOfUnspent := share * float64(unspent) * a.usageShareLocked()
	if !a.holder.isLender(a.workspace) {
		return 0, 0 // a fallback draws what its waiters need
	}
	headroom = int64(math.Min(usage*s.Horizon.Seconds()+headroomRequests*a.meanRequest, shareOfUnspent))
	activateAhead = min(int64(usage*s.ActivateAhead.Seconds()+activateRequests*a.meanRequest), int64(maxActivateShare*float64(headroom)),
		int64(s.ActivateShare*float64(a.lastLimit)*a.usageShareLocked()))
	return activateAhead, headroom
}

// maxLikelyUsageLocked returns the greatest use, in tokens per second, that is
// plausible given the time since the last request: callers may have moved to other
// holders.
func (a *account) maxLikelyUsageLocked() float64 {
	return idleMeanRequests * a.meanRequest / max(a.now().Sub(a.lastReserve), time.Millisecond).Seconds()
}

// idleMeanRequests is the mean number of requests in an interval that contains at
// least one request with a probability of 95%.
const idleMeanRequests = 3

// usageShareLocked returns this holder's share of the workspace's recent use.
// Holders start with equal shares, which have the weight of equalShareRequests
// requests.
func (a *account) usageShareLocked() float64 {
	now := a.now()
	equalShare := 1 / float64(max(a.total.OpenGrants, int64(a.holder.holderCount(a.workspace)), 1))
	localUsage := min(a.shareUsage.decayedSum(now), a.maxLikelyUsageLocked()*shareTimeConstant.Seconds())
	// The total includes what this holder has reported.
	totalUsage := max(a.total.recentSpentAt(a.holder.heartbeat.storeMs()), localUsage)
	priorWeight := equalShareRequests * a.meanRequest
	return (localUsage + priorWeight*equalShare) / (totalUsage + priorWeight)
}

// recentSpentAt returns the decayed use of all holders at a later time of the
// store's clock, in milliseconds.
func (t totalRow) recentSpentAt(storeMs int64) float64 {
	return t.RecentSpent * decayFactor(time.Duration(max(storeMs-t.RecentAsOfMs, 0))*time.Millisecond, shareTimeConstant)
}
