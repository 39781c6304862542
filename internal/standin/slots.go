package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue admits a bounded number of requests at once. The others wait, in order
// of priority and then of arrival. It is safe for concurrent use.
type slotQueue struct {
	mu          sync.Mutex // guards all below
	freeSlots   int
	lastArrival int
	waiters     waiterHeap
}

// waiter is a request that waits for a slot. admitted is closed when it gets one.
type waiter struct {
	priority  int
	arrival   int
	admitted  chan struct{}
	heapIndex int
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{freeSlots: max(slots, 1)} }

// acquire waits for a slot and returns nil when it has one, which the caller must
// release. Lower priorities are admitted first. It returns the error of ctx if that ends
// first.
func (q *slotQueue) acquire(ctx context.Context, priority int) error {
	q.mu.Lock()
	if q.freeSlots > 0 {
		q.freeSlots--
		q.mu.Unlock()
		return nil
	}
	q.lastArrival++
	w := &waiter{priority: priority, arrival: q.lastArrival, admitted: make(chan struct{})}
	heap.Push(&q.waiters, w)
	q.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return q.abandon(ctx, w)
	}
}

// abandon removes a waiter whose ctx has ended and returns the error of ctx. If the
// waiter has been admitted in the meantime, it keeps its slot and abandon returns
// nil.
func (q *slotQueue) abandon(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex < 0 {
		return nil
	}
	heap.Remove(&q.waiters, w.heapIndex)
	return ctx.Err()
}

// release returns a slot, which goes to the first waiter if there is one.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		q.freeSlots++
		return
	}
	close(heap.Pop(&q.waiters).(*waiter).admitted)
}

// waiterHeap implements heap.Interface. A waiter that is not in the heap has the
// heapIndex -1.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	w.heapIndex = -1
	return w
}
