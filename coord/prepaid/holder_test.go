package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a set of holders that share a store and a limit.
type fleet struct {
	store    *memory.Store
	limit    atomic.Int64
	revision atomic.Int64
	started  int
}

func newFleet(limit int64) *fleet {
	f := &fleet{store: memory.New()}
	f.setLimit(limit)
	return f
}

func (f *fleet) setLimit(tokens int64) {
	f.limit.Store(tokens)
	f.revision.Add(1)
}

// fastSettings returns settings for tests in real time: short timeouts, and no
// memory of shortages.
func fastSettings() prepaid.Settings {
	s := prepaid.DefaultSettings()
	s.MinStoreWait = time.Second
	s.CallTimeout = 100 * time.Millisecond
	s.RetryInterval = time.Millisecond
	s.ShortageFor = 0
	return s
}

// newHolder returns a holder on a new VM, without running it.
func (f *fleet) newHolder() *prepaid.Holder {
	f.started++
	return prepaid.NewHolder(prepaid.Options{
		Settings: fastSettings(), Store: f.store, VM: fmt.Sprint("vm-", f.started), Incarnation: fmt.Sprint("router-", f.started), Clock: clock.Real{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limit: func(string) (prepaid.Limit, bool) {
			return prepaid.Limit{Tokens: f.limit.Load(), Revision: f.revision.Load()}, true
		},
	})
}

// startHolder returns a holder that runs until the end of the test.
func (f *fleet) startHolder(t *testing.T) *prepaid.Holder {
	h := f.newHolder()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
		closeHolder(t, h)
	})
	return h
}

func closeHolder(t assert.TestingT, h *prepaid.Holder) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, h.Close(ctx))
}

// TestReserveWithinLimit: a reservation beyond the limit is refused, and one that
// fits after a settlement succeeds.
func TestReserveWithinLimit(t *testing.T) {
	f := newFleet(1000)
	h := f.newHolder()
	defer closeHolder(t, h)
	first, err := h.Reserve(context.Background(), "coop-7", 600)
	assert.NilError(t, err)
	_, err = h.Reserve(context.Background(), "coop-7", 600)
	assert.ErrorIs(t, err, prepaid.ErrExhausted)
	first.Settle(300)
	second, err := h.Reserve(context.Background(), "coop-7", 600)
	assert.NilError(t, err)
	second.Settle(600)
}

// TestClosedHolderReturnsGrant guards against tokens that stay in the grant of a
// holder that was closed, where no other holder can use them.
func TestClosedHolderReturnsGrant(t *testing.T) {
	f := newFleet(1000)
	h := f.newHolder()
	r, err := h.Reserve(context.Background(), "coop-7", 400)
	assert.NilError(t, err)
	r.Settle(100)
	closeHolder(t, h)
	next := f.newHolder()
	defer closeHolder(t, next)
	r, err = next.Reserve(context.Background(), "coop-7", 900)
	assert.NilError(t, err)
	r.Settle(900)
}

// TestCloseDoesNotWaitForRetry guards against a close that waits out the backoff of an
// unreachable store, longer than a router has for it, although the store is back.
func TestCloseDoesNotWaitForRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1_000_000)
		h := f.newHolder()
		r, err := h.Reserve(t.Context(), "coop-7", 1000)
		assert.NilError(t, err)
		r.Settle(10)
		f.store.SetFaults(memory.Faults{Outage: true})
		_, err = h.Reserve(t.Context(), "coop-7", 900_000)
		assert.ErrorIs(t, err, prepaid.ErrUnavailable)
		time.Sleep(time.Second) // the account waits for its next try
		f.store.SetFaults(memory.Faults{LoseResponses: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		assert.NilError(t, h.Close(ctx))
	})
}

// TestLostResponseGrantsOnce guards against a draw that is applied twice because
// the response to the first transaction was lost.
func TestLostResponseGrantsOnce(t *testing.T) {
	f := newFleet(1000)
	h := f.newHolder()
	f.store.SetFaults(memory.Faults{LoseResponses: 2})
	r, err := h.Reserve(context.Background(), "coop-7", 1000)
	assert.NilError(t, err)
	r.Settle(400)
	closeHolder(t, h)
	next := f.newHolder()
	defer closeHolder(t, next)
	r, err = next.Reserve(context.Background(), "coop-7", 600)
	assert.NilError(t, err)
	r.Settle(600)
}

