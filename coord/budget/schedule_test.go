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

// action is the kind of one step of a schedule.
type action int

// Requests run in the background.
const (
	actRequest      action = iota // node serves a request with a unique key
	actKeyed                      // node serves a request with one of a few callers' keys
	actDuplicateKey               // two nodes receive the same key at the same time
	actOutage                     // the platform becomes unreachable for node
	actOutageAll                  // the platform becomes unreachable for all nodes
	actSlow                       // each call to the platform takes 2 s for node
	actLoseResponses
	actLoseRequests
	actHeal             // the platform is reachable for node without faults
	actForgetOperations // the platform forgets its operation ids
	actKill             // node crashes and another one starts
	actStop             // node stops gracefully and another one starts
	actTopUp
	actWriteOff  // an operator writes off all in-doubt grants
	actPartition // node is cut off from its peers
	actRejoin    // node can reach its peers again
	actWait
)

// step is one step of a schedule.
type step struct {
	Action action
	Node   int
	Tokens int64 // tokens reserved; half of them are used
	Key    int
	Length time.Duration
}

// maxLostRouters is the number of routers that a schedule may lose without a
// handover of their bill replicas, so that one of the three copies of a bill
// survives: that of its holder and two replicas. If peers are partitioned, a
// bill may have a single replica.
func maxLostRouters(steps []step) int {
	for _, s := range steps {
		if s.Action == actPartition {
			return 1
		}
	}
	return 2
}

// drawStep draws a random step.
func drawStep(t *rapid.T) step {
	return step{
		Action: action(rapid.IntRange(int(actRequest), int(actWait)).Draw(t, "action")),
		Node:   rapid.IntRange(0, 4).Draw(t, "node"),
		Tokens: rapid.Int64Range(2, 400).Draw(t, "tokens"),
		Key:    rapid.IntRange(0, 5).Draw(t, "key"),
		Length: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond,
	}
}

// runSchedule runs a schedule and checks conservation after every step. At
// the end, with all faults removed, it also checks the bills.
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
			advance(time.Minute) // the bubble must end without sleeping goroutines, or it hides the error
			return fmt.Errorf("after step %d %+v: %w", i, s, err)
		}
		advance(10 * time.Millisecond)
	}
	advance(30 * time.Second) // requests complete
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

// losesRouter reports whether the step stops a router that cannot hand over
// its bill replicas.
func (f *fleet) losesRouter(s step) bool {
	return s.Action == actKill || s.Action == actStop && f.anyPartition
}

// runStep executes step i of a schedule.
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
		n.client.SetFaults(memory.Faults{Outage: true})
	case actOutageAll:
		f.setOutage(true)
	case actSlow:
		n.client.SetFaults(memory.Faults{Delay: 2 * time.Second})
	case actLoseResponses:
		n.client.SetFaults(memory.Faults{LoseResponses: s.Key})
	case actLoseRequests:
		n.client.SetFaults(memory.Faults{LoseRequests: s.Key})
	case actHeal:
		n.client.SetFaults(memory.Faults{})
	case actForgetOperations:
		f.store.ForgetOpIDs()
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

// setPartitioned cuts a node off from its peers, or connects it again.
func (f *fleet) setPartitioned(n *node, partitioned bool) {
	f.anyPartition = f.anyPartition || partitioned
	for _, other := range f.nodes {
		if other != n {
			f.network.SetPartitioned(n.id, other.id, partitioned)
		}
	}
}

// liveAfter returns the next live node after the i-th one.
func (f *fleet) liveAfter(i int) *node {
	for {
		i++
		if n := f.nodes[(i+len(f.nodes))%len(f.nodes)]; !n.dead.Load() {
			return n
		}
	}
}

// stopGracefully closes a node's holder and gives up after 20 s.
func (f *fleet) stopGracefully(n *node) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_ = n.Close(ctx) // tokens that it cannot return stay in doubt
	n.dead.Store(true)
	f.network.Remove(n.id)
}

// writeOffInDoubtGrants resolves all in-doubt grants by writing them off.
func (f *fleet) writeOffInDoubtGrants() {
	ctx := context.Background()
	for _, d := range must(f.ledger.InDoubtGrants(ctx)) {
		must(f.ledger.ResolveInDoubtGrant(ctx, Resolution{Account: d.Account, Incarnation: d.Incarnation}))
	}
}

// TestRandomFaultSchedules runs random faults. After every step the budget
// must be conserved and callers must not have been served more than was paid;
// at the end each completed request must have one bill.
func TestRandomFaultSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(rt, "steps")
		paid := rapid.Int64Range(500, 20_000).Draw(rt, "paid")
		serve := rapid.Bool().Draw(rt, "serve")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(4, 0)
			f.serveOutages = serve
			if serve { // a router without platform and peers serves requests, and their bills may be lost
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

// TestRandomFaultSchedulesWithShareRows runs random faults with every grant
// but the first one on a share row.
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

// TestOverlappingOutages makes the platform unreachable for all holders for
// 30 minutes, with open requests and a top-up that they cannot see, and
// changes the fault of one holder meanwhile. Each request must be charged
// once afterwards.
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
				f.nodes[0].client.SetFaults(memory.Faults{Delay: 2 * time.Second})
			}
			if i == 1200 {
				f.nodes[0].client.SetFaults(memory.Faults{Outage: true})
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
