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

// TestSpendToTheEnd spends a budget at several holders until it is exhausted:
// nothing is refused before the last request's worth, and nothing is lost.
func TestSpendToTheEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(6, 100_000)
		defer f.stop()
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

// TestCloseReturnsTheRest closes all holders: only bills remain.
func TestCloseReturnsTheRest(t *testing.T) {
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

// TestIdleGrantGoesBack leaves a budget alone: its grant returns.
func TestIdleGrantGoesBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 50_000)
		defer f.stop()
		assert.NilError(t, f.serveOne(f.nodes[0], request("one", 200), 120))
		assert.Assert(t, f.balance(t).Held > 0)
		pause(f.config.SmallHoldings.IdleAfter + 2*f.config.IdleCheckInterval)
		assert.Equal(t, f.balance(t).Held, int64(0))
		before := f.store.Counts().RowsWritten
		pause(time.Hour)
		assert.Equal(t, f.store.Counts().RowsWritten, before)
		assert.Equal(t, len(f.nodes[0].accounts.All()), 0)
		assert.NilError(t, f.serveOne(f.nodes[0], request("two", 200), 30))
		assert.Equal(t, f.balance(t).Settled, int64(150))
	})
}

// TestWaitForOpenReservation lets a reservation wait for one that settles
// below its worst case.
func TestWaitForOpenReservation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(2, 1000)
		defer f.stop()
		first, err := f.nodes[0].Reserve(t.Context(), request("a", 900))
		assert.NilError(t, err)
		go func() {
			pause(time.Second)
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

// TestRefusals names the reason of each refusal.
func TestRefusals(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 1000)
		defer f.stop()
		n := f.nodes[0]
		_, err := n.Reserve(t.Context(), request("big", 1001))
		assert.ErrorIs(t, err, ErrExhausted)
		_, err = n.Reserve(t.Context(), Request{Account: Account{Workspace: "no", Budget: "no"}, Key: "k", Tokens: 1})
		assert.ErrorIs(t, err, ErrNotFound)
		n.view.SetFaults(memory.Faults{Outage: true})
		pause(10 * time.Second)
		_, err = n.Reserve(t.Context(), request("cut", 1000))
		assert.ErrorIs(t, err, ErrUnavailable)
		assert.NilError(t, f.check())
	})
}

// TestLostReplies loses replies and requests of draws, bills, returns and
// top-ups; each is applied once.
func TestLostReplies(t *testing.T) {
	for _, faults := range []memory.Faults{{LoseReplies: 1}, {LoseReplies: 9}, {LoseRequests: 1}, {LoseRequests: 9}} {
		t.Run(fmt.Sprintf("replies=%d,requests=%d", faults.LoseReplies, faults.LoseRequests), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(2, 10_000)
				for i := range 12 {
					n := f.nodes[i%2]
					n.view.SetFaults(faults)
					if i%3 == 0 {
						f.store.ForgetOperations()
					}
					if err := f.serveOne(n, request(fmt.Sprint(i), 300), 100); err != nil {
						assert.Assert(t, refused(err), "%v", err)
					}
				}
				pause(time.Minute)
				for _, n := range f.nodes {
					n.view.SetFaults(faults)
					assert.NilError(t, n.Close(context.Background()))
				}
				b := f.balance(t)
				assert.Equal(t, b.Settled, f.servedTotal())
				assert.Equal(t, b.Held, int64(0))
			})
		})
	}
}

// TestSilentPlatform settles within a bound while the platform answers
// nothing, and writes the bill when it is back.
func TestSilentPlatform(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(3, 10_000)
		defer f.stop()
		r, err := f.nodes[0].Reserve(t.Context(), request("silent", 100))
		assert.NilError(t, err)
		f.nodes[0].view.SetFaults(memory.Faults{Delay: time.Hour})
		start := time.Now()
		assert.NilError(t, r.Settle(t.Context(), 100))
		assert.Assert(t, time.Since(start) <= f.config.ReplicateAfter+platformPause, "took %s", time.Since(start))
		f.cut(false)
		pause(time.Minute)
		assert.Equal(t, f.balance(t).Settled, int64(100))
	})
}

// TestSettings accepts the defaults and names every wrong value.
func TestSettings(t *testing.T) {
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

// TestAloneInAnOutage refuses, with small holdings, what no peer could keep the
// bill of, and serves it with the serve lean.
func TestAloneInAnOutage(t *testing.T) {
	for _, serve := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(1, 100_000)
			f.serve = serve
			defer f.stop()
			n := f.nodes[0]
			assert.NilError(t, f.serveOne(n, request("warm", 100), 50))
			f.cut(true)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err := f.serveFor(ctx, n, request("open", 100), 50, 0)
			assert.Equal(t, err == nil, serve, "%v", err)
			_, err = n.Reserve(t.Context(), request("next", 100))
			assert.Equal(t, err == nil, serve, "%v", err)
			f.cut(false)
			pause(time.Minute)
			assert.Equal(t, f.balance(t).Settled, f.servedTotal())
		})
	}
}

// TestCloseForgetsDrawsAheadOfNeed stops a holder that still has a draw ahead
// of need to do: nothing is left with it.
func TestCloseForgetsDrawsAheadOfNeed(t *testing.T) {
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

// TestDrawRefusesOnlyWhoWaited has a draw fail that began before the second
// waiter joined: what the draw saw says nothing of the second one's chances.
func TestDrawRefusesOnlyWhoWaited(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(1, 50_000)
		defer f.stop()
		a := f.nodes[0].account(testAccount)
		early := &waiter{tokens: 60_000, number: 1, result: make(chan error, 1)}
		late := &waiter{tokens: 60_000, number: 2, result: make(chan error, 1)}
		a.mu.Lock()
		a.waiters, a.joined = []*waiter{early, late}, 2
		a.refuseLocked(fmt.Errorf("%w: %w", ErrExhausted, errShort), time.Now(), early.number)
		assert.Equal(t, len(a.waiters), 1)
		a.mu.Unlock()
		assert.ErrorIs(t, <-early.result, ErrExhausted)
		assert.Equal(t, len(late.result), 0)
	})
}