// TestServesWithoutStore: while the store is unreachable, a request that fits into
// the grant is served, and a larger one fails with ErrUnavailable.
func TestServesWithoutStore(t *testing.T) {
	f := newFleet(1_000_000)
	h := f.newHolder()
	r, err := h.Reserve(context.Background(), "coop-7", 1000)
	assert.NilError(t, err)
	r.Settle(10)
	f.store.SetFaults(memory.Faults{Outage: true})
	r, err = h.Reserve(context.Background(), "coop-7", 900)
	assert.NilError(t, err)
	r.Settle(10)
	_, err = h.Reserve(context.Background(), "coop-7", 900_000)
	assert.ErrorIs(t, err, prepaid.ErrUnavailable)
	f.store.SetFaults(memory.Faults{})
	closeHolder(t, h)
}

// TestLoweredLimitReturnsGrants: after a limit is lowered, unspent tokens that were
// granted under the old limit are returned before more are reserved. Otherwise the
// grants together could exceed the new limit.
func TestLoweredLimitReturnsGrants(t *testing.T) {
	f := newFleet(10_000)
	a, b := f.startHolder(t), f.startHolder(t)
	for _, h := range []*prepaid.Holder{a, b} {
		r, err := h.Reserve(context.Background(), "coop-7", 2000)
		assert.NilError(t, err)
		r.Settle(1000)
	}
	f.setLimit(2500)
	a.LimitsChanged()
	b.LimitsChanged()
	_, err := a.Reserve(context.Background(), "coop-7", 900)
	assert.Assert(t, errors.Is(err, prepaid.ErrExhausted) || errors.Is(err, prepaid.ErrBusy), "%v", err)
	r, err := b.Reserve(context.Background(), "coop-7", 400)
	assert.NilError(t, err)
	r.Settle(400)
}

// killableStore is the store as one process reaches it. After dead is set, its reads
// and commits fail.
type killableStore struct {
	rowstore.Store
	dead atomic.Bool
}

func (s *killableStore) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	if s.dead.Load() {
		return rowstore.Result{}, rowstore.ErrUnavailable
	}
	return s.Store.Commit(ctx, tx)
}

func (s *killableStore) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if s.dead.Load() {
		return rowstore.Snapshot{}, rowstore.ErrUnavailable
	}
	return s.Store.Read(ctx, table, part)
}

// process is a holder with its unsettled reservations.
type process struct {
	*prepaid.Holder
	store        *killableStore
	stop         context.CancelFunc
	done         chan struct{}
	vm           int
	reservations []*prepaid.Reservation
}

// schedule runs processes on VMs and counts the tokens that callers received.
type schedule struct {
	*fleet
	// retryInterval replaces the holders' RetryInterval if it is not 0.
	retryInterval   time.Duration
	live            []*process
	dead            []*process
	spent, reserved int64
	failedReserves  int
}

