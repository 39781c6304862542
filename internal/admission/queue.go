package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/work"
)

// serviceWeight is the weight of a new sample in the mean service time.
const serviceWeight = 0.05

// Queues admit requests to pools. They are safe for concurrent use.
type Queues struct {
	settings Settings
	clock    clock.Clock
	metrics  *queueMetrics

	mu    sync.Mutex // guards all below
	pools map[string]*queue
	order uint64
}

// queue is the state of one pool.
type queue struct {
	limit   int // requests that may run at once; 0 is no bound
	running int
	waiting waiterHeap
	service float64 // seconds that a request runs, moving average
	samples int
}

// queueMetrics count what the queues decide.
type queueMetrics struct {
	admitted *metrics.Counter
	waited   *metrics.Counter
	refused  *metrics.Counter
	shed     *metrics.Counter
}

// NewQueues returns queues without bounds; SetSlots bounds them.
func NewQueues(s Settings, c clock.Clock, set *metrics.Set) *Queues {
	return &Queues{
		settings: s,
		clock:    c,
		pools:    make(map[string]*queue),
		metrics: &queueMetrics{
			admitted: set.NewCounter("daisyslip_admission_admitted_requests_total"),
			waited:   set.NewCounter("daisyslip_admission_queued_requests_total"),
			refused:  set.NewCounter("daisyslip_admission_refused_requests_total"),
			shed:     set.NewCounter("daisyslip_admission_shed_requests_total"),
		},
	}
}

// Request asks to be admitted.
type Request struct {
	Pool     string
	Priority work.Priority
	Deadline time.Time
	// Expected is the time that the request is expected to run; 0 is unknown.
	ExpectedDuration time.Duration
	// Affinity tells how much of the request's prompt an endpoint is thought
	// to have cached; nil is none. It must not call the queues.
	Affinity func(endpoint string) int
}

// Ticket is the place of an admitted request. Done must be called once.
type Ticket struct {
	queues  *Queues
	queue   *queue
	started time.Time
}

// SetSlots sets how many requests a pool runs at once; 0 is no bound.
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

func (q *Queues) poolLocked(name string) *queue {
	p := q.pools[name]
	if p == nil {
		p = &queue{}
		q.pools[name] = p
	}
	return p
}

// Admit waits until the request may run. A refused request has not run.
func (q *Queues) Admit(ctx context.Context, r Request) (*Ticket, error) {
	q.mu.Lock()
	p := q.poolLocked(r.Pool)
	if p.free() {
		p.running++
		q.mu.Unlock()
		q.metrics.admitted.Inc()
		return q.ticket(p), nil
	}
	w := &waiter{priority: r.Priority, deadline: r.Deadline.Add(-q.margin(r.ExpectedDuration)), affinity: r.Affinity, result: make(chan error, 1)}
	q.order++
	w.order = q.order
	if err := q.enterLocked(p, w); err != nil {
		q.mu.Unlock()
		q.metrics.refused.Inc()
		return nil, err
	}
	q.mu.Unlock()
	q.metrics.waited.Inc()
	return q.wait(ctx, p, w)
}

func (q *Queues) ticket(p *queue) *Ticket {
	return &Ticket{queues: q, queue: p, started: q.clock.Now()}
}

func (p *queue) free() bool { return p.limit == 0 || p.running < p.limit && len(p.waiting) == 0 }

// enterLocked puts a request into the queue if it can be on time. A full
// queue refuses the request that would be admitted last.
func (q *Queues) enterLocked(p *queue, w *waiter) error {
	wait := q.expectedWait(p, p.waiting.ahead(w)+1)
	if wait > q.settings.MaxWait || q.clock.Now().Add(q.margin(wait)).After(w.deadline) {
		return refusal("the pool is full and the answer could not be on time", wait)
	}
	if len(p.waiting) >= q.settings.MaxWaiting {
		last := p.waiting.last()
		if last.before(w) {
			return refusal("the queue of the pool is full", wait)
		}
		q.shedLocked(p, last, wait)
	}
	heap.Push(&p.waiting, w)
	q.shedLateLocked(p)
	return nil
}

// margin adds the safety margin to an expected time.
func (q *Queues) margin(d time.Duration) time.Duration {
	return time.Duration(q.settings.Margin * float64(d))
}

