package prepaid_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/prepaid"
)

// fleetOf returns members on numbered VMs, spread over domains.
func fleetOf(routers, domains int) []prepaid.Member {
	var members []prepaid.Member
	for i := range routers {
		members = append(members, prepaid.Member{
			ID: bus.ID{VM: fmt.Sprint("vm-", i), Incarnation: "1"}, Domain: fmt.Sprint("zone-", i%domains), Weight: 1,
		})
	}
	return members
}

// TestLendersAreInDifferentDomains: the lenders of a workspace are one per failure
// domain, whatever the order in which a router knows the members.
func TestLendersAreInDifferentDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		members := fleetOf(rapid.IntRange(domains, 60).Draw(t, "routers"), domains)
		ranked := prepaid.RankLenders(members, "coop-7", 10)
		seen := map[string]bool{}
		for _, m := range ranked[:domains] {
			assert.Assert(t, !seen[m.Domain], "two lenders in %s", m.Domain)
			seen[m.Domain] = true
		}
		shuffled := rapid.Permutation(members).Draw(t, "order")
		assert.DeepEqual(t, prepaid.RankLenders(shuffled, "coop-7", 10), ranked)
	})
}

// TestLenderCandidatesAreFew guards against heartbeats and grant rows that grow with
// the number of routers: 195 routers and 40 workspaces use as many lenders as 60.
func TestLenderCandidatesAreFew(t *testing.T) {
	lenders := func(routers int) int {
		used := map[string]bool{}
		for w := range 40 {
			for _, m := range prepaid.RankLenders(fleetOf(routers, 5), fmt.Sprint("coop-", w), 40)[:5] {
				used[m.ID.VM] = true
			}
		}
		return len(used)
	}
	assert.Assert(t, lenders(195) <= 25, "%d", lenders(195))
	assert.Equal(t, lenders(195), lenders(60))
}

// TestMemberThatLeavesChangesItsDomainOnly: when a member leaves, the lenders in other
// failure domains stay the same.
func TestMemberThatLeavesChangesItsDomainOnly(t *testing.T) {
	members := fleetOf(30, 3)
	for w := range 40 {
		workspace := fmt.Sprint("coop-", w)
		before := prepaid.RankLenders(members, workspace, 40)[:3]
		after := prepaid.RankLenders(members[1:], workspace, 40)[:3]
		for i := range before {
			if before[i].Domain != members[0].Domain {
				assert.Equal(t, after[i].ID, before[i].ID)
			}
		}
	}
}

// lenderOf returns a router that is a lender of the workspace and one that is not.
func (s *simulation) lenderOf(workspace string) (lender, borrower *router) {
	ranked := prepaid.RankLenders(s.members, workspace, 1)
	for _, r := range s.routers {
		switch r.id {
		case ranked[0].ID:
			lender = r
		case ranked[1].ID:
		default:
			borrower = r
		}
	}
	return lender, borrower
}

// newPoolSimulation starts nine routers with one workspace whose lenders have grants.
func newPoolSimulation(t *testing.T, tokens int64) *simulation {
	s := newSimulation(t, 9, randomSeed())
	s.setLimit("coop-0", tokens)
	time.Sleep(4 * time.Second)
	return s
}

// TestBorrowerReservesAtLender: a router that is no lender opens no grant, and what it
// does not use is available to others.
func TestBorrowerReservesAtLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		_, borrower := s.lenderOf("coop-0")
		for range 20 {
			reservation, err := borrower.Reserve(context.Background(), "coop-0", 60_000)
			assert.NilError(t, err)
			assert.Assert(t, reservation.Lender() != borrower.id)
			reservation.Settle(100)
			time.Sleep(100 * time.Millisecond)
		}
		rows, _ := s.readRows("prepaid", "coop-0")
		_, found := rows["grant/"+borrower.vm+"/"+borrower.incarnation]
		assert.Assert(t, !found, "the borrower has a grant")
	})
}

// TestNextLenderServesWhenOneDoesNotRespond: a lender that is cut off from its peers,
// or dead, delays a reservation by no more than the wait for its response.
func TestNextLenderServesWhenOneDoesNotRespond(t *testing.T) {
	for _, kind := range []string{"cut off", "dead"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPoolSimulation(t, 1_000_000)
				defer s.shutdown()
				lender, borrower := s.lenderOf("coop-0")
				if kind == "dead" {
					lender.link.dead.Store(true)
				} else {
					lender.peers.cut.Store(true)
				}
				for range 20 {
					started := time.Now()
					reservation, err := borrower.Reserve(context.Background(), "coop-0", 5000)
					assert.NilError(t, err)
					assert.Assert(t, time.Since(started) < 150*time.Millisecond, "took %v", time.Since(started))
					reservation.Settle(5000)
				}
			})
		})
	}
}