// start starts a process on a VM, with times short enough for tests in real time.
func (s *schedule) start(vm int) *process {
	s.started++
	p := &process{store: &killableStore{Store: s.store}, vm: vm, done: make(chan struct{})}
	settings := fastSettings()
	settings.UnlockAfter, settings.UnlockWithin, settings.HeartbeatInterval = 30*time.Millisecond, 40*time.Millisecond, 5*time.Millisecond
	settings.CheckInterval, settings.ScarceFor, settings.MinStoreWait = 5*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
	if s.retryInterval > 0 {
		settings.RetryInterval = s.retryInterval
	}
	p.Holder = prepaid.NewHolder(prepaid.Options{
		Settings: settings, Store: p.store, VM: fmt.Sprint("vm-", vm), Incarnation: fmt.Sprint("i-", s.started), Clock: clock.Real{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limit: func(string) (prepaid.Limit, bool) {
			return prepaid.Limit{Tokens: s.limit.Load(), Revision: s.revision.Load()}, true
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() { defer close(p.done); p.Run(ctx) }()
	return p
}

// shutdown ends the goroutines of a process. With expectSuccess, it requires that
// the process returns its grant.
func (p *process) shutdown(t assert.TestingT, expectSuccess bool) {
	p.stop()
	<-p.done
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	if !expectSuccess {
		cancel()
	}
	err := p.Close(ctx)
	cancel()
	assert.Assert(t, !expectSuccess || err == nil, "%v", err)
}

// countReservedAsSpent counts what a process had reserved as spent, since its
// callers may have used all of it.
func (s *schedule) countReservedAsSpent(p *process) {
	for _, r := range p.reservations {
		s.reserved -= r.Tokens()
		s.spent += r.Tokens()
	}
	p.reservations = nil
}

// randomStep makes one random step with one of the processes.
func (s *schedule) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, len(s.live)-1).Draw(t, "process")
	p := s.live[i]
	steps := []string{"reserve", "reserve", "reserve", "reserve", "settle", "settle", "kill", "stop", "lose", "late", "applyLate", "outage", "heal", "heal", "raise", "pass", "pass"}
	switch rapid.SampledFrom(steps).Draw(t, "step") {
	case "reserve":
		tokens := rapid.Int64Range(1, 1500).Draw(t, "tokens")
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		r, err := p.Reserve(ctx, "coop-7", tokens)
		if err != nil {
			s.failedReserves++
			return
		}
		s.reserved += tokens
		p.reservations = append(p.reservations, r)
	case "settle":
		if len(p.reservations) > 0 {
			r := p.reservations[0]
			p.reservations = p.reservations[1:]
			used := rapid.Int64Range(0, r.Tokens()).Draw(t, "used")
			s.reserved -= r.Tokens()
			s.spent += used
			r.Settle(used)
		}
	case "kill":
		p.store.dead.Store(true)
		s.countReservedAsSpent(p)
		s.dead = append(s.dead, p)
		time.Sleep(time.Duration(rapid.IntRange(0, 60).Draw(t, "down")) * time.Millisecond)
		s.live[i] = s.start(p.vm)
	case "stop":
		for _, r := range p.reservations {
			r.Settle(r.Tokens())
		}
		s.countReservedAsSpent(p)
		s.store.SetFaults(memory.Faults{LoseResponses: 1})
		p.shutdown(t, true)
		s.live[i] = s.start(p.vm)
	case "lose":
		s.store.SetFaults(memory.Faults{LoseResponses: 2})
	case "late":
		s.store.SetFaults(memory.Faults{DeferCommits: 2})
	case "applyLate":
		s.store.ApplyDeferred()
	case "outage":
		s.store.SetFaults(memory.Faults{Outage: true})
	case "heal":
		s.store.SetFaults(memory.Faults{})
	case "raise":
		s.setLimit(s.limit.Load() + 500)
	case "pass":
		time.Sleep(time.Duration(rapid.IntRange(1, 60).Draw(t, "pass")) * time.Millisecond)
	}
}

// TestRandomSchedulesStayWithinLimit runs random reservations, process deaths and
// restarts on the same VM, lost responses, commits applied late, and outages
// shorter and longer than UnlockWithin, on several processes. It requires that
// spent and reserved tokens together never exceed the limit.
func TestRandomSchedulesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{fleet: newFleet(rapid.Int64Range(3000, 30_000).Draw(t, "limit"))}
		for vm := range 3 {
			s.live = append(s.live, s.start(vm))
		}
		defer func() {
			s.store.SetFaults(memory.Faults{})
			for _, p := range append(s.live, s.dead...) {
				p.shutdown(t, false)
			}
		}()
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			s.randomStep(t)
			assert.Assert(t, s.spent+s.reserved <= s.limit.Load(), "spent %d, reserved %d, limit %d", s.spent, s.reserved, s.limit.Load())
		}
	})
}

// TestSuccessorReclaimsInactiveTokens: a process that starts soon after the death
// of one that reached the store returns the tokens that its predecessor had not
// activated. One that starts later does not, since its predecessor may have spent
// everything.
func TestSuccessorReclaimsInactiveTokens(t *testing.T) {
	for _, test := range []struct {
		name      string
		downtime  time.Duration
		reclaimed bool
	}{{"soon", 0, true}, {"late", 60 * time.Millisecond, false}} {
		t.Run(test.name, func(t *testing.T) {
			s := &schedule{fleet: newFleet(100_000)}
			first := s.start(1)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 10 {
				r, err := first.Reserve(ctx, "coop-7", 1000)
				assert.NilError(t, err)
				r.Settle(1000)
			}
			time.Sleep(15 * time.Millisecond) // a heartbeat is written and headroom is drawn
			first.store.dead.Store(true)
			time.Sleep(test.downtime)
			second := s.start(1)
			defer second.shutdown(t, false)
			defer first.shutdown(t, false)
			time.Sleep(15 * time.Millisecond)
			r, err := second.Reserve(ctx, "coop-7", 70_000)
			assert.Equal(t, err == nil, test.reclaimed, "%v", err)
			if err == nil {
				r.Settle(70_000)
			}
		})
	}
}

