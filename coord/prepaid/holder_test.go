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
	s.WaitMax = 200 * time.Millisecond
	s.CallTimeout = 100 * time.Millisecond
	s.RetryAfter = time.Millisecond
	s.ShortFor = 0
	return s
}

func (f *fleet) holder() *prepaid.Holder {
	f.made++
	return prepaid.NewHolder(prepaid.Options{
		Settings: quick(), Store: f.store, Incarnation: fmt.Sprint("router-", f.made), Clock: clock.Real{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Limit: func(string) (prepaid.Limit, bool) {
			return prepaid.Limit{Tokens: f.limit.Load(), Revision: f.version.Load()}, true
		},
	})
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
	f.store.SetFaults(memory.Faults{LoseAnswers: 2})
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
	a, b := f.holder(), f.holder()
	defer closeHolder(t, a)
	defer closeHolder(t, b)
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

// TestRandomSchedules plays draws, spending, deaths, lost and late answers and
// outages on several holders: what was spent and is reserved never passes the
// limit.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Int64Range(2000, 20_000).Draw(t, "limit"))
		var live []*prepaid.Holder
		var spent, open int64
		type held struct {
			r      *prepaid.Reservation
			holder *prepaid.Holder
		}
		var reservations []held
		for range 3 {
			live = append(live, f.holder())
		}
		defer func() {
			f.store.SetFaults(memory.Faults{})
			for _, h := range live {
				closeHolder(t, h)
			}
		}()
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"reserve", "reserve", "reserve", "settle", "settle", "kill", "lose", "late", "applyLate", "outage", "heal", "raise", "close"}).Draw(t, "step") {
			case "reserve":
				h := rapid.SampledFrom(live).Draw(t, "holder")
				tokens := rapid.Int64Range(1, 1500).Draw(t, "tokens")
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				r, err := h.Reserve(ctx, "coop-7", tokens)
				cancel()
				if err == nil {
					open += tokens
					reservations = append(reservations, held{r, h})
				}
			case "settle":
				if len(reservations) > 0 {
					r := reservations[0]
					reservations = reservations[1:]
					used := rapid.Int64Range(0, r.r.Tokens()).Draw(t, "used")
					open -= r.r.Tokens()
					spent += used
					r.r.Settle(used)
				}
			case "kill":
				// The process is gone: what was open may have been spent. It is
				// never heard of again; its goroutines are ended at the end.
				i := rapid.IntRange(0, len(live)-1).Draw(t, "victim")
				kept := reservations[:0]
				for _, r := range reservations {
					if r.holder == live[i] {
						open -= r.r.Tokens()
						spent += r.r.Tokens()
						continue
					}
					kept = append(kept, r)
				}
				reservations = kept
				victim := live[i]
				live[i] = f.holder()
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				f.store.SetFaults(memory.Faults{Outage: true})
				_ = victim.Close(ctx)
				f.store.SetFaults(memory.Faults{})
			case "lose":
				f.store.SetFaults(memory.Faults{LoseAnswers: 2})
			case "late":
				f.store.SetFaults(memory.Faults{ApplyLate: 1})
			case "applyLate":
				f.store.ApplyHeld()
			case "outage":
				f.store.SetFaults(memory.Faults{Outage: true})
			case "heal":
				f.store.SetFaults(memory.Faults{})
			case "raise":
				f.setLimit(f.limit.Load() + 500)
			case "close":
				i := rapid.IntRange(0, len(live)-1).Draw(t, "closing")
				for _, r := range reservations {
					if r.holder == live[i] {
						open -= r.r.Tokens()
						spent += r.r.Tokens()
						r.r.Settle(r.r.Tokens())
					}
				}
				kept := reservations[:0]
				for _, r := range reservations {
					if r.holder != live[i] {
						kept = append(kept, r)
					}
				}
				reservations = kept
				f.store.SetFaults(memory.Faults{LoseAnswers: 1})
				closeHolder(t, live[i])
				live[i] = f.holder()
			}
			assert.Assert(t, spent+open <= f.limit.Load(), "spent %d, open %d, limit %d", spent, open, f.limit.Load())
		}
	})
}

func ExampleHolder() {
	h := prepaid.NewHolder(prepaid.Options{
		Settings: prepaid.DefaultSettings(), Store: memory.New(), Incarnation: "router-1", Clock: clock.Real{},
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
