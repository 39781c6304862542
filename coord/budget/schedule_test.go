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
	actRequest action = iota // node serves a request of its own key
	actKeyed                 // node serves a request with one of few callers' keys
	actRace                  // two nodes get one key at the same moment
	actCut                   // node loses the platform
	actCutAll                // all nodes lose the platform
	actSlow                  // the platform takes 2 s a call for node
	actLoseReplies
	actLoseRequests
	actHeal   // node's platform is healthy
	actForget // the platform forgets its operation ids
	actKill   // node crashes and another starts
	actStop   // node stops as planned and another starts
	actTopUp
	actBurn  // an operator burns all doubts
	actSplit // node loses its peers
	actJoin  // node reaches its peers again
	actWait
)

// step is one step of a schedule.
type step struct {
	Action action
	Node   int
	Tokens int64 // reserved; half of it is used
	Key    int
	Takes  time.Duration
}

// maxLosses is the number of routers that may be lost with what they keep, so
// that one of the three holders of a bill lives. Where peers lose each other
// a bill can have a single copy.
func maxLosses(steps []step) int {
	for _, s := range steps {
		if s.Action == actSplit {
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
		Takes:  time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond,
	}
}

// play runs a schedule and checks the promises after every step and, with all
// faults healed, at the end.
func play(f *fleet, steps []step) error {
	defer f.stop()
	losses := maxLosses(steps)
	for i, s := range steps {
		if f.loses(s) {
			if losses == 0 {
				continue
			}
			losses--
		}
		f.play(i, s)
		if err := f.check(); err != nil {
			pause(time.Minute) // the bubble must end without sleepers, or it hides the error
			return fmt.Errorf("after step %d %+v: %w", i, s, err)
		}
		pause(10 * time.Millisecond)
	}
	pause(30 * time.Second) // requests end
	f.cut(false)
	for _, n := range f.nodes {
		f.split(n, false)
	}
	pause(30 * time.Second) // bills are written
	if err := f.check(); err != nil {
		return err
	}
	return f.checkBills()
}

// loses reports whether the step ends a router that cannot hand over.
func (f *fleet) loses(s step) bool {
	return s.Action == actKill || s.Action == actStop && f.anySplit
}

func (f *fleet) play(i int, s step) {
	ctx := context.Background()
	n := f.liveAfter(s.Node - 1)
	own := request(fmt.Sprintf("request-%d", i), s.Tokens)
	keyed := own
	keyed.Key, keyed.Unique, keyed.Tokens = fmt.Sprintf("key-%d", s.Key), false, 100
	switch s.Action {
	case actRequest:
		go f.serveFor(ctx, n, own, s.Tokens/2, s.Takes)
	case actKeyed:
		go f.serveFor(ctx, n, keyed, 50, s.Takes)
	case actRace:
		go f.serveFor(ctx, n, keyed, 50, s.Takes)
		go f.serveFor(ctx, f.liveAfter(s.Node), keyed, 50, s.Takes)
	case actCut:
		n.view.SetFaults(memory.Faults{Outage: true})
	case actCutAll:
		f.cut(true)
	case actSlow:
		n.view.SetFaults(memory.Faults{Delay: 2 * time.Second})
	case actLoseReplies:
		n.view.SetFaults(memory.Faults{LoseReplies: s.Key})
	case actLoseRequests:
		n.view.SetFaults(memory.Faults{LoseRequests: s.Key})
	case actHeal:
		n.view.SetFaults(memory.Faults{})
	case actForget:
		f.store.ForgetOperations()
	case actKill:
		f.kill(n)
		f.start()
	case actStop:
		f.start()
		go f.retire(n)
	case actTopUp:
		must(f.ledger.TopUp(ctx, testAccount, fmt.Sprint("top-up-", i), s.Tokens))
	case actBurn:
		f.burnDoubts()
	case actSplit:
		f.split(n, true)
	case actJoin:
		f.split(n, false)
	case actWait:
		pause(s.Takes)
	}
}

// split cuts a node off from its peers, or joins it again.
func (f *fleet) split(n *node, cut bool) {
	f.anySplit = f.anySplit || cut
	for _, other := range f.nodes {
		if other != n {
			f.network.SetCut(n.id, other.id, cut)
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
func (f *fleet) retire(n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_ = n.Close(ctx) // what it cannot return stays in doubt
	n.dead.Store(true)
	f.network.Leave(n.id)
}

func (f *fleet) burnDoubts() {
	ctx := context.Background()
	for _, d := range must(f.ledger.InDoubtGrants(ctx)) {
		must(f.ledger.ResolveInDoubtGrant(ctx, Resolution{Account: d.Account, Incarnation: d.Incarnation}))
	}
}

// TestRandomSchedules plays random faults: the budget is conserved after every
// step, callers are served no more than was paid, and each answered request
// has one bill at the end.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(rt, "steps")
		paid := rapid.Int64Range(500, 20_000).Draw(rt, "paid")
		serve := rapid.Bool().Draw(rt, "serve")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(4, 0)
			f.serve = serve
			if serve { // a router without platform and peers answers, and may be lost
				steps = slices.DeleteFunc(steps, func(s step) bool { return s.Action == actSplit })
			}
			must(f.ledger.TopUp(context.Background(), testAccount, "first", paid))
			err = play(f, steps)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestRandomSchedulesOfShares plays the same with every grant but the first
// on a share row.
func TestRandomSchedulesOfShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(rt, "steps")
		paid := rapid.Int64Range(500, 20_000).Draw(rt, "paid")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(0, paid)
			f.config.ShareRowThreshold = 1
			for range 4 {
				f.start()
			}
			err = play(f, steps)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestOverlappingCuts cuts the platform from all holders for 30 minutes while
// a top-up lands on the far side and requests are open, then again within it.
func TestOverlappingCuts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 20_000)
		defer f.stop()
		f.play(0, step{Action: actRequest, Tokens: 200})
		pause(time.Second)
		f.cut(true)
		must(f.ledger.TopUp(t.Context(), testAccount, "far", 10_000))
		for i := range 1800 {
			f.play(i+1, step{Action: actRequest, Node: i, Tokens: 40, Takes: time.Duration(i%5) * time.Second})
			if i == 600 {
				f.nodes[0].view.SetFaults(memory.Faults{Delay: 2 * time.Second})
			}
			if i == 1200 {
				f.nodes[0].view.SetFaults(memory.Faults{Outage: true})
			}
			assert.NilError(t, f.check())
			pause(time.Second)
		}
		f.cut(false)
		pause(time.Minute)
		assert.NilError(t, f.check())
		assert.NilError(t, f.checkBills())
		assert.Equal(t, f.balance(t).Settled, f.servedTotal())
	})
}
