package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
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

// fleet is a set of holders on one store.
type fleet struct {
	store   *memory.Store
	limit   atomic.Int64
	version atomic.Int64
	made    int
}

func newFleet(limit int64) *fleet {
	f := &fleet{store: memory.New()}
	f.setLimit(limit)
	return f
}

func (f *fleet) setLimit(tokens int64) {
	f.limit.Store(tokens)
	f.version.Add(1)
}

func quick() prepaid.Settings {
	s := prepaid.DefaultSettings()
	s.MinStoreWait = time.Second
	s.CallTimeout = 100 * time.Millisecond
	s.RetryInterval = time.Millisecond
	s.ShortageFor = 0
	return s
}

func (f *fleet) holder() *prepaid.Holder {
	f.made++
	return prepaid.NewHolder(prepaid.Options{
		Settings: quick(), Store: f.store, VM: fmt.Sprint("vm-", f.made), Incarnation: fmt.Sprint("router-", f.made), Clock: clock.Real{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limit: func(string) (prepaid.Limit, bool) {
			return prepaid.Limit{Tokens: f.limit.Load(), Revision: f.version.Load()}, true
		},
	})
}

// running returns a holder that runs until the end of the test.
func (f *fleet) running(t *testing.T) *prepaid.Holder {
	h := f.holder()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); h.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
		closeHolder(t, h)
	})
	return h
}

func closeHolder(t assert.TestingT, h *prepaid.Holder) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, h.Close(ctx))
}

func TestReserveWithinLimit(t *testing.T) {
	f := newFleet(1000)
	h := f.holder()
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

// TestClosedHolderReturnsGrant requires that a planned stop strands nothing.
func TestClosedHolderReturnsGrant(t *testing.T) {
	f := newFleet(1000)
	h := f.holder()
	r, err := h.Reserve(context.Background(), "coop-7", 400)
	assert.NilError(t, err)
	r.Settle(100)
	closeHolder(t, h)
	next := f.holder()
	defer closeHolder(t, next)
	r, err = next.Reserve(context.Background(), "coop-7", 900)
	assert.NilError(t, err)
	r.Settle(900)
}

// TestLostAnswersGrantOnce: a draw whose answer is lost is counted once.
func TestLostAnswersGrantOnce(t *testing.T) {
	f := newFleet(1000)
	h := f.holder()
	f.store.SetFaults(memory.Faults{LoseResponses: 2})
	r, err := h.Reserve(context.Background(), "coop-7", 1000)
	assert.NilError(t, err)
	r.Settle(400)
	closeHolder(t, h)
	next := f.holder()
	defer closeHolder(t, next)
	r, err = next.Reserve(context.Background(), "coop-7", 600)
	assert.NilError(t, err)
	r.Settle(600)
}

// TestServesWithoutStore: a grant outlasts the store, a larger request does not.
func TestServesWithoutStore(t *testing.T) {
	f := newFleet(1_000_000)
	h := f.holder()
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

// TestLowerLimitRecallsGrants: after a cut, what was granted under the old
// limit and is not spent goes back before more is reserved.
func TestLowerLimitRecallsGrants(t *testing.T) {
	f := newFleet(10_000)
	a, b := f.running(t), f.running(t)
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

// mortal is the store as one process reaches it; a dead process reaches it no
// more.
type mortal struct {
	rowstore.Store
	dead atomic.Bool
}

func (m *mortal) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	if m.dead.Load() {
		return rowstore.Result{}, rowstore.ErrUnavailable
	}
	return m.Store.Commit(ctx, tx)
}

func (m *mortal) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if m.dead.Load() {
		return rowstore.Snapshot{}, rowstore.ErrUnavailable
	}
	return m.Store.Read(ctx, table, part)
}

// process is a holder with what it has reserved.
type process struct {
	*prepaid.Holder
	store  *mortal
	stop   context.CancelFunc
	ended  chan struct{}
	vm     int
	opened []*prepaid.Reservation
}

// schedule plays processes on VMs and counts what callers got.
type schedule struct {
	*fleet
	// retryAfter replaces the holders' setting if it is not 0.
	retryAfter   time.Duration
	live         []*process
	dead         []*process
	spent, open  int64
	reserveFails int
}

func (s *schedule) start(vm int) *process {
	s.made++
	p := &process{store: &mortal{Store: s.store}, vm: vm, ended: make(chan struct{})}
	settings := quick()
	settings.UnlockAfter, settings.UnlockWithin, settings.HeartbeatInterval = 30*time.Millisecond, 40*time.Millisecond, 5*time.Millisecond
	settings.CheckInterval, settings.ScarceFor, settings.MinStoreWait = 5*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
	if s.retryAfter > 0 {
		settings.RetryInterval = s.retryAfter
	}
	p.Holder = prepaid.NewHolder(prepaid.Options{
		Settings: settings, Store: p.store, VM: fmt.Sprint("vm-", vm), Incarnation: fmt.Sprint("i-", s.made), Clock: clock.Real{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limit: func(string) (prepaid.Limit, bool) {
			return prepaid.Limit{Tokens: s.limit.Load(), Revision: s.version.Load()}, true
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() { defer close(p.ended); p.Run(ctx) }()
	return p
}

// end ends the goroutines of a process.
func (p *process) end(t assert.TestingT, clean bool) {
	p.stop()
	<-p.ended
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	if !clean {
		cancel()
	}
	err := p.Close(ctx)
	cancel()
	assert.Assert(t, !clean || err == nil, "%v", err)
}

// lose counts what a process had reserved as spent: its callers have it.
func (s *schedule) lose(p *process) {
	for _, r := range p.opened {
		s.open -= r.Tokens()
		s.spent += r.Tokens()
	}
	p.opened = nil
}

func (s *schedule) step(t *rapid.T) {
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
			s.reserveFails++
			return
		}
		s.open += tokens
		p.opened = append(p.opened, r)
	case "settle":
		if len(p.opened) > 0 {
			r := p.opened[0]
			p.opened = p.opened[1:]
			used := rapid.Int64Range(0, r.Tokens()).Draw(t, "used")
			s.open -= r.Tokens()
			s.spent += used
			r.Settle(used)
		}
	case "kill":
		p.store.dead.Store(true)
		s.lose(p)
		s.dead = append(s.dead, p)
		time.Sleep(time.Duration(rapid.IntRange(0, 60).Draw(t, "down")) * time.Millisecond)
		s.live[i] = s.start(p.vm)
	case "stop":
		for _, r := range p.opened {
			r.Settle(r.Tokens())
		}
		s.lose(p)
		s.store.SetFaults(memory.Faults{LoseResponses: 1})
		p.end(t, true)
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

// TestRandomSchedules plays reservations, deaths and restarts on the same VM,
// lost and late answers, and outages that are shorter and longer than the
// cut-off, on several processes: what was spent and is reserved never passes
// the limit.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{fleet: newFleet(rapid.Int64Range(3000, 30_000).Draw(t, "limit"))}
		for vm := range 3 {
			s.live = append(s.live, s.start(vm))
		}
		defer func() {
			s.store.SetFaults(memory.Faults{})
			for _, p := range append(s.live, s.dead...) {
				p.end(t, false)
			}
		}()
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			s.step(t)
			assert.Assert(t, s.spent+s.open <= s.limit.Load(), "spent %d, open %d, limit %d", s.spent, s.open, s.limit.Load())
		}
	})
}

// TestGrantOfConnectedPredecessorComesBack: a process that starts soon after
// the death of one that was in contact gives back what that had not cleared; one
// that starts later does not, since its predecessor may have spent everything.
func TestGrantOfConnectedPredecessorComesBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		down   time.Duration
		served bool
	}{{"soon", 0, true}, {"late", 60 * time.Millisecond, false}} {
		t.Run(c.name, func(t *testing.T) {
			s := &schedule{fleet: newFleet(100_000)}
			first := s.start(1)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 10 {
				r, err := first.Reserve(ctx, "coop-7", 1000)
				assert.NilError(t, err)
				r.Settle(1000)
			}
			time.Sleep(15 * time.Millisecond) // contact, and stock is drawn
			first.store.dead.Store(true)
			time.Sleep(c.down)
			second := s.start(1)
			defer second.end(t, false)
			defer first.end(t, false)
			time.Sleep(15 * time.Millisecond)
			r, err := second.Reserve(ctx, "coop-7", 70_000)
			assert.Equal(t, err == nil, c.served, "%v", err)
			if err == nil {
				r.Settle(70_000)
			}
		})
	}
}

