package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue admits a bounded number of requests; the others wait by rank and
// then by arrival.
type slotQueue struct {
	mu          sync.Mutex // guards all below
	freeSlots   int
	lastArrival int
	waiters     waiterHeap
}

type waiter struct {
	rank      int
	arrival   int
	admitted  chan struct{}
	heapIndex int
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{freeSlots: max(slots, 1)} }

// acquire waits for a slot. Lower ranks go first.
func (q *slotQueue) acquire(ctx context.Context, rank int) error {
	q.mu.Lock()
	if q.freeSlots > 0 {
		q.freeSlots--
		q.mu.Unlock()
		return nil
	}
	q.lastArrival++
	w := &waiter{rank: rank, arrival: q.lastArrival, admitted: make(chan struct{})}
	heap.Push(&q.waiters, w)
	q.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return q.abandon(ctx, w)
	}
}

// abandon removes a waiter whose request has gone; if it got its slot at the
// same moment, it keeps it.
func (q *slotQueue) abandon(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex < 0 {
		return nil
	}
	heap.Remove(&q.waiters, w.heapIndex)
	return ctx.Err()
}

// release frees a slot or hands it to the first waiter.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		q.freeSlots++
		return
	}
	close(heap.Pop(&q.waiters).(*waiter).admitted)
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
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
