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

// testRouter is a holder under test, a LocalHolder or a naive one, with its
// own client of the platform.
type testRouter struct {
	Holder
	client *memory.Client
	// crash stops the router without returning tokens or writing bills.
	crash func()
}

// testbed is a fleet of routers on which a scenario runs.
type testbed struct {
	*fleet
	routers []*testRouter
	// startRouter starts one more router and adds it.
	startRouter func() *testRouter
	// chargedTokens returns the tokens charged according to the table.
	chargedTokens func() int64
	usesHolders   bool
}

// serveWithRetries serves a request at the i-th router. Like a caller, it
// retries at the next routers with the same key, up to three attempts, unless
// the request succeeds or the budget is exhausted.
func (s *testbed) serveWithRetries(i int, req Request, used int64, duration time.Duration) error {
	var err error
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		err = s.serveFor(ctx, s.router(i).Holder, req, used, duration)
		cancel()
		if err == nil || errors.Is(err, ErrExhausted) {
			return err
		}
		i++
	}
	return err
}

// burst serves n concurrent requests of tokens each, spread over the routers,
// and waits for them.
func (s *testbed) burst(name string, n int, tokens int64, duration time.Duration) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { _ = s.serveWithRetries(i, request(fmt.Sprint(name, "/", i), tokens), tokens, duration) })
	}
	all.Wait()
}

// router returns the i-th router, modulo their number.
func (s *testbed) router(i int) *testRouter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[i%len(s.routers)]
}

// add adds a router to the testbed.
func (s *testbed) add(r *testRouter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = append(s.routers, r)
}

// testbedPaid is the size of the budget in tokens.
const testbedPaid = 10_000

// newHolderTestbed returns three routers with a LocalHolder each.
func newHolderTestbed() *testbed {
	f := newFleet(3, testbedPaid)
	s := &testbed{fleet: f, usesHolders: true}
	wrap := func(n *node) *testRouter {
		r := &testRouter{Holder: n, client: n.client, crash: func() { f.kill(n) }}
		s.add(r)
		return r
	}
	for _, n := range f.nodes {
		wrap(n)
	}
	s.startRouter = func() *testRouter { return wrap(f.startNode()) }
	s.chargedTokens = func() int64 { return must(f.ledger.Balance(context.Background(), testAccount)).Settled }
	return s
}

// newNaiveTestbed returns three routers whose holders newHolder makes from a
// table and a name.
func newNaiveTestbed(newHolder func(naiveTable, string) Holder) *testbed {
	f := newFleet(0, 0)
	f.store = memory.NewStore(clock.Real{})
	s := &testbed{fleet: f}
	root := naiveTable{f.store.NewClient()}
	if err := root.update(context.Background(), func(r *naiveRow) error { r.Paid = testbedPaid; return nil }); err != nil {
		panic(err)
	}
	s.startRouter = func() *testRouter {
		client := f.store.NewClient()
		r := &testRouter{Holder: newHolder(naiveTable{client}, fmt.Sprint("router-", len(s.routers))), client: client}
		r.crash = func() { _ = r.Close(context.Background()) }
		s.add(r)
		return r
	}
	for range 3 {
		s.startRouter()
	}
	s.chargedTokens = func() int64 { return must(root.read(context.Background())).Spent }
	return s
}

// The following functions make the naive holders of the scenarios.

func newNaiveMemory(t naiveTable, _ string) Holder {
	return &naiveMemory{naiveCounter: naiveCounter{naiveTable: t}}
}
func newNaiveCounter(t naiveTable, _ string) Holder { return &naiveCounter{naiveTable: t} }
func newNaiveExpiring(t naiveTable, name string) Holder {
	return &naiveExpiring{naiveTable: t, name: name}
}

// setAllFaults sets the faults of all routers' clients of the platform.
func (s *testbed) setAllFaults(faults memory.Faults) {
	for _, r := range s.routers {
		r.client.SetFaults(faults)
	}
}

// serveUnique serves a request of n tokens with a unique key and uses all of
// them.
func (s *testbed) serveUnique(i int, key string, n int64) error {
	return s.serveWithRetries(i, request(key, n), n, 0)
}

