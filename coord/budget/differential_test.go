package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// router is a holder under test, ours or a naive one, with its own view of
// the platform.
type router struct {
	Holder
	view *memory.View
	// crash ends the router without a planned stop.
	crash func()
}

// scene is a fleet under a scenario.
type scene struct {
	*fleet
	routers []*router
	replace func() *router
	// charged reads what the table says was spent, in tokens.
	charged func() int64
	ours    bool
}

// try serves a request at a router and, as a caller does, tries again at the
// next ones with the same key while it is refused or broken.
func (s *scene) try(i int, req Request, used int64, takes time.Duration) error {
	var err error
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		err = s.serveFor(ctx, s.router(i).Holder, req, used, takes)
		cancel()
		if err == nil || errors.Is(err, ErrExhausted) {
			return err
		}
		i++
	}
	return err
}

// burst sends n requests of tokens each, all at once, over the routers.
func (s *scene) burst(name string, n int, tokens int64, takes time.Duration) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { _ = s.try(i, request(fmt.Sprint(name, "/", i), tokens), tokens, takes) })
	}
	all.Wait()
}

// router returns the i-th router, counted around.
func (s *scene) router(i int) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[i%len(s.routers)]
}

func (s *scene) add(r *router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = append(s.routers, r)
}

const scenePaid = 10_000

func ourScene() *scene {
	f := newFleet(3, scenePaid)
	s := &scene{fleet: f, ours: true}
	wrap := func(n *node) *router {
		r := &router{Holder: n, view: n.view, crash: func() { f.kill(n) }}
		s.add(r)
		return r
	}
	for _, n := range f.nodes {
		wrap(n)
	}
	s.replace = func() *router { return wrap(f.start()) }
	s.charged = func() int64 { return must(f.ledger.Balance(context.Background(), testAccount)).Settled }
	return s
}

func naiveScene(make func(naiveTable, string) Holder) *scene {
	f := newFleet(0, 0)
	f.store = memory.NewStore(clock.Real{})
	s := &scene{fleet: f}
	root := naiveTable{f.store.View()}
	if err := root.update(context.Background(), func(r *naiveRow) error { r.Paid = scenePaid; return nil }); err != nil {
		panic(err)
	}
	s.replace = func() *router {
		view := f.store.View()
		r := &router{Holder: make(naiveTable{view}, fmt.Sprint("router-", len(s.routers))), view: view}
		r.crash = func() { _ = r.Close(context.Background()) }
		s.add(r)
		return r
	}
	for range 3 {
		s.replace()
	}
	s.charged = func() int64 { return must(root.read(context.Background())).Spent }
	return s
}

func newNaiveMemory(t naiveTable, _ string) Holder {
	return &naiveMemory{naiveCounter: naiveCounter{naiveTable: t}}
}
func newNaiveCounter(t naiveTable, _ string) Holder  { return &naiveCounter{naiveTable: t} }
func newNaiveTimed(t naiveTable, name string) Holder { return &naiveTimed{naiveTable: t, name: name} }
func (s *scene) setAll(faults memory.Faults) {
	for _, r := range s.routers {
		r.view.SetFaults(faults)
	}
}
func (s *scene) serveUnique(i int, key string, n int64) error {
	return s.try(i, request(key, n), n, 0)
}

