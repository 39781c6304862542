package budget

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// inBubble runs a test with virtual time.
func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// TestSpendsWholeBudget spends a budget at several holders until it is
// exhausted. Tokens that are stranded in the grants of other holders would
// refuse a request too early.
func TestSpendsWholeBudget(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(6, 100_000)
		defer f.killAll()
		served := 0
		for i := 0; ; i++ {
			err := f.serveOne(f.nodes[i%6], request(fmt.Sprint(i), 100), 100)
			if err != nil {
				assert.ErrorIs(t, err, ErrExhausted)
				break
			}
			served++
		}
		assert.Equal(t, served, 1000)
		assert.Equal(t, f.balance(t).Settled, int64(100_000))
	})
}

// TestCloseReturnsUnspentTokens closes all holders. Grants that are not
// returned would stay in doubt.
func TestCloseReturnsUnspentTokens(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 50_000)
		for i := range 30 {
			assert.NilError(t, f.serveOne(f.nodes[i%3], request(fmt.Sprint(i), 200), 120))
		}
		for _, n := range f.nodes {
			assert.NilError(t, n.Close(t.Context()))
		}
		b := f.balance(t)
		assert.Equal(t, b.Settled, int64(30*120))
		assert.Equal(t, b.Held+b.InDoubt, int64(0))
		assert.Equal(t, len(f.store.Dump(grantPrefix)), 0)
	})
}

// TestIdleGrantIsReturned stops using a budget. Its grant must be returned
// and its state dropped, without further writes, and the budget must be
// usable again.
func TestIdleGrantIsReturned(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 50_000)
		defer f.killAll()
		assert.NilError(t, f.serveOne(f.nodes[0], request("one", 200), 120))
		assert.Assert(t, f.balance(t).Held > 0)
		advance(f.config.SmallHoldings.IdleAfter + 2*f.config.IdleCheckInterval)
		assert.Equal(t, f.balance(t).Held, int64(0))
		before := f.store.Counts().RowsWritten
		advance(time.Hour)
		assert.Equal(t, f.store.Counts().RowsWritten, before)
		assert.Equal(t, len(f.nodes[0].accounts.All()), 0)
		assert.NilError(t, f.serveOne(f.nodes[0], request("two", 200), 30))
		assert.Equal(t, f.balance(t).Settled, int64(150))
	})
}

// TestReserveWaitsForOpenReservation lets a reservation wait for an open one
// that is cancelled. It must not be refused while tokens may be released, and
// must be refused as busy, not as exhausted, if they are not released in
// time.
func TestReserveWaitsForOpenReservation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1000)
		defer f.killAll()
		first, err := f.nodes[0].Reserve(t.Context(), request("a", 900))
		assert.NilError(t, err)
		go func() {
			advance(time.Second)
			first.Cancel()
		}()
		assert.NilError(t, f.serveOne(f.nodes[0], request("b", 900), 900))
		second, err := f.nodes[1].Reserve(t.Context(), request("c", 100))
		assert.NilError(t, err)
		_, err = f.nodes[0].Reserve(t.Context(), request("d", 100))
		assert.ErrorIs(t, err, ErrBusy)
		second.Cancel()
	})
}

// TestRefusalReasons checks the error of each kind of refusal.
func TestRefusalReasons(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 1000)
		defer f.killAll()
		n := f.nodes[0]
		_, err := n.Reserve(t.Context(), request("big", 1001))
		assert.ErrorIs(t, err, ErrExhausted)
		_, err = n.Reserve(t.Context(), Request{Account: Account{Workspace: "no", Budget: "no"}, Key: "k", Tokens: 1})
		assert.ErrorIs(t, err, ErrNotFound)
		n.client.SetFaults(memory.Faults{Outage: true})
		advance(10 * time.Second)
		_, err = n.Reserve(t.Context(), request("cut", 1000))
		assert.ErrorIs(t, err, ErrUnavailable)
		assert.NilError(t, f.checkConservation())
	})
}

// TestLostRepliesApplyOnce loses responses and requests of draws, bills and
// returns. A transaction that is applied twice, or not at all, would change
// the sum of settled tokens.
func TestLostRepliesApplyOnce(t *testing.T) {
	for _, faults := range []memory.Faults{{LoseResponses: 1}, {LoseResponses: 9}, {LoseRequests: 1}, {LoseRequests: 9}} {
		t.Run(fmt.Sprintf("replies=%d,requests=%d", faults.LoseResponses, faults.LoseRequests), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(2, 10_000)
				for i := range 12 {
					n := f.nodes[i%2]
					n.client.SetFaults(faults)
					if i%3 == 0 {
						f.store.ForgetOpIDs()
					}
					if err := f.serveOne(n, request(fmt.Sprint(i), 300), 100); err != nil {
						assert.Assert(t, isRefusal(err), "%v", err)
					}
				}
				advance(time.Minute)
				for _, n := range f.nodes {
					n.client.SetFaults(faults)
					assert.NilError(t, n.Close(context.Background()))
				}
				b := f.balance(t)
				assert.Equal(t, b.Settled, f.servedTokens())
				assert.Equal(t, b.Held, int64(0))
			})
		})
	}
}

