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

var testAccount = Account{Workspace: "coop", Budget: "default"}

// fleet is a store and holders that share it. Its goroutines run in a bubble
// of testing/synctest, so that time is virtual.
type fleet struct {
	store   *memory.Store
	network *bus.Network
	ledger  *Ledger
	config  Settings
	serve   bool
	nodes   []*node
	started int
	domains int
	// anySplit is set once a node has lost its peers.
	anySplit bool

	mu       sync.Mutex       // guards all below
	served   map[string]int64 // tokens that engines made for callers, by key
	settles  map[string]int   // settlements tried, by key
	answered map[string]bool  // keys whose whole answer was handed over
}

// node is one holder with its own view of the platform.
type node struct {
	*LocalHolder
	id   bus.ID
	view *memory.View
	dead atomic.Bool
}

func newFleet(n int, paid int64) *fleet {
	f := &fleet{store: memory.NewStore(clock.Real{}), network: bus.NewNetwork(), config: DefaultSettings(), domains: 3, served: map[string]int64{}, settles: map[string]int{}, answered: map[string]bool{}}
	f.ledger = NewLedger(f.store.View()).WithLive(f.live)
	if paid > 0 {
		if _, err := f.ledger.TopUp(context.Background(), testAccount, "first", paid); err != nil {
			panic(err)
		}
	}
	for range n {
		f.start()
	}
	return f
}

// start starts one more holder, in the next failure domain.
func (f *fleet) start() *node {
	i := f.started
	f.started++
	id := bus.ID{VM: fmt.Sprintf("entry-%d", i+1), Incarnation: fmt.Sprintf("inc-%d", i+1)}
	member := f.network.Join(bus.Peer{ID: id, Domain: fmt.Sprintf("kr-central-%c", 'a'+i%f.domains), Region: "kr-central"})
	n := &node{id: id, view: f.store.View()}
	n.LocalHolder = NewHolder(Options{
		Settings: f.config, Table: n.view, Bus: member, Clock: clock.Real{}, Events: event.Discard{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), ServeOutages: func(string) bool { return f.serve },
	})
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) live(holder string) bool {
	for _, n := range f.nodes {
		if n.id.String() == holder {
			return !n.dead.Load()
		}
	}
	return false
}

// kill ends a holder as a crash does.
func (f *fleet) kill(n *node) {
	if !n.dead.Swap(true) {
		f.network.Leave(n.id)
		n.Kill()
	}
}

// stop ends all holders without writing anything.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.kill(n)
	}
}

// cut cuts the platform off from all holders, or heals it.
func (f *fleet) cut(cut bool) {
	for _, n := range f.nodes {
		n.view.SetFaults(memory.Faults{Outage: cut})
	}
}

// request is a reservation for a request with a key of its own.
func request(key string, tokens int64) Request {
	return Request{Account: testAccount, Key: key, Digest: "d", Unique: true, Tokens: tokens}
}

// serveOne reserves, serves and settles one request as a router does.
func (f *fleet) serveOne(n *node, req Request, used int64) error {
	return f.serveFor(context.Background(), n, req, used, 0)
}

// serveFor serves a request whose generation takes a time.
func (f *fleet) serveFor(ctx context.Context, h Holder, req Request, used int64, takes time.Duration) error {
	r, err := h.Reserve(ctx, req)
	if err != nil {
		return err
	}
	pause(takes)
	f.mu.Lock()
	f.served[req.Key] += used
	f.settles[req.Key]++
	f.mu.Unlock()
	if err := r.Settle(ctx, used); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered[req.Key] = true
	return nil
}

func (f *fleet) servedTotal() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total int64
	for _, tokens := range f.served {
		total += tokens
	}
	return total
}

// check verifies conservation from the table alone, and that callers were
// served no more than was paid. It waits until all goroutines of the bubble
// rest, since a balance that is read while rows change is approximate.
func (f *fleet) check() error {
	synctest.Wait()
	b, err := f.ledger.Balance(context.Background(), testAccount)
	if err != nil {
		return err
	}
	if b.Approximate {
		return errors.New("the balance did not come to rest")
	}
	if b.Paid != b.Unspent+b.Held+b.Settled+b.InDoubt {
		return fmt.Errorf("tokens lost or made: %+v", b)
	}
	if b.Unspent < 0 || b.Held < 0 || b.InDoubt < 0 {
		return fmt.Errorf("overdrawn: %+v", b)
	}
	if served := f.servedTotal() - f.replayed(); served > b.Paid {
		return fmt.Errorf("served %d tokens of %d paid", served, b.Paid)
	}
	return nil
}

// replayed sums what was served again for keys already billed.
func (f *fleet) replayed() int64 {
	var total int64
	for _, row := range f.store.Dump(keyPrefix) {
		total += must(decode[keyRow](row)).Replayed
	}
	return total
}

// bills counts the bills of each key below a prefix; a bill in two rows counts
// once, and a replay not at all.
func (f *fleet) bills(prefix string) map[string]int {
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

// checkBills verifies that each answered request has exactly one bill, and no
// request more than one. A caller's key stands for one bill however often it
// is served, up to the bound of replays; what is served past it has its own.
// A bill that came after an operator had burned the rest of its grant stands
// among the late ones; its tokens were charged by the burning.
func (f *fleet) checkBills() error {
	bills, late := f.bills(batchPrefix), f.bills(latePrefix)
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.answered {
		if bills[key]+late[key] == 0 {
			return fmt.Errorf("answered request %s has no bill", key)
		}
	}
	for key, n := range bills {
		if n > 1+max(0, f.settles[key]-1-f.config.MaxReplays) {
			return fmt.Errorf("request %s has %d bills", key, n)
		}
	}
	return nil
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (f *fleet) balance(t *testing.T) Balance {
	t.Helper()
	assert.NilError(t, f.check())
	b, err := f.ledger.Balance(t.Context(), testAccount)
	assert.NilError(t, err)
	return b
}

// refused reports whether err is a refusal, which is no fault of the holder.
func refused(err error) bool {
	return errors.Is(err, ErrExhausted) || errors.Is(err, ErrBusy) || errors.Is(err, ErrUnavailable)
}

// pause lets virtual time pass for background work.
func pause(d time.Duration) { time.Sleep(d) }
