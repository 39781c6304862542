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
	"daisyslip.dev/daisyslip/internal/requests"
)

const testPool = "engines"

// fixture holds queues with one pool of one slot, which is in use. Since an earlier
// request took one second of the fake clock, the mean service time is one second.
type fixture struct {
	t           *testing.T
	clock       *clock.Fake
	queues      *Queues
	firstTicket *Ticket
	order       chan string // results of requests, in the order of their admission or refusal
}

// newFixture returns a fixture whose queues have settings s.
func newFixture(t *testing.T, s Settings) *fixture {
	f := &fixture{t: t, clock: clock.NewFake(time.Unix(1_800_000_000, 0)), order: make(chan string, 16)}
	f.queues = NewQueues(s, f.clock, metrics.NewSet())
	f.queues.SetSlots(testPool, 1)
	for range 2 {
		ticket, err := f.queues.Admit(t.Context(), Request{Pool: testPool})
		assert.NilError(t, err)
		if f.firstTicket != nil {
			break
		}
		f.clock.Advance(time.Second)
		ticket.Done("")
		f.firstTicket = ticket
	}
	return f
}

// enqueue starts a request that sends its name to order once it is admitted, or its
// name and failure if it is refused. It returns once the request is queued.
func (f *fixture) enqueue(ctx context.Context, name string, r Request) {
	f.t.Helper()
	r.Pool = testPool
	before := f.queues.Waiting(testPool)
	go func() {
		ticket, err := f.queues.Admit(ctx, r)
		if err != nil {
			f.order <- name + ": " + string(failure.CodeOf(err)) + " ran " + string(failure.As(err).Ran)
			return
		}
		f.order <- name
		ticket.Done("home")
	}()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.queues.Waiting(testPool) != before {
			return poll.Success()
		}
		return poll.Continue("%s does not wait", name)
	}, poll.WithDelay(time.Millisecond))
}

// deadlineIn returns the time of the fake clock after d.
func (f *fixture) deadlineIn(d time.Duration) time.Time { return f.clock.Now().Add(d) }

// expectOrder checks that the next messages on f.order are names.
func (f *fixture) expectOrder(names ...string) {
	f.t.Helper()
	for _, name := range names {
		assert.Equal(f.t, <-f.order, name)
	}
}

// freeSlot frees the slot at endpoint "home", which admits the next request.
func (f *fixture) freeSlot() { f.queues.releaseSlot(f.queues.pools[testPool], "home") }

// TestAdmissionOrder checks that requests are admitted by priority, then by
// deadline.
func TestAdmissionOrder(t *testing.T) {
	f := newFixture(t, DefaultSettings())
	f.enqueue(t.Context(), "batch", Request{Priority: requests.PriorityBatch, Deadline: f.deadlineIn(20 * time.Second)})
	f.enqueue(t.Context(), "later", Request{Priority: requests.PriorityNormal, Deadline: f.deadlineIn(30 * time.Second)})
	f.enqueue(t.Context(), "sooner", Request{Priority: requests.PriorityNormal, Deadline: f.deadlineIn(20 * time.Second)})
	f.enqueue(t.Context(), "urgent", Request{Priority: requests.PriorityUrgent, Deadline: f.deadlineIn(time.Minute)})
	f.freeSlot()
	f.expectOrder("urgent", "sooner", "later", "batch")
}

// TestWaiterWithCachedPromptIsAdmittedFirst checks that the waiter whose prompt the
// free endpoint has cached is preferred, unless the first waiter could then miss its
// deadline.
func TestWaiterWithCachedPromptIsAdmittedFirst(t *testing.T) {
	cachedBlocks := func(n int) func(string) int { return func(string) int { return n } }
	for name, c := range map[string]struct {
		first time.Duration
		want  []string
	}{
		"time to spare": {20 * time.Second, []string{"cached", "first"}},
		"none to spare": {1500 * time.Millisecond, []string{"first", "cached"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, DefaultSettings())
			f.enqueue(t.Context(), "first", Request{Deadline: f.deadlineIn(c.first), Affinity: cachedBlocks(0)})
			f.enqueue(t.Context(), "cached", Request{Deadline: f.deadlineIn(25 * time.Second), Affinity: cachedBlocks(9)})
			f.clock.Advance(600 * time.Millisecond)
			f.freeSlot()
			f.expectOrder(c.want...)
		})
	}
}

// TestRefusedRequestsAreNotExecuted checks that a request that can't meet its
// deadline is refused, that a full queue sheds batch requests first, and that a
// disconnected caller's request leaves the queue. Each of them must be reported as
// not executed.
func TestRefusedRequestsAreNotExecuted(t *testing.T) {
	s := DefaultSettings()
	s.MaxWaiting = 2
	f := newFixture(t, s)
	_, err := f.queues.Admit(t.Context(), Request{Pool: testPool, Deadline: f.deadlineIn(500 * time.Millisecond)})
	assert.Equal(t, failure.CodeOf(err), failure.Overloaded)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	assert.Assert(t, failure.As(err).RetryAfter > 0)

	f.enqueue(t.Context(), "batch", Request{Priority: requests.PriorityBatch, Deadline: f.deadlineIn(20 * time.Second)})
	ctx, cancel := context.WithCancel(t.Context())
	f.enqueue(ctx, "gone", Request{Priority: requests.PriorityNormal, Deadline: f.deadlineIn(20 * time.Second)})
	go func() {
		_, err := f.queues.Admit(t.Context(), Request{Pool: testPool, Priority: requests.PriorityUrgent, Deadline: f.deadlineIn(20 * time.Second)})
		assert.Check(t, err)
		f.order <- "urgent"
	}()
	f.expectOrder("batch: overloaded ran no")
	_, err = f.queues.Admit(t.Context(), Request{Pool: testPool, Priority: requests.PriorityBatch, Deadline: f.deadlineIn(20 * time.Second)})
	assert.Equal(t, failure.CodeOf(err), failure.Overloaded)
	cancel()
	f.expectOrder("gone: canceled ran no")
	f.freeSlot()
	f.expectOrder("urgent")
}
