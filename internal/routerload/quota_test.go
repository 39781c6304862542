package routerload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

// delayedNotice is a notice on its way to a router.
type delayedNotice struct {
	to, origin int
	arrives    time.Time
	notice     Notice
}

// withdrawals plays routers of one failure domain that are all overloaded all the time. Notices
// arrive after up to delay, or never if it is negative. It calls check for each moment with the
// routers' withdrawals.
func withdrawals(routers int, delay time.Duration, seed uint64, check func(now time.Time, all []Withdrawal)) {
	random := rand.New(rand.NewPCG(seed, 0))
	ids := make([]bus.ID, routers)
	quotas := make([]*Quota, routers)
	for i := range ids {
		ids[i] = bus.ID{VM: fmt.Sprintf("vm-%d", i), Incarnation: "1"}
		quotas[i] = NewQuota(ids[i], "zone-a")
	}
	all := make([]Withdrawal, routers)
	var underway []delayedNotice
	for now := time.Unix(1000, 0); now.Before(time.Unix(1120, 0)); now = now.Add(sampleInterval) {
		kept := underway[:0]
		for _, n := range underway {
			if n.arrives.After(now) {
				kept = append(kept, n)
				continue
			}
			quotas[n.to].Record(ids[n.origin], n.notice, now) // the time underway is not known
		}
		underway = kept
		for i, w := range all {
			allowed, _ := quotas[i].Allows(now, w, Fleet{Listed: ids, DomainSize: routers})
			next := w.Next(now, Overloaded, allowed, random.Uint32())
			all[i] = next
			if next.Withdrawn == w.Withdrawn {
				continue
			}
			notice := Notice{Withdrawn: next.Withdrawn, Domain: "zone-a", Order: next.Order}
			quotas[i].Record(ids[i], notice, now)
			for to := range ids {
				if to != i && delay >= 0 {
					underway = append(underway, delayedNotice{to, i, now.Add(time.Duration(random.Int64N(int64(delay) + 1))), notice})
				}
			}
		}
		check(now, all)
	}
}

// TestQuotaHoldsWithDelayedNotices guards against a domain of overloaded routers in which more
// than a quarter are out of rotation at the same time, which makes the load balancer use all of
// them, and against a fleet that is withdrawn for more than an eighth of the time.
func TestQuotaHoldsWithDelayedNotices(t *testing.T) {
	for _, routers := range []int{2, 8, 24} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, 350 * time.Millisecond} {
			for seed := range uint64(3) {
				total, window := time.Duration(0), []time.Duration{}
				withdrawals(routers, delay, seed, func(now time.Time, all []Withdrawal) {
					settled, withdrawn := 0, 0
					for _, w := range all {
						if w.Withdrawn {
							withdrawn++
							if now.Sub(w.Since) > claimTime {
								settled++
							}
						}
					}
					assert.Assert(t, settled <= max(routers/4, 1), "routers %d, delay %s, seed %d: %d withdrawn at %s", routers, delay, seed, settled, now)
					window = append(window, time.Duration(withdrawn)*sampleInterval)
					total += window[len(window)-1]
					if n := len(window) - int(fleetWindow/sampleInterval); n > 0 {
						total -= window[n-1]
						// A withdrawal that is permitted at the bound lasts up to maxWithdrawn.
						bound := fleetWindow/8*time.Duration(routers) + maxWithdrawn*time.Duration(max(routers/4, 1))
						assert.Assert(t, total <= bound, "routers %d, delay %s: %s in a minute", routers, delay, total)
					}
				})
			}
		}
	}
}

// TestLostNoticesAreBoundByTime guards against a router without contact to others that stays
// withdrawn, or that is ready too briefly for the load balancer to use it.
func TestLostNoticesAreBoundByTime(t *testing.T) {
	var last []Withdrawal
	withdrawn := 0
	withdrawals(8, -1, 1, func(now time.Time, all []Withdrawal) {
		for i, w := range all {
			if w.Withdrawn {
				withdrawn++
				assert.Assert(t, now.Sub(w.Since) <= maxWithdrawn)
			}
			if last == nil || last[i].Withdrawn == w.Withdrawn {
				continue
			}
			lasted := now.Sub(last[i].Since)
			if w.Withdrawn {
				assert.Assert(t, last[i].Since.IsZero() || lasted >= minReady, "ready for %s", lasted)
			} else {
				assert.Assert(t, lasted >= minWithdrawn, "withdrawn for %s", lasted)
			}
		}
		last = append([]Withdrawal(nil), all...)
	})
	assert.Assert(t, withdrawn > 0)
}

// TestOnlyRouterOfDomainStaysReady guards against a domain without a ready router.
func TestOnlyRouterOfDomainStaysReady(t *testing.T) {
	withdrawals(1, 0, 1, func(_ time.Time, all []Withdrawal) { assert.Assert(t, !all[0].Withdrawn) })
}

// TestRepeatedWithdrawalLastsLonger guards against a router to which the crowd returns every few
// seconds, because its load is low while it is withdrawn.
func TestRepeatedWithdrawalLastsLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	var w Withdrawal
	for _, hold := range []time.Duration{minWithdrawn, 2 * minWithdrawn, 4 * minWithdrawn, maxWithdrawn} {
		w = w.Next(now, Overloaded, true, 0)
		assert.Assert(t, w.Withdrawn)
		assert.Assert(t, w.Next(now.Add(hold-time.Millisecond), Normal, true, 0).Withdrawn)
		now = now.Add(hold)
		w = w.Next(now, Normal, true, 0)
		assert.Assert(t, !w.Withdrawn, "after %s", hold)
		now = now.Add(minReady)
	}
	now = now.Add(repeatWithin)
	assert.Equal(t, w.Next(now, Overloaded, true, 0).Hold, minWithdrawn)
}