// TestSettleBoundedWhilePlatformHangs guards against a settlement that waits
// for a platform that accepts calls and does not respond: the bill must be
// replicated to peers within a bound and written once the platform responds
// again.
func TestSettleBoundedWhilePlatformHangs(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 10_000)
		defer f.killAll()
		r, err := f.nodes[0].Reserve(t.Context(), request("silent", 100))
		assert.NilError(t, err)
		f.nodes[0].client.SetFaults(memory.Faults{Delay: time.Hour})
		start := time.Now()
		assert.NilError(t, r.Settle(t.Context(), 100))
		assert.Assert(t, time.Since(start) <= f.config.ReplicateAfter+platformRetryInterval, "took %s", time.Since(start))
		f.setOutage(false)
		advance(time.Minute)
		assert.Equal(t, f.balance(t).Settled, int64(100))
	})
}

// TestSettingsValidate checks that the defaults are valid and every wrong
// value is reported.
func TestSettingsValidate(t *testing.T) {
	assert.Equal(t, len(DefaultSettings().Validate()), 0)
	s := DefaultSettings()
	s.MaxWait, s.MaxBatch, s.SmallHoldings.MaxDrawShare, s.ServeOutages.MinReplicas = 0, 0, 2, s.Replicas+1
	wrong := map[string]bool{}
	for _, p := range s.Validate() {
		wrong[p.Path] = true
	}
	assert.DeepEqual(t, wrong, map[string]bool{
		"wait_max": true, "max_batch": true, "small_holdings.rest_share": true, "serve.min_copies": true,
	})
}

// TestOutageWithoutPeers checks reservations during an outage when no peer
// can store a bill: the small-holdings policy refuses them, and the serve
// policy serves them.
func TestOutageWithoutPeers(t *testing.T) {
	for _, serve := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1, 100_000)
			f.serveOutages = serve
			defer f.killAll()
			n := f.nodes[0]
			assert.NilError(t, f.serveOne(n, request("warm", 100), 50))
			f.setOutage(true)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err := f.serveFor(ctx, n, request("open", 100), 50, 0)
			assert.Equal(t, err == nil, serve, "%v", err)
			_, err = n.Reserve(t.Context(), request("next", 100))
			assert.Equal(t, err == nil, serve, "%v", err)
			f.setOutage(false)
			advance(time.Minute)
			assert.Equal(t, f.balance(t).Settled, f.servedTokens())
		})
	}
}

// TestCloseSkipsPrefetch closes a holder for which a draw ahead of need is
// requested. If the draw were executed after the grant is closed, its tokens
// would stay in doubt.
func TestCloseSkipsPrefetch(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 50_000)
		assert.NilError(t, f.serveOne(f.nodes[0], request("one", 200), 120))
		a := f.nodes[0].account(testAccount)
		a.mu.Lock()
		a.jobs.draw = true
		a.mu.Unlock()
		assert.NilError(t, f.nodes[0].Close(t.Context()))
		assert.Equal(t, f.balance(t).Held, int64(0))
	})
}

// TestFailedDrawRefusesOnlyEarlierWaiters lets a draw fail that began before
// the second waiter joined. The second waiter must not be refused, since the
// state that the draw read may be out of date for it.
func TestFailedDrawRefusesOnlyEarlierWaiters(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 50_000)
		defer f.killAll()
		a := f.nodes[0].account(testAccount)
		earlyWaiter := &waiter{tokens: 60_000, number: 1, result: make(chan error, 1)}
		lateWaiter := &waiter{tokens: 60_000, number: 2, result: make(chan error, 1)}
		a.mu.Lock()
		a.waiters, a.lastWaiter = []*waiter{earlyWaiter, lateWaiter}, 2
		a.refuseWaitersLocked(fmt.Errorf("%w: %w", ErrExhausted, errShortage), time.Now(), earlyWaiter.number)
		assert.Equal(t, len(a.waiters), 1)
		a.mu.Unlock()
		assert.ErrorIs(t, <-earlyWaiter.result, ErrExhausted)
		assert.Equal(t, len(lateWaiter.result), 0)
	})
}