// TestReadDoesNotSupersedePendingWrite: a write that returns tokens may be applied
// seconds after its response was lost, even if the rows were read unchanged in
// between. Until its outcome is known, the holder must not spend the tokens that the
// write returns.
func TestReadDoesNotSupersedePendingWrite(t *testing.T) {
	s := &schedule{fleet: newFleet(100_000), retryInterval: 60 * time.Millisecond}
	first, second := s.start(1), s.start(2)
	defer second.shutdown(t, false)
	defer first.shutdown(t, false)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 10 {
		r, err := first.Reserve(ctx, "coop-7", 1000)
		assert.NilError(t, err)
		r.Settle(1000)
	}
	time.Sleep(30 * time.Millisecond) // headroom is drawn
	s.store.SetFaults(memory.Faults{DeferCommits: 1000})
	s.recallAll(t)
	time.Sleep(150 * time.Millisecond) // a write that returns tokens is sent and deferred, and the recall has expired
	_, err := first.Reserve(ctx, "coop-7", 200_000)
	assert.Assert(t, err != nil, "the rows are read, and have too little")
	// The outcome of the writes is unknown for longer than UnlockWithin: everything
	// that is certainly in the grant may be spent.
	spent := int64(10_000)
	shortCtx, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	if r, err := first.Reserve(shortCtx, "coop-7", 40_000); err == nil {
		r.Settle(40_000)
		spent += 40_000
	}
	s.store.ApplyDeferred()
	s.store.SetFaults(memory.Faults{})
	if r, err := second.Reserve(ctx, "coop-7", 80_000); err == nil {
		r.Settle(80_000)
		spent += 80_000
	}
	assert.Assert(t, spent <= 100_000, "spent %d", spent)
}

// TestLostActivationKeepsTotal: after the response to an activation is lost, the
// next write conflicts on the holder's grant row only. The holder must keep the
// total as it last read or wrote it, since the conflict does not return it.
func TestLostActivationKeepsTotal(t *testing.T) {
	s := &schedule{fleet: newFleet(100_000)}
	first, second := s.start(1), s.start(2)
	defer second.shutdown(t, false)
	defer first.shutdown(t, false)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	spent := int64(0)
	spend := func(p *process, tokens int64) {
		r, err := p.Reserve(ctx, "coop-7", tokens)
		if err == nil {
			r.Settle(tokens)
			spent += tokens
		}
	}
	for range 120 {
		s.store.SetFaults(memory.Faults{LoseResponses: 1})
		spend(first, 700)
	}
	s.store.SetFaults(memory.Faults{})
	for range 60 {
		spend(second, 1000)
		spend(first, 1000)
	}
	assert.Assert(t, spent <= 100_000, "spent %d", spent)
}

// recallAll writes a recall request for all headroom, bypassing the injected
// faults.
func (s *schedule) recallAll(t *testing.T) {
	faults := s.store.SwapFaults(memory.Faults{})
	_, err := s.store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "prepaid_wanted", Name: "coop-7"}, Value: []byte(`{"store_ms":99999999,"all":true}`)}}})
	assert.NilError(t, err)
	s.store.SetFaults(faults)
}

func ExampleHolder() {
	h := prepaid.NewHolder(prepaid.Options{
		Settings: prepaid.DefaultSettings(), Store: memory.New(), VM: "vm-1", Incarnation: "router-1", Clock: clock.Real{},
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limit: func(string) (prepaid.Limit, bool) { return prepaid.Limit{Tokens: 1000, Revision: 1}, true },
	})
	ctx := context.Background()
	r, err := h.Reserve(ctx, "coop-7", 600)
	fmt.Println(r.Tokens(), err)
	_, err = h.Reserve(ctx, "coop-7", 600)
	fmt.Println(errors.Is(err, prepaid.ErrExhausted))
	r.Settle(250)
	fmt.Println(h.Close(ctx))
	// Output:
	// 600 <nil>
	// true
	// <nil>
}

var _ rowstore.Store = (*memory.Store)(nil)
