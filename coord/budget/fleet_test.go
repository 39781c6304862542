package budget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// testAccount is the budget that tests spend from.
var testAccount = Account{Workspace: "coop", Budget: "default"}

// fleet is a store and the holders that share it. Its goroutines run in a
// bubble of testing/synctest, so that time is virtual.
type fleet struct {
	store        *memory.Store
	network      *bus.Network
	ledger       *Ledger
	config       Settings
	serveOutages bool
	nodes        []*node
	startedNodes int
	domains      int
	// anyPartition is set once a node has been cut off from its peers.
	anyPartition bool

	mu             sync.Mutex       // guards the fields below
	served         map[string]int64 // tokens generated for callers, by key
	settleAttempts map[string]int   // calls of Settle, by key
	completed      map[string]bool  // keys whose complete response was delivered
}

// node is one holder with its own client of the platform.
type node struct {
	*LocalHolder
	id     bus.ID
	client *memory.Client
	dead   atomic.Bool
}

// newFleet returns a fleet of n holders and a budget of paid tokens; there is
// no budget if paid is 0.
func newFleet(n int, paid int64) *fleet {
	f := &fleet{store: memory.NewStore(clock.Real{}), network: bus.NewNetwork(), config: DefaultSettings(), domains: 3, served: map[string]int64{}, settleAttempts: map[string]int{}, completed: map[string]bool{}}
	f.ledger = NewLedger(f.store.NewClient()).WithLive(f.live)
	if paid > 0 {
		if _, err := f.ledger.TopUp(context.Background(), testAccount, "first", paid); err != nil {
			panic(err)
		}
	}
	for range n {
		f.startNode()
	}
	return f
}

// startNode starts one more holder, in the next failure domain.
func (f *fleet) startNode() *node {
	i := f.startedNodes
	f.startedNodes++
	id := bus.ID{VM: fmt.Sprintf("entry-%d", i+1), Incarnation: fmt.Sprintf("inc-%d", i+1)}
	member := f.network.Join(bus.Peer{ID: id, Domain: fmt.Sprintf("kr-central-%c", 'a'+i%f.domains), Region: "kr-central"})
	n := &node{id: id, client: f.store.NewClient()}
	n.LocalHolder = NewHolder(Options{
		Settings: f.config, Table: n.client, Bus: member, Clock: clock.Real{}, Events: event.Discard{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), ServeOutages: func(string) bool { return f.serveOutages },
	})
	f.nodes = append(f.nodes, n)
	return n
}

// live reports whether a holder is a node that has not been killed or
// stopped.
func (f *fleet) live(holder string) bool {
	for _, n := range f.nodes {
		if n.id.String() == holder {
			return !n.dead.Load()
		}
	}
	return false
}

// kill stops a holder as a crash does.
func (f *fleet) kill(n *node) {
	if !n.dead.Swap(true) {
		f.network.Remove(n.id)
		n.Kill()
	}
}

// killAll stops all holders without writing anything.
func (f *fleet) killAll() {
	for _, n := range f.nodes {
		f.kill(n)
	}
}

// setOutage makes the platform unreachable for all holders, or reachable
// again.
func (f *fleet) setOutage(outage bool) {
	for _, n := range f.nodes {
		n.client.SetFaults(memory.Faults{Outage: outage})
	}
}

// request returns a request for tokens with a key that no other request
// carries.
func request(key string, tokens int64) Request {
	return Request{Account: testAccount, Key: key, Digest: "d", Unique: true, Tokens: tokens}
}

// serveOne reserves, serves and settles one request as a router does.
func (f *fleet) serveOne(n *node, req Request, used int64) error {
	return f.serveFor(context.Background(), n, req, used, 0)
}

// serveFor serves a request whose generation takes the given duration.
func (f *fleet) serveFor(ctx context.Context, h Holder, req Request, used int64, duration time.Duration) error {
	reservation, err := h.Reserve(ctx, req)
	if err != nil {
		return err
	}
	advance(duration)
	f.mu.Lock()
	f.served[req.Key] += used
	f.settleAttempts[req.Key]++
	f.mu.Unlock()
	if err := reservation.Settle(ctx, used); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed[req.Key] = true
	return nil
}

// servedTokens returns the tokens generated for all requests.
func (f *fleet) servedTokens() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total int64
	for _, tokens := range f.served {
		total += tokens
	}
	return total
}

// checkConservation verifies from the table alone that no tokens are lost or
// created, and that callers were served no more than was paid. It waits until
// all goroutines of the bubble are blocked, since a balance that is read
// while rows change is approximate.
func (f *fleet) checkConservation() error {
	synctest.Wait()
	b, err := f.ledger.Balance(context.Background(), testAccount)
	if err != nil {
		return err
	}
	if b.Approximate {
		return errors.New("the balance kept changing while it was read")
	}
	if b.Paid != b.Unspent+b.Held+b.Settled+b.InDoubt {
		return fmt.Errorf("tokens lost or made: %+v", b)
	}
	if b.Unspent < 0 || b.Held < 0 || b.InDoubt < 0 {
		return fmt.Errorf("overdrawn: %+v", b)
	}
	if served := f.servedTokens() - f.replayedTokens(); served > b.Paid {
		return fmt.Errorf("served %d tokens of %d paid", served, b.Paid)
	}
	return nil
}

// replayedTokens sums the tokens of replays that were not charged.
func (f *fleet) replayedTokens() int64 {
	var total int64
	for _, row := range f.store.Dump(keyPrefix) {
		total += must(decode[keyRow](row)).Replayed
	}
	return total
}

// billCounts returns the number of bills of each key, read from the rows
// below prefix. A bill in two rows counts once, and a replay not at all.
func (f *fleet) billCounts(prefix string) map[string]int {
	type number struct {
		incarnation string
		n           uint64
	}
	seen := make(map[number]bool)
	count := make(map[string]int)
	for _, row := range f.store.Dump(prefix) {
		batch := must(decode[batchRow](row))
		for _, b := range batch.Bills {
			id := number{incarnation: batch.Holder, n: b.Number}
			if !b.Replay && !seen[id] {
				seen[id] = true
				count[b.Key]++
			}
		}
	}
	return count
}

// checkBills verifies that each completed request has a bill and no request
// has more than one. A caller's key has one bill however often it is served,
// up to the limit of replays; each retry beyond the limit has its own. A bill
// that was written after an operator had written off its grant is stored as
// late; its tokens were charged with those written off.
func (f *fleet) checkBills() error {
	bills, late := f.billCounts(batchPrefix), f.billCounts(latePrefix)
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.completed {
		if bills[key]+late[key] == 0 {
			return fmt.Errorf("completed request %s has no bill", key)
		}
	}
	for key, n := range bills {
		if n > 1+max(0, f.settleAttempts[key]-1-f.config.MaxReplays) {
			return fmt.Errorf("request %s has %d bills", key, n)
		}
	}
	return nil
}

// must returns v and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// balance checks conservation and returns the balance of the test account.
func (f *fleet) balance(t *testing.T) Balance {
	t.Helper()
	assert.NilError(t, f.checkConservation())
	b, err := f.ledger.Balance(t.Context(), testAccount)
	assert.NilError(t, err)
	return b
}

// isRefusal reports whether err is a refusal, which is not a fault of the
// holder.
func isRefusal(err error) bool {
	return errors.Is(err, ErrExhausted) || errors.Is(err, ErrBusy) || errors.Is(err, ErrUnavailable)
}

// advance lets virtual time pass for background work.
func advance(d time.Duration) { time.Sleep(d) }
