package prepaid_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// troubled disturbs a fleet at random: processes die and come back, some or all
// routers are cut off, answers are lost and commits come late, totals rise.
func troubled(s *site, lasting time.Duration) {
	start := time.Now()
	var ends sync.WaitGroup
	defer ends.Wait()
	later := func(d time.Duration, f func()) {
		ends.Go(func() {
			time.Sleep(d)
			f()
		})
	}
	for {
		time.Sleep(s.chance.pause(600 * time.Millisecond))
		if time.Since(start) > lasting {
			s.each(func(_ int, r *router) { r.link.cut.Store(false) })
			return
		}
		vm := int(s.chance.below(int64(len(s.routers))))
		switch s.chance.below(13) {
		case 9:
			s.retire(vm)
		case 10, 11, 12:
			s.ask()
		case 0:
			s.kill(vm, s.chance.between(100*time.Millisecond, 6*time.Second))
		case 1:
			down := s.chance.between(500*time.Millisecond, 3*time.Second)
			s.each(func(vm int, _ *router) { s.kill(vm, down) })
		case 2, 3:
			s.each(func(at int, r *router) {
				if at == vm {
					r.link.cut.Store(true)
					later(s.chance.between(200*time.Millisecond, 10*time.Second), func() { r.link.cut.Store(false) })
				}
			})
		case 4:
			s.cutAll(true)
			later(s.chance.between(time.Second, 12*time.Second), func() { s.cutAll(false) })
		case 5, 6, 7:
			share := s.chance.below(700)
			s.each(func(_ int, r *router) { r.link.lose.Store(share) })
			later(s.chance.between(500*time.Millisecond, 6*time.Second), func() {
				s.each(func(_ int, r *router) { r.link.lose.Store(0) })
			})
		case 8:
			s.mu.Lock()
			tokens := s.limits["coop-0"]
			s.mu.Unlock()
			s.setLimit("coop-0", tokens+tokens/10)
		}
	}
}

// TestRandomTroubles: no total is passed, whatever happens. Seeds that failed once
// stay in the list.
func TestRandomTroubles(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for range 12 {
		seeds = append(seeds, seed())
	}
	for _, n := range seeds {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			lasting := 25 * time.Second
			load := []callers{{workspace: "coop-0", perSecond: 12}, {workspace: "coop-1", perSecond: 3}, {workspace: "coop-2", perSecond: 25}}
			p := play{seed: n, routers: 4, lasting: lasting, load: load, total: 0.35, script: func(s *site) { troubled(s, lasting) }}
			t.Log(p.run(t))
		})
	}
}
