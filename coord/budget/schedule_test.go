package budget

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// defaultSeed is the seed of the random schedules unless -rapid.seed is set.
const defaultSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set(defaultSeed); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// action is what one step of a schedule does.
type action int

// The actions. Requests run in the background.
const (
	actRequest      action = iota // node serves a request of its own key
	actKeyed                      // node serves a request with one of few callers' keys
	actDuplicateKey               // two nodes get one key at the same moment
	actOutage                     // node loses the platform
	actOutageAll                  // all nodes lose the platform
	actSlow                       // the platform takes 2 s a call for node
	actLoseReplies
	actLoseRequests
	actHeal             // node's platform is healthy
	actForgetOperations // the platform forgets its operation ids
	actKill             // node crashes and another starts
	actStop             // node stops as planned and another starts
	actTopUp
	actWriteOff  // an operator burns all doubts
	actPartition // node loses its peers
	actRejoin    // node reaches its peers again
	actWait
)

// step is one step of a schedule.
type step struct {
	Action action
	Node   int
	Tokens int64 // reserved; half of it is used
	Key    int
	Length time.Duration
}

// maxLosses is the number of routers that may be lost with what they keep, so
// that one of the three holders of a bill lives. Where peers lose each other
// a bill can have a single copy.
func maxLostRouters(steps []step) int {
	for _, s := range steps {
		if s.Action == actPartition {
			return 1
		}
	}
	return 2
}

func drawStep(t *rapid.T) step {
	return step{
		Action: action(rapid.IntRange(int(actRequest), int(actWait)).Draw(t, "action")),
		Node:   rapid.IntRange(0, 4).Draw(t, "node"),
		Tokens: rapid.Int64Range(2, 400).Draw(t, "tokens"),
		Key:    rapid.IntRange(0, 5).Draw(t, "key"),
		Length: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond,
	}
}

// play runs a schedule and checks the promises after every step and, with all
// faults healed, at the end.
func runSchedule(f *fleet, steps []step) error {
	defer f.killAll()
	losses := maxLostRouters(steps)
	for i, s := range steps {
		if f.losesRouter(s) {
			if losses == 0 {
				continue
			}
			losses--
		}
		f.runStep(i, s)
		if err := f.checkConservation(); err != nil {
			advance(time.Minute) // the bubble must end without sleepers, or it hides the error
			return fmt.Errorf("after step %d %+v: %w", i, s, err)
		}
		advance(10 * time.Millisecond)
	}
	advance(30 * time.Second) // requests end
	f.setOutage(false)
	for _, n := range f.nodes {
		f.setPartitioned(n, false)
	}
	advance(30 * time.Second) // bills are written
	if err := f.checkConservation(); err != nil {
		return err
	}
	return f.checkBills()
}

// loses reports whether the step ends a router that cannot hand over.
func (f *fleet) losesRouter(s step) bool {
	return s.Action == actKill || s.Action == actStop && f.anyPartition
}

func (f *fleet) runStep(i int, s step) {
	ctx := context.Background()
	n := f.liveAfter(s.Node - 1)
	unique := request(fmt.Sprintf("request-%d", i), s.Tokens)
	keyed := unique
	keyed.Key, keyed.Unique, keyed.Tokens = fmt.Sprintf("key-%d", s.Key), false, 100
	switch s.Action {
	case actRequest:
		go f.serveFor(ctx, n, unique, s.Tokens/2, s.Length)
	case actKeyed:
		go f.serveFor(ctx, n, keyed, 50, s.Length)
	case actDuplicateKey:
		go f.serveFor(ctx, n, keyed, 50, s.Length)
		go f.serveFor(ctx, f.liveAfter(s.Node), keyed, 50, s.Length)
	case actOutage:
		n.view.SetFaults(memory.Faults{Outage: true})
	case actOutageAll:
		f.setOutage(true)
	case actSlow:
		n.view.SetFaults(memory.Faults{Delay: 2 * time.Second})
	case actLoseReplies:
		n.view.SetFaults(memory.Faults{LoseReplies: s.Key})
	case actLoseRequests:
		n.view.SetFaults(memory.Faults{LoseRequests: s.Key})
	case actHeal:
		n.view.SetFaults(memory.Faults{})
	case actForgetOperations:
		f.store.ForgetOperations()
	case actKill:
		f.kill(n)
		f.startNode()
	case actStop:
		f.startNode()
		go f.stopGracefully(n)
	case actTopUp:
		must(f.ledger.TopUp(ctx, testAccount, fmt.Sprint("top-up-", i), s.Tokens))
	case actWriteOff:
		f.writeOffInDoubtGrants()
	case actPartition:
		f.setPartitioned(n, true)
	case actRejoin:
		f.setPartitioned(n, false)
	case actWait:
		advance(s.Length)
	}
}