// shedLateLocked refuses the last of the queue while they wait longer than
// they may: others with a higher priority have come before them.
func (q *Queues) shedLateLocked(p *queue) {
	for len(p.waiting) > 0 {
		wait := q.expectedWait(p, len(p.waiting))
		last := p.waiting.last()
		if wait <= q.settings.MaxWait && !q.clock.Now().Add(wait).After(last.deadline) {
			return
		}
		q.shedLocked(p, last, wait)
	}
}

func (q *Queues) shedLocked(p *queue, w *waiter, wait time.Duration) {
	heap.Remove(&p.waiting, w.index)
	q.metrics.shed.Inc()
	w.result <- refusal("work of a higher priority took the place in the queue", wait)
}

// refusal is the failure of a request that is not let in.
func refusal(message string, wait time.Duration) error {
	return failure.New(failure.Overloaded, "admit request", "", message+"; try again later").WithRetry(max(wait, time.Second))
}

// expectedWait is the time until the n-th waiter is admitted.
func (q *Queues) expectedWait(p *queue, n int) time.Duration {
	if p.limit == 0 {
		return 0
	}
	return time.Duration(p.service * float64(n) / float64(p.limit) * float64(time.Second))
}

// wait waits for the outcome of a request in the queue.
func (q *Queues) wait(ctx context.Context, p *queue, w *waiter) (*Ticket, error) {
	select {
	case err := <-w.result:
		return q.outcome(p, err)
	case <-ctx.Done():
	}
	q.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&p.waiting, w.index)
		q.mu.Unlock()
		return nil, gone(ctx)
	}
	q.mu.Unlock()
	if err := <-w.result; err != nil {
		return nil, err
	}
	q.release(p, "")
	return nil, gone(ctx)
}

// gone is the failure of a request whose context ended in the queue.
func gone(ctx context.Context) error {
	code := failure.Deadline
	if ctx.Err() == context.Canceled {
		code = failure.Canceled
	}
	return failure.Wrap(code, "wait in the queue", "", ctx.Err()).WithRetry(time.Second)
}

func (q *Queues) outcome(p *queue, err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	q.metrics.admitted.Inc()
	return q.ticket(p), nil
}

// Done ends the request's run and admits the next one. The endpoint is the
// one at which a place has become free, or empty.
func (t *Ticket) Done(endpoint string) {
	q := t.queues
	q.mu.Lock()
	elapsed := q.clock.Now().Sub(t.started).Seconds()
	t.queue.samples++
	t.queue.service += max(serviceWeight, 1/float64(t.queue.samples)) * (elapsed - t.queue.service)
	q.mu.Unlock()
	q.release(t.queue, endpoint)
}

// release frees the place of a request.
func (q *Queues) release(p *queue, endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.running--
	q.admitLocked(p, endpoint)
}

// admitLocked admits waiters while there is room, and refuses those that
// cannot be on time any more.
func (q *Queues) admitLocked(p *queue, endpoint string) {
	for len(p.waiting) > 0 && (p.limit == 0 || p.running < p.limit) {
		w := q.nextLocked(p, endpoint)
		if q.clock.Now().After(w.deadline) {
			q.metrics.shed.Inc()
			w.result <- refusal("the answer can no longer be on time", q.expectedWait(p, 1))
			continue
		}
		p.running++
		w.result <- nil
	}
}

// nextLocked takes the next waiter out of the queue. Among the first of equal
// priority it prefers the one whose prompt the free endpoint has cached most
// of: at a full pool this is the only choice left that keeps prefixes where
// they are cached. A first waiter that has no time to spare is not passed.
func (q *Queues) nextLocked(p *queue, endpoint string) *waiter {
	first := heap.Pop(&p.waiting).(*waiter)
	spare := time.Duration(p.service * float64(time.Second))
	if endpoint == "" || first.affinity == nil || q.clock.Now().Add(spare).After(first.deadline) {
		return first
	}
	best, most := first, first.affinity(endpoint)
	passed := []*waiter{first}
	for len(passed) < q.settings.LookAhead && len(p.waiting) > 0 && p.waiting[0].priority == first.priority {
		w := heap.Pop(&p.waiting).(*waiter)
		passed = append(passed, w)
		if hits := w.affinity(endpoint); hits > most {
			best, most = w, hits
		}
	}
	for _, w := range passed {
		if w != best {
			heap.Push(&p.waiting, w)
		}
	}
	return best
}