// TestReadDoesNotEndALateWrite: a return whose answer is lost may be applied
// seconds later, also after the rows were read unchanged. Until then the holder
// may not spend what it has offered to return.
func TestReadDoesNotEndALateWrite(t *testing.T) {
	s := &schedule{fleet: newFleet(100_000), retryAfter: 60 * time.Millisecond}
	first, second := s.start(1), s.start(2)
	defer second.end(t, false)
	defer first.end(t, false)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 10 {
		r, err := first.Reserve(ctx, "coop-7", 1000)
		assert.NilError(t, err)
		r.Settle(1000)
	}
	time.Sleep(30 * time.Millisecond) // stock is drawn
	s.store.SetFaults(memory.Faults{DeferCommits: 1000})
	s.askAll(t)
	time.Sleep(150 * time.Millisecond) // a return is sent that comes late, and the asking is past
	_, err := first.Reserve(ctx, "coop-7", 200_000)
	assert.Assert(t, err != nil, "the rows are read, and have too little")
	// The writes are unknown for longer than the cut-off: all of the grant that
	// is surely there may be spent.
	spent := int64(10_000)
	short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	if r, err := first.Reserve(short, "coop-7", 40_000); err == nil {
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

// TestLostClearingKeepsTheTotal: a clearing whose answer is lost makes the next
// write conflict on the own row only; what the holder knows of the total stays as
// it was written last.
func TestLostClearingKeepsTheTotal(t *testing.T) {
	s := &schedule{fleet: newFleet(100_000)}
	first, second := s.start(1), s.start(2)
	defer second.end(t, false)
	defer first.end(t, false)
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

// askAll asks all holders to return their stock, past the store's faults.
func (s *schedule) askAll(t *testing.T) {
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