// TestBorrowersDrawThemselvesWithoutLenders: routers that are cut off from all peers
// but reach the store serve from grants of their own.
func TestBorrowersDrawThemselvesWithoutLenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 1_000_000)
		defer s.shutdown()
		_, borrower := s.lenderOf("coop-0")
		s.forEachRouter(func(_ int, r *router) { r.peers.cut.Store(true) })
		for n := range 20 {
			started := time.Now()
			reservation, err := borrower.Reserve(context.Background(), "coop-0", 5000)
			assert.NilError(t, err)
			assert.Equal(t, reservation.Lender(), borrower.id)
			reservation.Settle(5000)
			// Only the first request waits for the lenders.
			assert.Assert(t, n == 0 || time.Since(started) < 100*time.Millisecond, "request %d took %v", n, time.Since(started))
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// The messages between routers, as another version of the program may send them.
type (
	rawReserve struct {
		ID        uint64 `cbor:"1,keyasint"`
		Workspace string `cbor:"2,keyasint"`
		Tokens    int64  `cbor:"3,keyasint"`
	}
	rawLoan struct {
		ID   uint64 `cbor:"1,keyasint"`
		Used int64  `cbor:"2,keyasint"`
	}
	rawSettle struct {
		Loans []rawLoan `cbor:"1,keyasint"`
	}
	rawOutcome struct {
		Outcome uint8 `cbor:"1,keyasint"`
	}
)

// TestLoanMessagesCountOnce guards against messages that come twice, late or in the
// wrong order: a reservation is made at most once, not after its settlement, and only
// the first settlement counts, with at most the tokens that were lent.
func TestLoanMessagesCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		lender, borrower := s.lenderOf("coop-0")
		ctx := context.Background()
		reserve := func(id uint64) error {
			_, err := bus.Call[rawReserve, rawOutcome](ctx, borrower.peers, lender.id, "prepaid.reserve", rawReserve{ID: id, Workspace: "coop-0", Tokens: 30_000})
			return err
		}
		settle := func(id uint64, used int64) {
			_, err := bus.Call[rawSettle, struct{}](ctx, borrower.peers, lender.id, "prepaid.settle", rawSettle{Loans: []rawLoan{{id, used}}})
			assert.NilError(t, err)
		}
		// Settled before it was made.
		settle(1001, 0)
		assert.ErrorContains(t, reserve(1001), "settled before")
		// Made twice.
		assert.NilError(t, reserve(1002))
		assert.ErrorContains(t, reserve(1002), "settled before")
		// Settled twice, with more than was lent.
		settle(1002, 50_000)
		settle(1002, 0)
		// 30,000 of 100,000 are spent.
		for spent := int64(30_000); spent < 100_000; spent += 10_000 {
			reservation, err := lender.Reserve(ctx, "coop-0", 10_000)
			assert.NilError(t, err, "%d are spent", spent)
			reservation.Settle(10_000)
			time.Sleep(500 * time.Millisecond) // for the other lender to return tokens
		}
		time.Sleep(3 * time.Second) // recalls are not repeated before
		_, err := lender.Reserve(ctx, "coop-0", 1)
		assert.ErrorIs(t, err, prepaid.ErrExhausted)
	})
}

// TestInvalidLoanRequestsAreRefused guards against messages that would add tokens to a
// total, or open an account of any name: they are refused and change nothing.
func TestInvalidLoanRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		lender, borrower := s.lenderOf("coop-0")
		ctx := context.Background()
		for id, r := range []rawReserve{{Workspace: "coop-0", Tokens: -50_000}, {Workspace: "coop-0", Tokens: 1 << 60}, {Workspace: "", Tokens: 5}, {Workspace: "unknown", Tokens: 5}} {
			r.ID = uint64(5000 + id)
			response, err := bus.Call[rawReserve, rawOutcome](ctx, borrower.peers, lender.id, "prepaid.reserve", r)
			assert.Assert(t, err != nil || response.Outcome != 0, "%+v was granted", r)
		}
		_, err := bus.Call[rawSettle, struct{}](ctx, borrower.peers, lender.id, "prepaid.settle", rawSettle{Loans: []rawLoan{{5000, -50_000}, {7777, -1}}})
		assert.NilError(t, err)
		for _, body := range [][]byte{nil, {0xff}, []byte("no CBOR"), {0xa1, 0x01, 0x61, 0x78}} {
			for _, kind := range []bus.Kind{"prepaid.reserve", "prepaid.settle"} {
				_, err := borrower.peers.Request(ctx, lender.id, kind, body)
				assert.Assert(t, err != nil, "%s %x was accepted", kind, body)
			}
		}
		_, err = lender.Reserve(ctx, "coop-0", 100_001)
		assert.ErrorIs(t, err, prepaid.ErrExhausted)
	})
}

