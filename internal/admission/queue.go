package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/requests"
)

// serviceTimeWeight is the weight of a new sample in the moving average of the
// service time.
const serviceTimeWeight = 0.05

// Queues admit requests to pools, with one queue for each pool. They are safe for
// concurrent use.
type Queues struct {
	settings Settings
	clock    clock.Clock
	metrics  *queueMetrics

	mu          sync.Mutex // guards all below
	pools       map[string]*queue
	lastArrival uint64 // arrival of the newest waiter of all pools
}

// queue is the state of one pool.
type queue struct {
	limit              int // requests that may be executed at once; 0 means no limit
	running            int // requests that are admitted and not done
	waiting            waiterHeap
	meanServiceSeconds float64 // moving average of the time from admission to Done
	samples            int     // service times in meanServiceSeconds
}

// queueMetrics counts the decisions of the queues, for all pools together.
type queueMetrics struct {
	admitted *metrics.Counter
	queued   *metrics.Counter
	refused  *metrics.Counter
	shed     *metrics.Counter
}

// NewQueues returns queues that admit every request at once until SetSlots limits
// a pool. It registers its metrics in set.
func NewQueues(s Settings, c clock.Clock, set *metrics.Set) *Queues {
	return &Queues{
		settings: s,
		clock:    c,
		pools:    make(map[string]*queue),
		metrics: &queueMetrics{
			admitted: set.NewCounter("daisyslip_admission_admitted_requests_total"),
			queued:   set.NewCounter("daisyslip_admission_queued_requests_total"),
			refused:  set.NewCounter("daisyslip_admission_refused_requests_total"),
			shed:     set.NewCounter("daisyslip_admission_shed_requests_total"),
		},
	}
}

// Request describes a request that is to be admitted.
type Request struct {
	Pool     string
	Priority requests.Priority
	Deadline time.Time
	// ExpectedDuration is the expected time of execution; 0 if unknown.
	ExpectedDuration time.Duration
	// Affinity returns how much of the request's prompt an endpoint has probably
	// cached; larger is better. It may be nil. It is called with the lock of the
	// queues held and must not call them.
	Affinity func(endpoint string) int
}

// Ticket is the slot of an admitted request. Done must be called exactly once.
type Ticket struct {
	queues    *Queues
	queue     *queue
	startedAt time.Time
}

// SetSlots sets how many requests a pool executes at once, to which
// Settings.Overcommit is added; 0 means no limit. Waiting requests that fit now are
// admitted.
func (q *Queues) SetSlots(pool string, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.poolLocked(pool)
	p.limit = slots + int(q.settings.Overcommit*float64(slots))
	q.admitLocked(p, "")
}

// Waiting returns the number of requests that wait for a pool.
func (q *Queues) Waiting(pool string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.poolLocked(pool).waiting)
}

// poolLocked returns the queue of a pool, creating it if needed.
func (q *Queues) poolLocked(name string) *queue {
	p := q.pools[name]
	if p == nil {
		p = &queue{}
		q.pools[name] = p
	}
	return p
}

// Admit waits until the request may be executed and returns its ticket. The error
// is a *failure.Error: failure.Overloaded if the request is refused, and
// failure.Deadline or failure.Canceled if ctx ends first. In each case the request
// was not executed.
func (q *Queues) Admit(ctx context.Context, r Request) (*Ticket, error) {
	q.mu.Lock()
	p := q.poolLocked(r.Pool)
	if p.hasFreeSlot() {
		p.running++
		q.mu.Unlock()
		q.metrics.admitted.Inc()
		return q.newTicket(p), nil
	}
	w := &waiter{priority: r.Priority, admitDeadline: r.Deadline.Add(-q.withMargin(r.ExpectedDuration)), affinity: r.Affinity, result: make(chan error, 1)}
	q.lastArrival++
	w.arrival = q.lastArrival
	if err := q.enqueueLocked(p, w); err != nil {
		q.mu.Unlock()
		q.metrics.refused.Inc()
		return nil, err
	}
	q.mu.Unlock()
	q.metrics.queued.Inc()
	return q.wait(ctx, p, w)
}

// newTicket returns the ticket of a request that is admitted now.
func (q *Queues) newTicket(p *queue) *Ticket {
	return &Ticket{queues: q, queue: p, startedAt: q.clock.Now()}
}

// hasFreeSlot reports whether a new request can be admitted without waiting.
func (p *queue) hasFreeSlot() bool { return p.limit == 0 || p.running < p.limit && len(p.waiting) == 0 }

// enqueueLocked adds a request to the queue if it is expected to meet its deadline.
// A full queue refuses the request that would be admitted last, either w or one of
// the waiters.
func (q *Queues) enqueueLocked(p *queue, w *waiter) error {
	wait := q.expectedWait(p, p.waiting.countAhead(w)+1)
	if wait > q.settings.MaxWait || q.clock.Now().Add(q.withMargin(wait)).After(w.admitDeadline) {
		return refusal("the pool is full and the answer could not be on time", wait)
	}
	if len(p.waiting) >= q.settings.MaxWaiting {
		last := p.waiting.lastToAdmit()
		if last.admittedBefore(w) {
			return refusal("the queue of the pool is full", wait)
		}
		q.shedLocked(p, last, wait)
	}
	heap.Push(&p.waiting, w)
	q.shedLateLocked(p)
	return nil
}

// withMargin multiplies an expected time by Settings.Margin.
func (q *Queues) withMargin(d time.Duration) time.Duration {
	return time.Duration(q.settings.Margin * float64(d))
}

