package prepaid_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Numbers of some faults of injectRandomFaults.
const (
	faultKill        = 0
	faultKillAll     = 1
	faultPartition   = 2
	faultStop        = 9
	faultCutPeers    = 13
	faultCutAllPeers = 14
	faultLose        = 15
)

// injectRandomFaults injects random faults into a fleet: processes die and restart,
// some or all routers are partitioned from the store or from each other, responses are lost, commits
// are applied late, and limits rise.
func injectRandomFaults(s *simulation, duration time.Duration) {
	start := time.Now()
	var pending sync.WaitGroup
	defer pending.Wait()
	later := func(d time.Duration, f func()) {
		pending.Go(func() {
			time.Sleep(d)
			f()
		})
	}
	for {
		time.Sleep(s.random.exponential(600 * time.Millisecond))
		if time.Since(start) > duration {
			s.forEachRouter(func(_ int, r *router) { r.link.partitioned.Store(false) })
			return
		}
		vm := int(s.random.int64n(int64(len(s.routers))))
		fault := s.random.int64n(15 + s.lossWeight)
		if s.sparesWitnesses.Load() && s.losesWitnesses(vm, fault) {
			continue
		}
		switch fault {
		case faultLose, faultLose + 1:
			s.lose(vm, s.random.durationBetween(time.Second, 6*time.Second))
		case faultLose + 2: // two routers are cut off from everything but each other
			s.forEachRouter(func(candidate int, r *router) {
				if candidate == vm || candidate == (vm+1)%len(s.routers) {
					r.link.partitioned.Store(true)
					r.peers.island.Store(1)
					duration := s.random.durationBetween(time.Second, 15*time.Second)
					later(duration, func() { r.peers.island.Store(0) })
					later(duration+s.random.durationBetween(0, time.Second), func() { r.link.partitioned.Store(false) })
				}
			})
		case faultLose + 3: // one router is cut off from everything, long enough to count as lost
			s.forEachRouter(func(candidate int, r *router) {
				if candidate == vm {
					r.link.partitioned.Store(true)
					r.peers.cut.Store(true)
					later(s.random.durationBetween(time.Second, 15*time.Second), func() { r.peers.endCut() })
					later(s.random.durationBetween(time.Second, 15*time.Second), func() { r.link.partitioned.Store(false) })
				}
			})
		case faultCutPeers: // one router loses its peers
			s.forEachRouter(func(candidate int, r *router) {
				if candidate == vm {
					r.peers.cut.Store(true)
					later(s.random.durationBetween(200*time.Millisecond, 8*time.Second), func() { r.peers.endCut() })
				}
			})
		case faultCutAllPeers: // all routers lose each other
			s.forEachRouter(func(_ int, r *router) { r.peers.cut.Store(true) })
			later(s.random.durationBetween(200*time.Millisecond, 4*time.Second), func() {
				s.forEachRouter(func(_ int, r *router) { r.peers.endCut() })
			})
		case faultStop:
			s.stopGracefully(vm)
		case 10, 11, 12:
			s.sendRecall()
		case faultKill:
			s.kill(vm, s.random.durationBetween(100*time.Millisecond, 6*time.Second))
		case faultKillAll:
			downtime := s.random.durationBetween(500*time.Millisecond, 3*time.Second)
			s.forEachRouter(func(vm int, _ *router) { s.kill(vm, downtime) })
		case faultPartition, faultPartition + 1:
			s.forEachRouter(func(candidate int, r *router) {
				if candidate == vm {
					r.link.partitioned.Store(true)
					later(s.random.durationBetween(200*time.Millisecond, 10*time.Second), func() { r.link.partitioned.Store(false) })
				}
			})
		case 4:
			s.partitionAll(true)
			later(s.random.durationBetween(time.Second, 12*time.Second), func() { s.partitionAll(false) })
		case 5, 6, 7:
			share := s.random.int64n(700)
			s.forEachRouter(func(_ int, r *router) { r.link.lossPerMille.Store(share) })
			later(s.random.durationBetween(500*time.Millisecond, 6*time.Second), func() {
				s.forEachRouter(func(_ int, r *router) { r.link.lossPerMille.Store(0) })
			})
		case 8:
			s.mu.Lock()
			tokens := s.limits["coop-0"]
			s.mu.Unlock()
			s.setLimit("coop-0", tokens+tokens/10)
		}
	}
}

// TestRandomFaultsStayWithinLimit: no total is exceeded under random faults. Fixed
// seeds that once failed stay in the list.
func TestRandomFaultsStayWithinLimit(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for range 12 {
		seeds = append(seeds, randomSeed())
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			duration := 25 * time.Second
			load := []workload{{workspace: "coop-0", requestsPerSecond: 12}, {workspace: "coop-1", requestsPerSecond: 3}, {workspace: "coop-2", requestsPerSecond: 25}}
			sc := scenario{seed: seed, routers: 4, duration: duration, load: load, limitFactor: 0.35, disturb: func(s *simulation) { injectRandomFaults(s, duration) }}
			t.Log(sc.run(t))
		})
	}
}