// TestUnansweredReservationsAreReleased guards against tokens that stay reserved at a
// lender because its response was lost, or came after another lender had served the
// request.
func TestUnansweredReservationsAreReleased(t *testing.T) {
	for _, kind := range []string{"response lost", "response late"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPoolSimulation(t, 100_000)
				defer s.shutdown()
				lender, borrower := s.lenderOf("coop-0")
				if kind == "response lost" {
					borrower.peers.loses.Store(1000)
				} else {
					lender.peers.delay.Store(int64(200 * time.Millisecond))
				}
				for range 5 {
					if reservation, err := borrower.Reserve(context.Background(), "coop-0", 15_000); err == nil {
						reservation.Settle(0)
					}
				}
				borrower.peers.loses.Store(0)
				lender.peers.delay.Store(0)
				time.Sleep(4 * time.Second)
				reservation, err := lender.Reserve(context.Background(), "coop-0", 100_000)
				assert.NilError(t, err)
				reservation.Settle(0)
			})
		})
	}
}

// TestSuccessorOfLenderCountsLoans: tokens that a lender lent, and whose settlement
// comes after its death, count as spent; they are not granted again.
func TestSuccessorOfLenderCountsLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		_, borrower := s.lenderOf("coop-0")
		reservation, err := borrower.Reserve(context.Background(), "coop-0", 60_000)
		assert.NilError(t, err)
		for vm, r := range s.routers {
			if r.id == reservation.Lender() {
				s.kill(vm, 500*time.Millisecond)
			}
		}
		time.Sleep(3 * time.Second)
		reservation.Settle(0)
		time.Sleep(time.Second)
		_, err = borrower.Reserve(context.Background(), "coop-0", 60_000)
		assert.ErrorIs(t, err, prepaid.ErrExhausted)
	})
}

// TestStoppingLenderReturnsUnusedTokens: a lender that stops as planned waits for
// nothing, counts open loans as spent, and returns the rest.
func TestStoppingLenderReturnsUnusedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		_, borrower := s.lenderOf("coop-0")
		open, err := borrower.Reserve(context.Background(), "coop-0", 20_000)
		assert.NilError(t, err)
		for vm, r := range s.routers {
			if r.id == open.Lender() {
				s.stopGracefully(vm)
			}
		}
		time.Sleep(150 * time.Millisecond) // before the next process on the VM starts
		rows, _ := s.readRows("prepaid", "coop-0")
		_, found := rows["grant/"+open.Lender().VM+"/"+open.Lender().Incarnation]
		assert.Assert(t, !found, "the grant of the stopped lender is still open")
		time.Sleep(2 * time.Second)
		open.Settle(20_000)
		reservation, err := borrower.Reserve(context.Background(), "coop-0", 80_000)
		assert.NilError(t, err)
		reservation.Settle(80_000)
	})
}

// TestRaisedLimitEndsScarcity guards against lenders that still keep no headroom after
// an operator raised the limit of a workspace whose tokens were short.
func TestRaisedLimitEndsScarcity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		for range 12 { // until tokens are recalled
			if reservation, err := s.router(int(s.random.int64n(9))).Reserve(context.Background(), "coop-0", 8000); err == nil {
				reservation.Settle(8000)
			}
		}
		s.sendRecallOf("coop-0", true)
		time.Sleep(100 * time.Millisecond)
		s.setLimit("coop-0", 1_000_000)
		time.Sleep(1500 * time.Millisecond)
		rows, _ := s.readRows("prepaid", "coop-0")
		assert.Assert(t, rows["total"].Granted > 140_000, "granted %d of 1,000,000", rows["total"].Granted)
	})
}

// TestExhaustedTotalIsRefusedAtOnce guards against callers of an exhausted workspace
// that wait for a lender each time, which a slow link makes long. A raised limit and
// smaller reservations are not affected.
func TestExhaustedTotalIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 100_000)
		defer s.shutdown()
		_, borrower := s.lenderOf("coop-0")
		_, err := borrower.Reserve(context.Background(), "coop-0", 150_000)
		assert.ErrorIs(t, err, prepaid.ErrExhausted)
		started := time.Now()
		_, err = borrower.Reserve(context.Background(), "coop-0", 160_000)
		assert.ErrorIs(t, err, prepaid.ErrExhausted)
		assert.Equal(t, time.Since(started), time.Duration(0))
		reservation, err := borrower.Reserve(context.Background(), "coop-0", 20_000)
		assert.NilError(t, err)
		reservation.Settle(0)
		s.setLimit("coop-0", 1_000_000)
		reservation, err = borrower.Reserve(context.Background(), "coop-0", 150_000)
		assert.NilError(t, err)
		reservation.Settle(0)
	})
}

