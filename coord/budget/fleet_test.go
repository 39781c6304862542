package budget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
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
	// served counts the tokens that engines made for callers, by key.
	served map[string]int64
}

// node is one holder with its own view of the platform.
type node struct {
	*LocalHolder
	id   bus.ID
	view *memory.View
	dead bool
}

func newFleet(n int, paid int64) *fleet {
	f := &fleet{store: memory.NewStore(clock.Real{}), network: bus.NewNetwork(), config: DefaultSettings(), served: map[string]int64{}}
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

// start starts one more holder, in the next of three failure domains.
func (f *fleet) start() *node {
	i := f.started
	f.started++
	id := bus.ID{VM: fmt.Sprintf("entry-%d", i+1), Incarnation: fmt.Sprintf("inc-%d", i+1)}
	member := f.network.Join(bus.Peer{ID: id, Domain: fmt.Sprintf("kr-central-%c", 'a'+i%3), Region: "kr-central"})
	n := &node{id: id, view: f.store.View()}
	n.LocalHolder = NewHolder(Options{
		Settings: f.config, Table: n.view, Bus: member, Clock: clock.Real{}, Events: event.Discard{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Serve: func(string) bool { return f.serve },
	})
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) live(holder string) bool {
	for _, n := range f.nodes {
		if n.id.String() == holder {
			return !n.dead
		}
	}
	return false
}

// kill ends a holder as a crash does.
func (f *fleet) kill(n *node) {
	if !n.dead {
		n.dead = true
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
	r, err := n.Reserve(context.Background(), req)
	if err != nil {
		return err
	}
	f.served[req.Key] += used
	return r.Settle(context.Background(), used)
}

func (f *fleet) servedTotal() int64 {
	var total int64
	for _, tokens := range f.served {
		total += tokens
	}
	return total
}

// check verifies conservation from the table alone, and that callers were
// served no more than was paid.
func (f *fleet) check() error {
	b, err := f.ledger.Balance(context.Background(), testAccount)
	if err != nil {
		return err
	}
	if b.Paid != b.Unspent+b.Held+b.Settled+b.InDoubt {
		return fmt.Errorf("tokens lost or made: %+v", b)
	}
	if b.Unspent < 0 || b.Held < 0 || b.InDoubt < 0 {
		return fmt.Errorf("overdrawn: %+v", b)
	}
	if served := f.servedTotal(); served > b.Paid {
		return fmt.Errorf("served %d tokens of %d paid", served, b.Paid)
	}
	return nil
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