// scenarios are failure schedules; each breaks a promise of its naive version.
var scenarios = []struct {
	name  string
	naive func(naiveTable, string) Holder
	play  func(*scene)
}{
	{"requests at the same moment", newNaiveCounter, func(s *scene) {
		s.burst("a", 300, 100, time.Second)
	}},
	{"cut for 30 minutes while callers go on", newNaiveCounter, func(s *scene) {
		s.burst("warm", 3, 100, 0)
		s.setAll(memory.Faults{Outage: true})
		for i := range 30 {
			s.burst(fmt.Sprint("cut", i), 20, 100, time.Second)
			pause(time.Minute)
		}
		s.setAll(memory.Faults{})
		pause(time.Minute)
	}},
	{"cut heals while requests are open, and a second cut overlaps", newNaiveCounter, func(s *scene) {
		s.burst("warm", 3, 100, 0)
		s.setAll(memory.Faults{Outage: true})
		go s.burst("open", 120, 100, 20*time.Second)
		pause(10 * time.Second)
		s.routers[0].view.SetFaults(memory.Faults{})
		s.routers[1].view.SetFaults(memory.Faults{Delay: 2 * time.Second})
		pause(5 * time.Second)
		s.setAll(memory.Faults{})
		s.burst("late", 120, 100, 0)
		pause(time.Minute)
	}},
	{"reply lost after the bill took effect", newNaiveCounter, func(s *scene) {
		for i := range 20 {
			s.setAll(memory.Faults{LoseReplies: 1})
			_ = s.serveUnique(i, fmt.Sprint(i), 100)
		}
		pause(time.Minute)
	}},
	{"holder paused past any bound and awake with requests queued", newNaiveTimed, func(s *scene) {
		_ = s.serveUnique(0, "warm", 100)
		s.routers[0].view.SetFaults(memory.Faults{Outage: true})
		pause(time.Hour)
		for i := range 200 {
			_ = s.serveUnique(1+i%2, fmt.Sprint("others", i), 100)
		}
		ctx := context.Background()
		for i := range 10 {
			_ = s.serveFor(ctx, s.routers[0].Holder, request(fmt.Sprint("queued", i), 100), 100, 0)
		}
		s.setAll(memory.Faults{})
		pause(time.Minute)
	}},
	{"killed with streams open, callers try again elsewhere", newNaiveCounter, func(s *scene) {
		keyed := func(i int) Request {
			r := request(fmt.Sprint("key", i), 100)
			r.Unique = false
			return r
		}
		for i := range 20 { // the bill is written, the last piece is lost
			_ = s.serveFor(context.Background(), s.routers[0].Holder, keyed(i), 100, 0)
		}
		s.routers[0].crash()
		for i := range 20 {
			_ = s.try(1, keyed(i), 100, 0)
		}
		pause(time.Minute)
	}},
	{"two routers given one key at the same moment", newNaiveCounter, func(s *scene) {
		keyed := request("one", 100)
		keyed.Unique = false
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() { _ = s.serveFor(context.Background(), s.router(i).Holder, keyed, 100, time.Second) })
		}
		both.Wait()
		pause(time.Second)
	}},
	{"store takes 2 s a call for 10 minutes", newNaiveCounter, func(s *scene) {
		s.setAll(memory.Faults{Delay: 2 * time.Second})
		for i := range 20 {
			go s.burst(fmt.Sprint("slow", i), 15, 100, 10*time.Second)
			pause(30 * time.Second)
		}
		s.setAll(memory.Faults{})
		pause(time.Minute)
	}},
	{"outage and kill together", newNaiveMemory, func(s *scene) {
		s.burst("warm", 9, 100, 0)
		s.setAll(memory.Faults{Outage: true})
		s.burst("away", 3, 100, time.Second)
		s.routers[0].crash()
		pause(10 * time.Minute)
		s.setAll(memory.Faults{})
		pause(time.Minute)
	}},
	{"all routers replaced within a minute with requests open", newNaiveCounter, func(s *scene) {
		for i := range 3 {
			for k := range 5 {
				req := request(fmt.Sprint("key", i, k), 100)
				req.Unique = false
				go func() {
					_ = s.serveFor(context.Background(), s.router(i).Holder, req, 100, 5*time.Second)
					_ = s.try(i+1, req, 100, time.Second)
				}()
			}
			pause(10 * time.Second)
			s.replace()
			s.routers[i].crash()
			pause(10 * time.Second)
		}
		pause(time.Minute)
	}},
}

// violations says which promises a scene broke.
func (s *scene) violations() []string {
	var broken []string
	served := s.servedTotal() - s.replayed()
	if served > scenePaid {
		broken = append(broken, fmt.Sprintf("served %d of %d paid", served, scenePaid))
	}
	s.mu.Lock()
	var owed int64
	for key := range s.answered {
		owed += s.served[key] / int64(s.settles[key])
	}
	s.mu.Unlock()
	if charged := s.charged(); charged != owed {
		broken = append(broken, fmt.Sprintf("charged %d tokens for %d answered", charged, owed))
	}
	return broken
}

// TestDifferential plays each schedule against the naive version, which
// breaks a promise, and against ours, which keeps all.
func TestDifferential(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				naive := naiveScene(c.naive)
				c.play(naive)
				broken := naive.violations()
				t.Logf("naive: %v", broken)
				assert.Assert(t, len(broken) > 0, "the naive version kept its promises")
			})
			inBubble(t, func(t *testing.T) {
				ours := ourScene()
				defer ours.stop()
				c.play(ours)
				assert.NilError(t, ours.check())
				assert.NilError(t, ours.checkBills())
				assert.DeepEqual(t, ours.violations(), []string(nil))
			})
		})
	}
}