// TestBacklogDoesNotDelayLaterReservations: without the store no tokens are unlocked
// at first, and then hardly faster than they are used. The reservations that come
// after that are in time; those that waited from before are served after them.
func TestBacklogDoesNotDelayLaterReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 10_000_000)
		defer s.shutdown()
		const interval = 20 * time.Millisecond
		start := time.Now()
		var requests sync.WaitGroup
		var late, served atomic.Int64
		for n := range 700 { // 14 s
			time.Sleep(interval)
			since := time.Since(start) - 6*time.Second
			if n == 300 {
				s.partitionAll(true)
			}
			requests.Go(func() {
				arrived := time.Now()
				reservation, err := s.router(n%9).Reserve(context.Background(), "coop-0", 5000)
				if err != nil {
					return
				}
				if since > 2500*time.Millisecond {
					served.Add(1)
					if time.Since(arrived) > 400*time.Millisecond {
						late.Add(1)
					}
				}
				time.Sleep(100 * time.Millisecond)
				reservation.Settle(5000)
			})
		}
		requests.Wait()
		assert.Assert(t, served.Load() > 250 && late.Load() < served.Load()/20, "%d served of 275, %d of them late", served.Load(), late.Load())
	})
}

// TestLenderWeightPrefersLargeVMs: a VM with four times the capacity lends far more often
// than a small one, and an unknown capacity counts as one core.
func TestLenderWeightPrefersLargeVMs(t *testing.T) {
	assert.Equal(t, prepaid.LenderWeight(0.8), 16*prepaid.LenderWeight(0.2))
	assert.Equal(t, prepaid.LenderWeight(0), prepaid.LenderWeight(1))
	members := fleetOf(40, 1)
	for i := range members {
		members[i].Weight = prepaid.LenderWeight(0.2)
	}
	for i := range 4 {
		members[i].Weight = prepaid.LenderWeight(0.8)
	}
	large := 0
	for w := range 200 {
		for i := range 4 {
			if prepaid.RankLenders(members, fmt.Sprint("coop-", w), 320)[0].ID == members[i].ID {
				large++
			}
		}
	}
	assert.Assert(t, large > 100, "the 4 large ones of 40 lend %d of 200 workspaces", large)
}

// TestStoreReturnsWithoutFallbackGrants guards against a fleet whose routers all draw
// grants of their own when the store returns, because their lenders had too few tokens
// during the outage. Their writes conflict with those of the lenders, whose borrowers then
// fall back again, so that the fleet stays overloaded long after the outage.
func TestStoreReturnsWithoutFallbackGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 0, randomSeed())
		defer s.shutdown()
		s.partitionTurn = make(chan struct{}, 1)
		const routers = 60
		s.routers = make([]*router, routers)
		for vm := range routers {
			s.start(vm)
		}
		s.setLimit("coop-0", 60_000_000)
		time.Sleep(4 * time.Second)
		var requests sync.WaitGroup
		var due, inTime atomic.Int64
		mostGrants := 0
		start := time.Now()
		outageEnd := 11 * time.Second
		for n := 0; time.Since(start) < 16*time.Second; n++ {
			now := time.Since(start)
			s.partitionAll(now > 4*time.Second && now < outageEnd)
			interval := 10 * time.Millisecond
			if now > 4*time.Second {
				interval = 4 * time.Millisecond // more than is unlocked in the outage
			}
			time.Sleep(interval)
			if now > outageEnd+time.Second && n%50 == 0 {
				rows, _ := s.readRows("prepaid", "coop-0")
				mostGrants = max(mostGrants, len(rows)-1)
			}
			requests.Go(func() {
				arrived := time.Now()
				reservation, err := s.router(n%routers).Reserve(context.Background(), "coop-0", 5000)
				counts := now > outageEnd+time.Second
				if counts {
					due.Add(1)
				}
				if err != nil {
					return
				}
				if counts && time.Since(arrived) <= latencyObjective {
					inTime.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
				reservation.Settle(5000)
			})
		}
		requests.Wait()
		lenders := prepaid.LenderCount(60_000_000, 3)
		t.Logf("%d of %d in time, %d grants open", inTime.Load(), due.Load(), mostGrants)
		assert.Assert(t, inTime.Load() >= due.Load()*98/100, "%d of %d in time", inTime.Load(), due.Load())
		assert.Assert(t, mostGrants <= 2*lenders, "%d grants open for %d lenders", mostGrants, lenders)
	})
}
