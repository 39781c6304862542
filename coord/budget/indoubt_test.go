package budget

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// newLostHolder serves requests at the first of three holders, leaves one
// reservation open, and cuts the holder off from platform and peers, as a
// paused or dead VM is.
func newLostHolder(t *testing.T) (*fleet, *node, Reservation) {
	t.Helper()
	f := newFleet(3, 10_000)
	n := f.nodes[0]
	for i := range 5 {
		assert.NilError(t, f.serveOne(n, request(fmt.Sprint(i), 100), 80))
	}
	openReservation, err := n.Reserve(t.Context(), request("open", 100))
	assert.NilError(t, err)
	n.client.SetFaults(memory.Faults{Outage: true})
	f.network.Remove(n.id)
	n.dead.Store(true)
	return f, n, openReservation
}

// TestResolveInDoubtGrant resolves a lost holder's grant in each way and
// checks the balance. A repeated call must return the first result, and more
// than the tokens in doubt must not be charged.
func TestResolveInDoubtGrant(t *testing.T) {
	for _, c := range []struct {
		name       string
		resolution Resolution
		want       error
		returned   func(remaining int64) int64
	}{
		{"burned", Resolution{}, nil, func(int64) int64 { return 0 }},
		{"gone, nothing spent", Resolution{ProcessDead: true}, nil, func(remaining int64) int64 { return remaining }},
		{"gone, one open request spent", Resolution{ProcessDead: true, Spent: 100}, nil, func(remaining int64) int64 { return remaining - 100 }},
		{"more than the rest", Resolution{ProcessDead: true, Spent: 10_000}, ErrConflict, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f, n, _ := newLostHolder(t)
				defer func() { n.Kill(); f.killAll() }()
				inDoubt := must(f.ledger.InDoubtGrants(t.Context()))
				assert.Equal(t, len(inDoubt), 1)
				assert.Equal(t, inDoubt[0].Billed, int64(400))
				assert.Equal(t, f.balance(t).InDoubt, inDoubt[0].Remaining)
				c.resolution.Account, c.resolution.Incarnation = testAccount, inDoubt[0].Incarnation
				first, err := f.ledger.ResolveInDoubtGrant(t.Context(), c.resolution)
				assert.ErrorIs(t, err, c.want)
				if err != nil {
					return
				}
				assert.Equal(t, first.Returned, c.returned(inDoubt[0].Remaining))
				repeated, err := f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: inDoubt[0].Incarnation})
				assert.NilError(t, err)
				assert.DeepEqual(t, repeated, first)
				b := f.balance(t)
				assert.Equal(t, b.InDoubt, int64(0))
				assert.Equal(t, b.Settled, 400+first.WrittenOff)
			})
		})
	}
}

// TestResolveRefusesLiveHolder guards against resolving the grant of a live
// member, which would fence a router that serves, and a grant that does not
// exist.
func TestResolveRefusesLiveHolder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 10_000)
		defer f.killAll()
		assert.NilError(t, f.serveOne(f.nodes[0], request("a", 100), 80))
		_, err := f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: "inc-1"})
		assert.ErrorIs(t, err, ErrConflict)
		_, err = f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: "none"})
		assert.ErrorIs(t, err, ErrNotFound)
	})
}

// TestHolderPausedDuringResolutionIsFenced writes off the grant of a paused
// holder. When the holder resumes, it can serve only what was written off: it
// must neither draw nor bill, and its bills must be stored as late ones.
func TestHolderPausedDuringResolutionIsFenced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f, n, openReservation := newLostHolder(t)
		defer func() { n.Kill(); f.killAll() }()
		must(f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: n.id.Incarnation}))
		for i := 0; ; i++ {
			if err := f.serveOne(f.nodes[1], request(fmt.Sprint("others", i), 100), 100); err != nil {
				assert.ErrorIs(t, err, ErrExhausted)
				break
			}
		}
		n.client.SetFaults(memory.Faults{})
		f.served["open"] = 100
		assert.ErrorIs(t, openReservation.Settle(t.Context(), 100), ErrFenced)
		_, err := n.Reserve(t.Context(), request("more", 100))
		assert.ErrorIs(t, err, ErrFenced)
		assert.Assert(t, n.Fenced())
		assert.NilError(t, f.checkConservation())
		assert.Equal(t, f.billCounts(latePrefix)["open"], 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, n.Close(ctx), ErrFenced)
	})
}

// TestFlushedReplicasCountInResolution guards against charging served
// requests as unknown: the replicas of bills of a holder that died during an
// outage are written before its grant is resolved, and then count as bills.
func TestFlushedReplicasCountInResolution(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 10_000)
		defer f.killAll()
		f.serveOutages = true
		assert.NilError(t, f.serveOne(f.nodes[0], request("warm", 100), 80))
		f.setOutage(true)
		assert.NilError(t, f.serveOne(f.nodes[0], request("away", 100), 70))
		f.kill(f.nodes[0])
		f.setOutage(false)
		assert.NilError(t, f.nodes[1].FlushReplicas(t.Context(), "inc-1"))
		resolved := must(f.ledger.ResolveInDoubtGrant(t.Context(), Resolution{Account: testAccount, Incarnation: "inc-1", ProcessDead: true}))
		assert.Equal(t, resolved.Billed, int64(150))
		assert.Equal(t, f.balance(t).Settled, int64(150))
		assert.NilError(t, f.checkBills())
	})
}

// TestTopUpAppliedOnce guards against a top-up that is applied twice after
// lost responses, as the naive version does, or whose id is accepted with
// another amount.
func TestTopUpAppliedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(0, 100)
		client := f.store.NewClient()
		ledger := NewLedger(client)
		for _, faults := range []memory.Faults{{LoseResponses: 3}, {LoseRequests: 3}, {}} {
			client.SetFaults(faults)
			b, err := ledger.TopUp(t.Context(), testAccount, "second", 50)
			assert.NilError(t, err)
			assert.Equal(t, b.Paid, int64(150))
			f.store.ForgetOpIDs()
		}
		_, err := ledger.TopUp(t.Context(), testAccount, "second", 51)
		assert.ErrorIs(t, err, ErrConflict)
		naive := naiveTable{client}
		client.SetFaults(memory.Faults{LoseResponses: 1})
		assert.NilError(t, naive.update(t.Context(), func(r *naiveRow) error { r.Paid += 50; return nil }))
		assert.Equal(t, must(naive.read(t.Context())).Paid, int64(100), "the naive top-up was applied once")
	})
}

// TestCallerKeyReplayLimit serves a caller's key again up to the limit.
// Retries past the limit, or with other content, must be refused, and the key
// must be charged once.
func TestCallerKeyReplayLimit(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 10_000)
		defer f.killAll()
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

// TestReplayChargesOnlyExtraTokens interrupts the first response to a key
// early. Later complete responses must be charged what they used beyond the
// tokens already charged, so that a caller cannot get a complete response for
// the price of its first tokens.
func TestReplayChargesOnlyExtraTokens(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 10_000)
		defer f.killAll()
		keyed := request("k", 100)
		keyed.Unique = false
		for i, step := range []struct{ used, settled int64 }{{10, 10}, {80, 80}, {60, 80}, {90, 90}} {
			assert.NilError(t, f.serveOne(f.nodes[i%2], keyed, step.used))
			assert.Equal(t, f.balance(t).Settled, step.settled)
		}
		assert.NilError(t, f.checkBills())
	})
}
