package routerload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

// withdrawals plays routers of one failure domain that are all overloaded for two minutes. Notices
// arrive after up to delay, or never if it is negative. It calls check for each moment with the
// routers' withdrawals.
func withdrawals(routers int, delay time.Duration, seed uint64, check func(now time.Time, all []Withdrawal)) {
	random := rand.New(rand.NewPCG(seed, 0))
	ids, quotas, all := make([]bus.ID, routers), make([]*Quota, routers), make([]Withdrawal, routers)
	for i := range ids {
		ids[i] = bus.ID{VM: fmt.Sprintf("vm-%d", i), Incarnation: "1"}
		quotas[i] = NewQuota(ids[i], "zone-a")
	}
	arrivals := make(map[time.Time][]func(time.Time))
	for now := time.Unix(1000, 0); now.Before(time.Unix(1120, 0)); now = now.Add(sampleInterval) {
		for _, receive := range arrivals[now] {
			receive(now) // the time underway is not known
		}
		for i, w := range all {
			allowed, _ := quotas[i].Allows(now, w, Fleet{Listed: ids, DomainSize: routers})
			all[i] = w.Next(DefaultSettings(), now, Overloaded, allowed, random.Uint32())
			if all[i].Withdrawn == w.Withdrawn {
				continue
			}
			notice := Notice{Withdrawn: all[i].Withdrawn, Domain: "zone-a", Order: all[i].Order}
			quotas[i].Record(ids[i], notice, now)
			for to := range ids {
				if to != i && delay >= 0 {
					at := now.Add(sampleInterval * time.Duration(1+random.IntN(int(delay/sampleInterval)+1)))
					arrivals[at] = append(arrivals[at], func(now time.Time) { quotas[to].Record(ids[i], notice, now) })
				}
			}
		}
		check(now, all)
	}
}

// TestQuotaHoldsWithDelayedNotices guards against a domain of overloaded routers in which more
// than a quarter are out of rotation at the same time, which makes the load balancer use all of
// them, against a fleet that is withdrawn for more than an eighth of the time, and against a
// domain without a ready router.
func TestQuotaHoldsWithDelayedNotices(t *testing.T) {
	for _, routers := range []int{1, 2, 8, 20} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
			for seed := range uint64(3) {
				var total time.Duration
				var samples []time.Duration // time withdrawn, of all routers
				withdrawals(routers, delay, seed, func(now time.Time, all []Withdrawal) {
					settled, withdrawn := 0, time.Duration(0)
					for _, w := range all {
						if w.Withdrawn {
							withdrawn += sampleInterval
							if now.Sub(w.Since) > claimTime {
								settled++
							}
						}
					}
					quota := min(max(routers/4, 1), routers-1)
					assert.Assert(t, settled <= quota, "routers %d, delay %s, seed %d: %d withdrawn", routers, delay, seed, settled)
					samples, total = append(samples, withdrawn), total+withdrawn
					if n := len(samples) - int(fleetWindow/sampleInterval); n > 0 {
						total -= samples[n-1]
					}
					// Each withdrawal is known to the others too late by the time of its notice.
					bound := fleetWindow/8*time.Duration(routers) + claimTime*time.Duration(quota)
					assert.Assert(t, total <= bound, "routers %d, delay %s: %s in a minute", routers, delay, total)
				})
			}
		}
	}
}

// TestLostNoticesAreBoundByTime guards against a router without contact to others that stays
// withdrawn, or that is ready too briefly for the load balancer to use it.
func TestLostNoticesAreBoundByTime(t *testing.T) {
	last, changes := make([]Withdrawal, 8), 0
	withdrawals(8, -1, 1, func(now time.Time, all []Withdrawal) {
		for i, w := range all {
			assert.Assert(t, !w.Withdrawn || now.Sub(w.Since) <= maxWithdrawn)
			if last[i].Withdrawn == w.Withdrawn {
				continue
			}
			changes++
			lasted := now.Sub(last[i].Since)
			assert.Assert(t, lasted >= minReady && (w.Withdrawn || lasted >= minWithdrawn), "withdrawn %t after %s", w.Withdrawn, lasted)
		}
		copy(last, all)
	})
	assert.Assert(t, changes > 8)
}

// TestRepeatedWithdrawalLastsLonger guards against a router to which the crowd returns every few
// seconds, because its load is low while it is withdrawn.
func TestRepeatedWithdrawalLastsLonger(t *testing.T) {
	now, w := time.Unix(1000, 0), Withdrawal{}
	for _, hold := range []time.Duration{minWithdrawn, 2 * minWithdrawn, maxWithdrawn, maxWithdrawn} {
		w = w.Next(DefaultSettings(), now, Overloaded, true, 0)
		assert.Assert(t, w.Withdrawn && w.Next(DefaultSettings(), now.Add(hold-time.Millisecond), Normal, true, 0).Withdrawn)
		now = now.Add(hold)
		w = w.Next(DefaultSettings(), now, Normal, true, 0)
		assert.Assert(t, !w.Withdrawn, "after %s", hold)
		now = now.Add(minReady)
	}
	assert.Equal(t, w.Next(DefaultSettings(), now.Add(repeatWithin), Overloaded, true, 0).Hold, minWithdrawn)
}