// shedLateLocked refuses waiters from the end of the queue as long as the expected
// wait of the last one is too long, because requests of a higher priority have entered
// the queue before it.
func (q *Queues) shedLateLocked(p *queue) {
	for len(p.waiting) > 0 {
		wait := q.expectedWait(p, len(p.waiting))
		last := p.waiting.lastToAdmit()
		if wait <= q.settings.MaxWait && !q.clock.Now().Add(wait).After(last.admitDeadline) {
			return
		}
		q.shedLocked(p, last, wait)
	}
}

// shedLocked removes a waiter from the queue and refuses it. Wait is the expected
// wait, after which a retry may succeed.
func (q *Queues) shedLocked(p *queue, w *waiter, wait time.Duration) {
	heap.Remove(&p.waiting, w.index)
	q.metrics.shed.Inc()
	w.result <- refusal("work of a higher priority took the place in the queue", wait)
}

// refusal returns the error of a request that is not admitted. It asks for a retry
// after the expected wait, but not before one second.
func refusal(message string, wait time.Duration) error {
	return failure.New(failure.Overloaded, "admit request", "", message+"; try again later").WithRetry(max(wait, time.Second))
}

// expectedWait returns the expected time until the n-th waiter is admitted,
// counted from 1. The caller holds q.mu.
func (q *Queues) expectedWait(p *queue, n int) time.Duration {
	if p.limit == 0 {
		return 0
	}
	return time.Duration(p.meanServiceSeconds * float64(n) / float64(p.limit) * float64(time.Second))
}

// wait waits until a queued request is admitted or refused or ctx ends. If it is
// admitted just when ctx ends, its slot is released again.
func (q *Queues) wait(ctx context.Context, p *queue, w *waiter) (*Ticket, error) {
	select {
	case err := <-w.result:
		return q.resultTicket(p, err)
	case <-ctx.Done():
	}
	q.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&p.waiting, w.index)
		q.mu.Unlock()
		return nil, contextFailure(ctx)
	}
	q.mu.Unlock()
	if err := <-w.result; err != nil {
		return nil, err
	}
	q.releaseSlot(p, "")
	return nil, contextFailure(ctx)
}

// contextFailure returns the error of a request whose context ended in the queue.
func contextFailure(ctx context.Context) error {
	code := failure.Deadline
	if ctx.Err() == context.Canceled {
		code = failure.Canceled
	}
	return failure.Wrap(code, "wait in the queue", "", ctx.Err()).WithRetry(time.Second)
}

// resultTicket turns the result of a waiter into the result of Admit.
func (q *Queues) resultTicket(p *queue, refused error) (*Ticket, error) {
	if refused != nil {
		return nil, refused
	}
	q.metrics.admitted.Inc()
	return q.newTicket(p), nil
}

// Done records the end of the request's execution and admits the next request.
// Endpoint is the id of the endpoint at which a slot has become free, or empty if
// that is unknown. The first service times of a pool have equal weight in the mean;
// later ones have serviceTimeWeight.
func (t *Ticket) Done(endpoint string) {
	q := t.queues
	q.mu.Lock()
	elapsed := q.clock.Now().Sub(t.startedAt).Seconds()
	t.queue.samples++
	t.queue.meanServiceSeconds += max(serviceTimeWeight, 1/float64(t.queue.samples)) * (elapsed - t.queue.meanServiceSeconds)
	q.mu.Unlock()
	q.releaseSlot(t.queue, endpoint)
}

// releaseSlot frees the slot of a request and admits waiters. Endpoint is that of
// Ticket.Done.
func (q *Queues) releaseSlot(p *queue, endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.running--
	q.admitLocked(p, endpoint)
}

// admitLocked admits waiters while slots are free, and refuses waiters that can no
// longer meet their deadline. Endpoint is that of Ticket.Done.
func (q *Queues) admitLocked(p *queue, endpoint string) {
	for len(p.waiting) > 0 && (p.limit == 0 || p.running < p.limit) {
		w := q.popNextLocked(p, endpoint)
		if q.clock.Now().After(w.admitDeadline) {
			q.metrics.shed.Inc()
			w.result <- refusal("the answer can no longer be on time", q.expectedWait(p, 1))
			continue
		}
		p.running++
		w.result <- nil
	}
}

// popNextLocked removes the waiter to admit next from the queue. Among the first
// LookAhead waiters of equal priority it prefers the one of whose prompt the free
// endpoint has cached most. At a full pool a request can only be placed at the
// endpoint that becomes free, so this is the only way to place requests where their
// prefixes are cached. The first waiter is not overtaken if it could miss its
// deadline after one more mean service time.
func (q *Queues) popNextLocked(p *queue, endpoint string) *waiter {
	first := heap.Pop(&p.waiting).(*waiter)
	meanService := time.Duration(p.meanServiceSeconds * float64(time.Second))
	if endpoint == "" || first.affinity == nil || q.clock.Now().Add(meanService).After(first.admitDeadline) {
		return first
	}
	best, mostCached := first, first.affinity(endpoint)
	removed := []*waiter{first}
	for len(removed) < q.settings.LookAhead && len(p.waiting) > 0 && p.waiting[0].priority == first.priority {
		w := heap.Pop(&p.waiting).(*waiter)
		removed = append(removed, w)
		if cached := w.affinity(endpoint); cached > mostCached {
			best, mostCached = w, cached
		}
	}
	for _, w := range removed {
		if w != best {
			heap.Push(&p.waiting, w)
		}
	}
	return best
}
