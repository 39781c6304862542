package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

const leaseName = "endpoint-1"

// contender is a process that competes for the lease. It has its own monotonic
// clock, which drifts, and its own wall clock, which can jump. It competes with
// the package's lease and with a naive one at the same time.
type contender struct {
	clock      *clock.Fake
	clockRate  float64 // of the monotonic clock, 1 is exact
	wallOffset time.Duration
	client     *memory.Client

	lessor   *Table
	lease    *Lease
	observed observedRow

	naive            *naiveLease
	storeUnreachable bool  // calls of the store would fail
	pendingFencing   int64 // fencing number of an action that was checked but not sent yet, or 0
}

// naiveLease is a lease whose row holds the wall clock time at which it expires.
// Contenders compare that time with their own wall clocks.
type naiveLease struct {
	table      platform.Table
	id         string
	validUntil time.Time
}

type naiveRow struct {
	Holder string    `json:"holder"`
	Until  time.Time `json:"until"`
}

// acquire acquires the lease if it has expired by the local wall clock now, or
// renews it if it is held.
func (n *naiveLease) acquire(now time.Time) {
	rows, err := n.table.Get(context.Background(), "naive")
	if err != nil {
		return
	}
	var r naiveRow
	if rows[0].Version != 0 && json.Unmarshal(rows[0].Value, &r) != nil {
		return
	}
	if r.Holder != "" && r.Holder != n.id && now.Before(r.Until) {
		return
	}
	r = naiveRow{Holder: n.id, Until: now.Add(DefaultSettings().Duration)}
	value, _ := json.Marshal(r)
	_, err = n.table.Commit(context.Background(), platform.Txn{
		OpID:   fmt.Sprintf("%s-%d", n.id, rows[0].Version),
		Conds:  []platform.Cond{{Key: "naive", Version: rows[0].Version}},
		Writes: []platform.Write{{Key: "naive", Value: value}},
	})
	if err == nil {
		n.validUntil = r.Until
	}
}

// wallNow returns the time of the contender's wall clock.
func (c *contender) wallNow() time.Time { return c.clock.Now().Add(c.wallOffset) }

// endpoint executes the actions of lease holders. One that checks fencing numbers
// refuses those below the highest number that it has seen.
type endpoint struct {
	highest      int64
	staleActions int // actions executed after an action of a newer holder
}

// execute executes an action with the given fencing number, unless checks is set and
// the number is below the highest.
func (e *endpoint) execute(fencing int64, checks bool) {
	if fencing < e.highest {
		if !checks {
			e.staleActions++
		}
		return
	}
	e.highest = fencing
}

// newContender returns a contender whose monotonic clock runs at rate.
func newContender(store *memory.Store, id string, rate float64) *contender {
	c := &contender{clock: clock.NewFake(time.Unix(1_000_000, 0)), clockRate: rate, client: store.NewClient()}
	c.lessor = NewTable(DefaultSettings(), c.client, c.clock, id, event.Discard{})
	c.naive = &naiveLease{table: c.client, id: id}
	return c
}

// violations counts what went wrong in one schedule.
type violations struct {
	doubleHolders, naiveDoubleHolders int // steps after which two contenders held the lease
	staleActionsChecked               int // actions of an old holder that an endpoint executed although it checks
	staleActionsUnchecked             int // the same at an endpoint that does not check
	acquired                          int // leases acquired
}

// runSchedule runs random steps of three contenders: time passes, they acquire or
// renew the lease, act, lose the store, and their wall clocks jump.
func runSchedule(t *testing.T, random *rand.Rand) (result violations) {
	store := memory.NewStore(clock.Real{})
	contenders := []*contender{newContender(store, "one", 1), newContender(store, "two", 1.008), newContender(store, "three", 0.999)}
	var checking, plain endpoint
	ctx := context.Background()
	for range 80 {
		c := contenders[random.IntN(len(contenders))]
		switch random.IntN(8) {
		case 0, 1:
			elapsed := time.Duration(random.IntN(6000)) * time.Millisecond
			for _, each := range contenders {
				each.clock.Advance(time.Duration(float64(elapsed) * each.clockRate))
			}
		case 2, 3, 4:
			if c.storeUnreachable {
				continue // every call of the store would fail
			}
			if c.lease != nil && c.lease.Valid() {
				c.lease.Renew(ctx) // an error is one of the faults that the schedule injects
			} else if l, _ := c.lessor.tryAcquire(ctx, leaseName, &c.observed); l != nil {
				c.lease = l
				result.acquired++
			}
			c.naive.acquire(c.wallNow())
		case 5: // the check and, at a later step, the action: a pause in between
			if c.pendingFencing > 0 {
				checking.execute(c.pendingFencing, true)
				plain.execute(c.pendingFencing, false)
				c.pendingFencing = 0
			} else if c.lease != nil && c.lease.Valid() {
				c.pendingFencing = c.lease.Fencing()
			}
		case 6:
			if !c.storeUnreachable && random.IntN(3) == 0 && c.lease != nil && c.pendingFencing == 0 && c.lease.Valid() {
				c.lease.Release(ctx)
			}
			c.storeUnreachable = random.IntN(4) == 0
		case 7:
			c.wallOffset += time.Duration(random.IntN(120)-60) * time.Second
		}
		holders, naiveHolders := 0, 0
		for _, each := range contenders {
			if each.lease != nil && each.lease.Valid() {
				holders++
			}
			if each.wallNow().Before(each.naive.validUntil) {
				naiveHolders++
			}
		}
		if holders > 1 {
			result.doubleHolders++
		}
		if naiveHolders > 1 {
			result.naiveDoubleHolders++
		}
	}
	result.staleActionsChecked, result.staleActionsUnchecked = checking.staleActions, plain.staleActions
	return result
}