// split cuts a node off from its peers, or joins it again.
func (f *fleet) setPartitioned(n *node, partitioned bool) {
	f.anyPartition = f.anyPartition || partitioned
	for _, other := range f.nodes {
		if other != n {
			f.network.SetCut(n.id, other.id, partitioned)
		}
	}
}

// liveAfter returns the next live node.
func (f *fleet) liveAfter(i int) *node {
	for {
		i++
		if n := f.nodes[(i+len(f.nodes))%len(f.nodes)]; !n.dead.Load() {
			return n
		}
	}
}

// retire stops a node as planned, and kills it if that takes too long.
func (f *fleet) stopGracefully(n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_ = n.Close(ctx) // what it cannot return stays in doubt
	n.dead.Store(true)
	f.network.Leave(n.id)
}

func (f *fleet) writeOffInDoubtGrants() {
	ctx := context.Background()
	for _, d := range must(f.ledger.InDoubtGrants(ctx)) {
		must(f.ledger.ResolveInDoubtGrant(ctx, Resolution{Account: d.Account, Incarnation: d.Incarnation}))
	}
}

// TestRandomSchedules plays random faults: the budget is conserved after every
// step, callers are served no more than was paid, and each answered request
// has one bill at the end.
func TestRandomFaultSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(rt, "steps")
		paid := rapid.Int64Range(500, 20_000).Draw(rt, "paid")
		serve := rapid.Bool().Draw(rt, "serve")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(4, 0)
			f.serveOutages = serve
			if serve { // a router without platform and peers answers, and may be lost
				steps = slices.DeleteFunc(steps, func(s step) bool { return s.Action == actPartition })
			}
			must(f.ledger.TopUp(context.Background(), testAccount, "first", paid))
			err = runSchedule(f, steps)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestRandomSchedulesOfShares plays the same with every grant but the first
// on a share row.
func TestRandomFaultSchedulesWithShareRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(rt, "steps")
		paid := rapid.Int64Range(500, 20_000).Draw(rt, "paid")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(0, paid)
			f.config.ShareRowThreshold = 1
			for range 4 {
				f.startNode()
			}
			err = runSchedule(f, steps)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestOverlappingCuts cuts the platform from all holders for 30 minutes while
// a top-up lands on the far side and requests are open, then again within it.
func TestOverlappingOutages(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 20_000)
		defer f.killAll()
		f.runStep(0, step{Action: actRequest, Tokens: 200})
		advance(time.Second)
		f.setOutage(true)
		must(f.ledger.TopUp(t.Context(), testAccount, "far", 10_000))
		for i := range 1800 {
			f.runStep(i+1, step{Action: actRequest, Node: i, Tokens: 40, Length: time.Duration(i%5) * time.Second})
			if i == 600 {
				f.nodes[0].view.SetFaults(memory.Faults{Delay: 2 * time.Second})
			}
			if i == 1200 {
				f.nodes[0].view.SetFaults(memory.Faults{Outage: true})
			}
			assert.NilError(t, f.checkConservation())
			advance(time.Second)
		}
		f.setOutage(false)
		advance(time.Minute)
		assert.NilError(t, f.checkConservation())
		assert.NilError(t, f.checkBills())
		assert.Equal(t, f.balance(t).Settled, f.servedTokens())
	})
}
