package admission

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/work"
)

const testPool = "engines"

// bench is a queue with one place, which a first request has held for a
// second of the fake clock before.
type bench struct {
	t      *testing.T
	clock  *clock.Fake
	queues *Queues
	held   *Ticket
	order  chan string
}

func newBench(t *testing.T, s Settings) *bench {
	b := &bench{t: t, clock: clock.NewFake(time.Unix(1_800_000_000, 0)), order: make(chan string, 16)}
	b.queues = NewQueues(s, b.clock, metrics.NewSet())
	b.queues.SetSlots(testPool, 1)
	for range 2 {
		ticket, err := b.queues.Admit(t.Context(), Request{Pool: testPool})
		assert.NilError(t, err)
		if b.held != nil {
			break
		}
		b.clock.Advance(time.Second)
		ticket.Done("")
		b.held = ticket
	}
	return b
}

// wait queues a request that tells its name once it is admitted, and waits
// until it is in the queue.
func (b *bench) wait(ctx context.Context, name string, r Request) {
	b.t.Helper()
	r.Pool = testPool
	before := b.queues.Waiting(testPool)
	go func() {
		ticket, err := b.queues.Admit(ctx, r)
		if err != nil {
			b.order <- name + ": " + string(failure.CodeOf(err)) + " ran " + string(failure.As(err).Ran)
			return
		}
		b.order <- name
		ticket.Done("home")
	}()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if b.queues.Waiting(testPool) != before {
			return poll.Success()
		}
		return poll.Continue("%s does not wait", name)
	}, poll.WithDelay(time.Millisecond))
}

func (b *bench) in(d time.Duration) time.Time { return b.clock.Now().Add(d) }

func (b *bench) expect(names ...string) {
	b.t.Helper()
	for _, name := range names {
		assert.Equal(b.t, <-b.order, name)
	}
}

func (b *bench) free() { b.queues.releaseSlot(b.queues.pools[testPool], "home") }

// TestOrder admits by priority, then by deadline.
func TestOrder(t *testing.T) {
	b := newBench(t, DefaultSettings())
	b.wait(t.Context(), "batch", Request{Priority: work.PriorityBatch, Deadline: b.in(20 * time.Second)})
	b.wait(t.Context(), "later", Request{Priority: work.PriorityNormal, Deadline: b.in(30 * time.Second)})
	b.wait(t.Context(), "sooner", Request{Priority: work.PriorityNormal, Deadline: b.in(20 * time.Second)})
	b.wait(t.Context(), "urgent", Request{Priority: work.PriorityUrgent, Deadline: b.in(time.Minute)})
	b.free()
	b.expect("urgent", "sooner", "later", "batch")
}

// TestAffinity prefers the waiter that the free endpoint has cached, unless
// the first has no time to spare.
func TestAffinity(t *testing.T) {
	hits := func(n int) func(string) int { return func(string) int { return n } }
	for name, c := range map[string]struct {
		first time.Duration
		want  []string
	}{
		"time to spare": {20 * time.Second, []string{"cached", "first"}},
		"none to spare": {1500 * time.Millisecond, []string{"first", "cached"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, DefaultSettings())
			b.wait(t.Context(), "first", Request{Deadline: b.in(c.first), Affinity: hits(0)})
			b.wait(t.Context(), "cached", Request{Deadline: b.in(25 * time.Second), Affinity: hits(9)})
			b.clock.Advance(600 * time.Millisecond)
			b.free()
			b.expect(c.want...)
		})
	}
}

// TestEarlyRefusal refuses what cannot be on time, sheds batch work first
// when the queue is full, and drops who has gone. None of them has run.
func TestEarlyRefusal(t *testing.T) {
	s := DefaultSettings()
	s.MaxWaiting = 2
	b := newBench(t, s)
	_, err := b.queues.Admit(t.Context(), Request{Pool: testPool, Deadline: b.in(500 * time.Millisecond)})
	assert.Equal(t, failure.CodeOf(err), failure.Overloaded)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	assert.Assert(t, failure.As(err).RetryAfter > 0)

	b.wait(t.Context(), "batch", Request{Priority: work.PriorityBatch, Deadline: b.in(20 * time.Second)})
	ctx, cancel := context.WithCancel(t.Context())
	b.wait(ctx, "gone", Request{Priority: work.PriorityNormal, Deadline: b.in(20 * time.Second)})
	go func() {
		_, err := b.queues.Admit(t.Context(), Request{Pool: testPool, Priority: work.PriorityUrgent, Deadline: b.in(20 * time.Second)})
		assert.Check(t, err)
		b.order <- "urgent"
	}()
	b.expect("batch: overloaded ran no")
	_, err = b.queues.Admit(t.Context(), Request{Pool: testPool, Priority: work.PriorityBatch, Deadline: b.in(20 * time.Second)})
	assert.Equal(t, failure.CodeOf(err), failure.Overloaded)
	cancel()
	b.expect("gone: canceled ran no")
	b.free()
	b.expect("urgent")
}
