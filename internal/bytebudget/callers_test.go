package bytebudget

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// fakeCaller is a connection of a caller whose last progress was at the time given.
type fakeCaller struct {
	progress time.Time
	evicted  bool
	evict    func() // called once
}

func (f *fakeCaller) Evict() {
	f.evicted = true
	if f.evict != nil {
		f.evict()
		f.evict = nil
	}
}

func (f *fakeCaller) LastProgress() time.Time { return f.progress }

// TestVictimsAreStalledOrLarger guards against small requests with progress that make room for larger ones.
func TestVictimsAreStalledOrLarger(t *testing.T) {
	candidates := []candidate{
		{bytes: 100, number: 1}, {bytes: 300, number: 2}, {bytes: 300, number: 3}, {bytes: 400, number: 4},
		{bytes: 50, number: 5, idle: stalledAfter}, {bytes: 10, number: 6, idle: stalledAfter},
	}
	numbers := func(size, needed int64) (numbers []int64) {
		for _, c := range chooseVictims(append([]candidate(nil), candidates...), size, needed) {
			numbers = append(numbers, c.number)
		}
		return numbers
	}
	assert.DeepEqual(t, numbers(200, 50), []int64{5})
	assert.DeepEqual(t, numbers(200, 60), []int64{5, 6})
	assert.DeepEqual(t, numbers(200, 461), []int64{5, 6, 4, 3})
	assert.Assert(t, numbers(300, 461) == nil)
}

// TestProtectedRequestsAreNotEvicted guards against a request that is evicted after it was passed on, and against
// unread responses that take the room of requests.
func TestProtectedRequestsAreNotEvicted(t *testing.T) {
	b := New(1000, slog.New(slog.DiscardHandler), metrics.NewSet())
	served, stopped, ordinary := &fakeCaller{}, &fakeCaller{}, &fakeCaller{progress: time.Now().Add(time.Hour)}
	s, x, o := b.OpenCaller(served), b.OpenCaller(stopped), b.OpenCaller(ordinary)
	assert.NilError(t, s.Grow(600))
	assert.Assert(t, s.Protect())
	assert.Assert(t, errors.Is(s.Grow(200), ErrFull))
	assert.NilError(t, x.Grow(400))
	stopped.evict = x.Close
	assert.NilError(t, o.Grow(100))
	assert.Assert(t, stopped.evict == nil && !served.evicted)
	assert.Assert(t, !x.Protect())
	assert.Assert(t, errors.Is(o.Grow(400), ErrFull))
	for _, a := range []*Account{s, x, o} {
		a.Close()
	}
	assert.Equal(t, b.used, int64(0))
	assert.Equal(t, len(b.callers), 0)
}