// scenarios are fault schedules. In each, the named naive holder serves more
// tokens than were paid or charges wrong amounts.
var scenarios = []struct {
	name  string
	naive func(naiveTable, string) Holder
	run   func(*testbed)
}{
	{"requests at the same moment", newNaiveCounter, func(s *testbed) {
		s.burst("a", 300, 100, time.Second)
	}},
	{"cut for 30 minutes while callers go on", newNaiveCounter, func(s *testbed) {
		s.burst("warm", 3, 100, 0)
		s.setAllFaults(memory.Faults{Outage: true})
		for i := range 30 {
			s.burst(fmt.Sprint("cut", i), 20, 100, time.Second)
			advance(time.Minute)
		}
		s.setAllFaults(memory.Faults{})
		advance(time.Minute)
	}},
	{"cut heals while requests are open, and a second cut overlaps", newNaiveCounter, func(s *testbed) {
		s.burst("warm", 3, 100, 0)
		s.setAllFaults(memory.Faults{Outage: true})
		go s.burst("open", 120, 100, 20*time.Second)
		advance(10 * time.Second)
		s.routers[0].client.SetFaults(memory.Faults{})
		s.routers[1].client.SetFaults(memory.Faults{Delay: 2 * time.Second})
		advance(5 * time.Second)
		s.setAllFaults(memory.Faults{})
		s.burst("late", 120, 100, 0)
		advance(time.Minute)
	}},
	{"reply lost after the bill took effect", newNaiveCounter, func(s *testbed) {
		for i := range 20 {
			s.setAllFaults(memory.Faults{LoseResponses: 1})
			_ = s.serveUnique(i, fmt.Sprint(i), 100)
		}
		advance(time.Minute)
	}},
	{"holder paused past any bound and awake with requests queued", newNaiveExpiring, func(s *testbed) {
		_ = s.serveUnique(0, "warm", 100)
		s.routers[0].client.SetFaults(memory.Faults{Outage: true})
		advance(time.Hour)
		for i := range 200 {
			_ = s.serveUnique(1+i%2, fmt.Sprint("others", i), 100)
		}
		ctx := context.Background()
		for i := range 10 {
			_ = s.serveFor(ctx, s.routers[0].Holder, request(fmt.Sprint("queued", i), 100), 100, 0)
		}
		s.setAllFaults(memory.Faults{})
		advance(time.Minute)
	}},
	{"killed with streams open, callers try again elsewhere", newNaiveCounter, func(s *testbed) {
		keyed := func(i int) Request {
			r := request(fmt.Sprint("key", i), 100)
			r.Unique = false
			return r
		}
		for i := range 20 { // the bill is written, the end of the response is lost
			_ = s.serveFor(context.Background(), s.routers[0].Holder, keyed(i), 100, 0)
		}
		s.routers[0].crash()
		for i := range 20 {
			_ = s.serveWithRetries(1, keyed(i), 100, 0)
		}
		advance(time.Minute)
	}},
	{"two routers given one key at the same moment", newNaiveCounter, func(s *testbed) {
		keyed := request("one", 100)
		keyed.Unique = false
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() { _ = s.serveFor(context.Background(), s.router(i).Holder, keyed, 100, time.Second) })
		}
		both.Wait()
		advance(time.Second)
	}},
	{"store takes 2 s a call for 10 minutes", newNaiveCounter, func(s *testbed) {
		s.setAllFaults(memory.Faults{Delay: 2 * time.Second})
		for i := range 20 {
			go s.burst(fmt.Sprint("slow", i), 15, 100, 10*time.Second)
			advance(30 * time.Second)
		}
		s.setAllFaults(memory.Faults{})
		advance(time.Minute)
	}},
	{"outage and kill together", newNaiveMemory, func(s *testbed) {
		s.burst("warm", 9, 100, 0)
		s.setAllFaults(memory.Faults{Outage: true})
		s.burst("away", 3, 100, time.Second)
		s.routers[0].crash()
		advance(10 * time.Minute)
		s.setAllFaults(memory.Faults{})
		advance(time.Minute)
	}},
	{"all routers replaced within a minute with requests open", newNaiveCounter, func(s *testbed) {
		for i := range 3 {
			for k := range 5 {
				req := request(fmt.Sprint("key", i, k), 100)
				req.Unique = false
				go func() {
					_ = s.serveFor(context.Background(), s.router(i).Holder, req, 100, 5*time.Second)
					_ = s.serveWithRetries(i+1, req, 100, time.Second)
				}()
			}
			advance(10 * time.Second)
			s.startRouter()
			s.routers[i].crash()
			advance(10 * time.Second)
		}
		advance(time.Minute)
	}},
}

// violations describes how the served and charged tokens contradict the
// guarantees: no more is served than was paid, and each completed request is
// charged once.
func (s *testbed) violations() []string {
	var problems []string
	served := s.servedTokens() - s.replayedTokens()
	if served > testbedPaid {
		problems = append(problems, fmt.Sprintf("served %d of %d paid", served, testbedPaid))
	}
	s.mu.Lock()
	var owed int64
	for key := range s.completed {
		owed += s.served[key] / int64(s.settleAttempts[key])
	}
	s.mu.Unlock()
	if charged := s.chargedTokens(); charged != owed {
		problems = append(problems, fmt.Sprintf("charged %d tokens, but completed requests used %d", charged, owed))
	}
	return problems
}

// TestFaultSchedulesAgainstNaiveVersions runs each schedule with a naive
// holder, which must violate a guarantee, so that the schedule is known to
// provoke the fault, and with the LocalHolder, which must violate none.
func TestFaultSchedulesAgainstNaiveVersions(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				naiveTestbed := newNaiveTestbed(c.naive)
				c.run(naiveTestbed)
				problems := naiveTestbed.violations()
				t.Logf("naive: %v", problems)
				assert.Assert(t, len(problems) > 0, "the naive version violated no guarantee")
			})
			inBubble(t, func(t *testing.T) {
				holderTestbed := newHolderTestbed()
				defer holderTestbed.killAll()
				c.run(holderTestbed)
				assert.NilError(t, holderTestbed.checkConservation())
				assert.NilError(t, holderTestbed.checkBills())
				assert.DeepEqual(t, holderTestbed.violations(), []string(nil))
			})
		})
	}
}
