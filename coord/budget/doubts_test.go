package budget

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// lostHolder serves at one of three holders, keeps a request open, and cuts
// the holder off from platform and peers, as a paused or dead VM is.
func lostHolder(t *testing.T) (*fleet, *node, Reservation) {
	t.Helper()
	f := newFleet(3, 10_000)
	n := f.nodes[0]
	for i := range 5 {
		assert.NilError(t, f.serveOne(n, request(fmt.Sprint(i), 100), 80))
	}
	open, err := n.Reserve(t.Context(), request("open", 100))
	assert.NilError(t, err)
	n.view.SetFaults(memory.Faults{Outage: true})
	f.network.Leave(n.id)
	n.dead.Store(true)
	return f, n, open
}

// TestSettleDoubt settles a lost holder's grant in each way; asked again, it
// answers the same.
func TestSettleDoubt(t *testing.T) {
	for _, c := range []struct {
		name       string
		settlement Resolution
		want       error
		returned   func(rest int64) int64
	}{
		{"burned", Resolution{}, nil, func(int64) int64 { return 0 }},
		{"gone, nothing spent", Resolution{ProcessDead: true}, nil, func(rest int64) int64 { return rest }},
		{"gone, one open request spent", Resolution{ProcessDead: true, Spent: 100}, nil, func(rest int64) int64 { return rest - 100 }},
		{"more than the rest", Resolution{ProcessDead: true, Spent: 10_000}, ErrConflict, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f, n, _ := lostHolder(t)
				defer func() { n.Kill(); f.stop() }()
				doubts := must(f.ledger.InDoubtGrants(t.Context()))
				assert.Equal(t, len(doubts), 1)
				assert.Equal(t, doubts[0].Billed, int64(400))
				assert.Equal(t, f.balance(t).InDoubt, doubts[0].Remaining)
				c.settlement.Account, c.settlement.Incarnation = testAccount, doubts[0].Incarnation
				first, err := f.ledger.ResolveInDoubtGrant(t.Context(), c.settlement)
				assert.ErrorIs(t, err, c.want)
				if err != nil {
					return
				}
				assert.Equal(t, first.Returned, c.returned(doubts[0].Remaining))
				again, err := f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: doubts[0].Incarnation})
				assert.NilError(t, err)
				assert.DeepEqual(t, again, first)
				b := f.balance(t)
				assert.Equal(t, b.InDoubt, int64(0))
				assert.Equal(t, b.Settled, 400+first.WrittenOff)
			})
		})
	}
}

// TestSettleRefusesLiveHolder keeps an operator from settling a member.
func TestSettleRefusesLiveHolder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 10_000)
		defer f.stop()
		assert.NilError(t, f.serveOne(f.nodes[0], request("a", 100), 80))
		_, err := f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: "inc-1"})
		assert.ErrorIs(t, err, ErrConflict)
		_, err = f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: "none"})
		assert.ErrorIs(t, err, ErrNotFound)
	})
}

// TestPausedHolderWakes settles a doubt as burned while its holder is paused.
// Awake, the holder serves from its grant what was burned, can neither draw
// nor bill, and its bills stand among the late ones.
func TestPausedHolderWakes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f, n, open := lostHolder(t)
		defer func() { n.Kill(); f.stop() }()
		must(f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: n.id.Incarnation}))
		for i := 0; ; i++ {
			if err := f.serveOne(f.nodes[1], request(fmt.Sprint("others", i), 100), 100); err != nil {
				assert.ErrorIs(t, err, ErrExhausted)
				break
			}
		}
		n.view.SetFaults(memory.Faults{})
		f.served["open"] = 100
		assert.ErrorIs(t, open.Settle(t.Context(), 100), ErrFenced)
		_, err := n.Reserve(t.Context(), request("more", 100))
		assert.ErrorIs(t, err, ErrFenced)
		assert.Assert(t, n.Fenced())
		assert.NilError(t, f.check())
		assert.Equal(t, f.bills(latePrefix)["open"], 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, n.Close(ctx), ErrFenced)
	})
}

// TestFlushBeforeSettle writes the copies of a holder that died during an
// outage before its doubt is settled, so that they count as bills.
func TestFlushBeforeSettle(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 10_000)
		defer f.stop()
		f.serve = true
		assert.NilError(t, f.serveOne(f.nodes[0], request("warm", 100), 80))
		f.cut(true)
		assert.NilError(t, f.serveOne(f.nodes[0], request("away", 100), 70))
		f.kill(f.nodes[0])
		f.cut(false)
		assert.NilError(t, f.nodes[1].FlushReplicas(t.Context(), "inc-1"))
		done := must(f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: "inc-1", ProcessDead: true}))
		assert.Equal(t, done.Billed, int64(150))
		assert.Equal(t, f.balance(t).Settled, int64(150))
		assert.NilError(t, f.checkBills())
	})
}

// TestTopUp applies a top-up once through lost replies, and refuses its id
// with another amount.
func TestTopUp(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(0, 100)
		view := f.store.View()
		ledger := NewLedger(view)
		for _, faults := range []memory.Faults{{LoseReplies: 3}, {LoseRequests: 3}, {}} {
			view.SetFaults(faults)
			b, err := ledger.TopUp(t.Context(), testAccount, "second", 50)
			assert.NilError(t, err)
			assert.Equal(t, b.Paid, int64(150))
			f.store.ForgetOperations()
		}
		_, err := ledger.TopUp(t.Context(), testAccount, "second", 51)
		assert.ErrorIs(t, err, ErrConflict)
		naive := naiveTable{view}
		view.SetFaults(memory.Faults{LoseReplies: 1})
		assert.NilError(t, naive.update(t.Context(), func(r *naiveRow) error { r.Paid += 50; return nil }))
		assert.Equal(t, must(naive.read(t.Context())).Paid, int64(100), "the naive top-up was applied once")
	})
}

// TestKeys serves a caller's key again up to the bound, refuses it past the
// bound, and refuses it for other content.
func TestKeys(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 10_000)
		defer f.stop()
		keyed := request("k", 100)
		keyed.Unique = false
		for i := range 1 + f.config.MaxReplays {
			assert.NilError(t, f.serveOne(f.nodes[i%2], keyed, 80))
		}
		assert.ErrorIs(t, f.serveOne(f.nodes[0], keyed, 80), ErrConflict)
		other := keyed
		other.Digest = "other"
		assert.ErrorIs(t, f.serveOne(f.nodes[1], other, 80), ErrConflict)
		b := f.balance(t)
		assert.Equal(t, b.Settled, int64(80))
		assert.NilError(t, f.checkBills())
	})
}

// TestReplayIsChargedTheDifference breaks off the first answer to a key early.
// The whole answer that follows is charged what it used beyond that, once, so
// that a caller gets no answer for the price of its first tokens.
func TestReplayIsChargedTheDifference(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 10_000)
		defer f.stop()
		keyed := request("k", 100)
		keyed.Unique = false
		for i, step := range []struct{ used, settled int64 }{{10, 10}, {80, 80}, {60, 80}, {90, 90}} {
			assert.NilError(t, f.serveOne(f.nodes[i%2], keyed, step.used))
			assert.Equal(t, f.balance(t).Settled, step.settled)
		}
		assert.NilError(t, f.checkBills())
	})
}