// TestOneHolderAtATime guards against two holders of one lease, under drifting
// clocks, wall clock jumps and outages of the store. A lease that compares wall
// clocks has two holders in these schedules. A holder that is paused between check
// and action can act late; an endpoint that checks fencing numbers must refuse it.
func TestOneHolderAtATime(t *testing.T) {
	const seed, schedules = 6, 2000
	var sum violations
	for s := range schedules {
		result := runSchedule(t, rand.New(rand.NewPCG(seed, uint64(s))))
		if result.doubleHolders > 0 || result.staleActionsChecked > 0 {
			t.Fatalf("seed %d schedule %d: %+v", seed, s, result)
		}
		sum.naiveDoubleHolders += result.naiveDoubleHolders
		sum.staleActionsUnchecked += result.staleActionsUnchecked
		sum.acquired += result.acquired
	}
	t.Logf("seed %d, %d schedules, %d leases taken: two holders at once: ours 0, naive %d; late acts of a paused holder: refused by all endpoints that check, carried out %d times by those that do not",
		seed, schedules, sum.acquired, sum.naiveDoubleHolders, sum.staleActionsUnchecked)
	if sum.naiveDoubleHolders == 0 || sum.staleActionsUnchecked == 0 || sum.acquired < schedules {
		t.Fatalf("the schedules do not provoke all faults: %+v", sum)
	}
}

// mustLease returns l and fails the test if it was not acquired.
func mustLease(t *testing.T, l *Lease, err error) *Lease {
	t.Helper()
	if err != nil || l == nil {
		t.Fatalf("lease %v, %v", l, err)
	}
	return l
}

// TestRenewAfterLostResponseAndRelease guards against a lease that counts as lost
// because the response to a renewal was lost, and against a released lease that can
// still be renewed or does not become free.
func TestRenewAfterLostResponseAndRelease(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	one, two := newContender(store, "one", 1), newContender(store, "two", 1)
	ctx := context.Background()
	l, err := one.lessor.TryAcquire(ctx, leaseName)
	first := mustLease(t, l, err)
	if l, err := two.lessor.TryAcquire(ctx, leaseName); l != nil || err != nil {
		t.Fatalf("a held lease was acquired: %v, %v", l, err)
	}
	// The response to a renewal is lost and its caller gives up. The next
	// renewal finds the row of the first one and must succeed.
	one.client.SetFaults(memory.Faults{LoseResponses: -1})
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	if err := first.Renew(short); err == nil {
		t.Fatal("a renewal without a response succeeded")
	}
	cancel()
	one.client.SetFaults(memory.Faults{})
	if err := first.Renew(ctx); err != nil {
		t.Fatal(err)
	}
	if err := first.Release(ctx); err != nil || first.Valid() {
		t.Fatalf("release: %v, valid %t", err, first.Valid())
	}
	l, err = two.lessor.TryAcquire(ctx, leaseName)
	if second := mustLease(t, l, err); second.Fencing() != first.Fencing()+1 {
		t.Fatalf("fencing numbers %d, %d", first.Fencing(), second.Fencing())
	}
	if err := first.Renew(ctx); !errors.Is(err, ErrLost) {
		t.Fatalf("renewal after release: %v", err)
	}
}

// TestKeepReturnsErrLostInOutage guards against a holder that uses its lease while
// it cannot renew it, after which another contender acquires the lease.
func TestKeepReturnsErrLostInOutage(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	client := store.NewClient()
	s := Settings{Duration: 300 * time.Millisecond, Margin: 50 * time.Millisecond, PollInterval: 10 * time.Millisecond}
	l, err := NewTable(s, client, clock.Real{}, "one", event.Discard{}).Acquire(context.Background(), leaseName)
	mustLease(t, l, err)
	client.SetFaults(memory.Faults{Outage: true})
	if err := l.Keep(context.Background()); !errors.Is(err, ErrLost) || l.Valid() {
		t.Fatalf("keep: %v, valid %t", err, l.Valid())
	}
	// Another contender acquires the lease once the whole duration has elapsed.
	l, err = NewTable(s, store.NewClient(), clock.Real{}, "two", event.Discard{}).Acquire(context.Background(), leaseName)
	if mustLease(t, l, err).Fencing() != 2 {
		t.Fatalf("fencing number %d", l.Fencing())
	}
}

func Example() {
	ctx := context.Background()
	store := memory.NewStore(clock.Real{})
	lessor := NewTable(DefaultSettings(), store.NewClient(), clock.Real{}, "entry-1", event.Discard{})
	l, err := lessor.Acquire(ctx, "endpoint engine-3")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("order with fencing number", l.Fencing(), "valid", l.Valid())
	fmt.Println(l.Release(ctx))
	// Output:
	// order with fencing number 1 valid true
	// <nil>
}
