package prepaid_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLostMajorityReturnsUnspentTokens guards against tokens that stay with routers that were lost together with most of
// the fleet, while others of it live on.
func TestLostMajorityReturnsUnspentTokens(t *testing.T) {
	for _, fleet := range []struct{ routers, survivors int }{{3, 1}, {4, 1}, {6, 1}, {6, 2}} {
		for _, seed := range fixedSeeds[:3] {
			t.Run(fmt.Sprintf("%d of %d survive, seed %d", fleet.survivors, fleet.routers, seed), func(t *testing.T) {
				t.Parallel()
				var lost, limit int64
				res := playLoss(t, seed, fleet.routers, func(s *simulation) {
					time.Sleep(12 * time.Second)
					s.mu.Lock()
					limit = s.limits["coop-0"]
					before := append([]*router(nil), s.routers...)[fleet.survivors:]
					s.mu.Unlock()
					s.forEachRouter(func(vm int, _ *router) {
						if vm >= fleet.survivors {
							s.lose(vm, 200*time.Millisecond)
						}
					})
					time.Sleep(12 * time.Second)
					lost = s.lostOf("coop-0", before)
				})
				t.Logf("%d of %d are lost; %s", lost, limit, res)
				assert.Assert(t, float64(lost) <= 0.03*float64(limit), "%d of %d are lost", lost, limit)
			})
		}
	}
}

// TestSplitFleetsStayWithinLimit guards against a reclaim from routers that are cut off together and use their grants, by
// routers of their fleet that live on beside lost ones.
func TestSplitFleetsStayWithinLimit(t *testing.T) {
	for _, seed := range append(randomSeeds()[:6], fixedSeeds[:6]...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Log(scenario{
				seed: seed, routers: 3 + int(seed%4), duration: 40 * time.Second, limitFactor: 0.8, freezes: true,
				load:    []workload{{workspace: "coop-0", requestsPerSecond: 12}, {workspace: "coop-1", requestsPerSecond: 3}},
				disturb: func(s *simulation) { s.split() },
			}.run(t))
		})
	}
}

// split loses some routers, cuts some off together, and has the others go on, of which one may restart. The store may be away
// and single routers may freeze meanwhile.
func (s *simulation) split() {
	var running sync.WaitGroup
	defer running.Wait()
	later := func(f func()) {
		delay := s.random.durationBetween(0, 9*time.Second)
		running.Go(func() {
			time.Sleep(delay)
			f()
		})
	}
	time.Sleep(6 * time.Second)
	outage := s.random.int64n(2) == 0
	if outage {
		later(func() {
			s.storeAway.Store(true)
			time.Sleep(s.random.durationBetween(time.Second, 8*time.Second))
			s.storeAway.Store(false)
		})
	}
	var cutOff []*router
	restarted := false
	s.forEachRouter(func(vm int, r *router) {
		switch fate := s.random.int64n(4); {
		case vm == 0: // lives on in touch
		case fate == 0:
			s.lose(vm, s.random.durationBetween(100*time.Millisecond, 3*time.Second))
		case fate < 3:
			r.link.partitioned.Store(true)
			r.peers.island.Store(1)
			cutOff = append(cutOff, r)
			if s.random.int64n(4) == 0 {
				later(func() { r.link.freezer.freeze(s.random.durationBetween(time.Second, 12*time.Second)) })
			}
		case !restarted:
			restarted = true
			later(func() { s.kill(vm, 1500*time.Millisecond) })
		}
	})
	s.useAll(cutOff, "coop-0", 16*time.Second)
	for _, r := range cutOff {
		r.peers.island.Store(0)
		r.link.partitioned.Store(false)
	}
	s.useAll(cutOff, "coop-0", 4*time.Second)
}
