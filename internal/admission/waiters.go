package admission

import (
	"time"

	"daisyslip.dev/daisyslip/internal/requests"
)

// waiter is a request in the queue.
type waiter struct {
	priority requests.Priority
	// admitDeadline is the latest time at which the request can be admitted and
	// still meet its deadline: the deadline less the expected duration, with
	// Settings.Margin.
	admitDeadline time.Time
	arrival       uint64 // sequence number; earlier requests have a smaller one
	affinity      func(endpoint string) int
	// result receives nil once the request is admitted, or the reason of its
	// refusal. It has a buffer of one, so that the sender does not block.
	result chan error
	index  int // index in the heap, or -1 if removed from it
}

// admittedBefore reports whether w is admitted before other. Waiters are ordered by
// priority (highest first), then by admitDeadline, then by arrival.
func (w *waiter) admittedBefore(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if !w.admitDeadline.Equal(other.admitDeadline) {
		return w.admitDeadline.Before(other.admitDeadline)
	}
	return w.arrival < other.arrival
}

// waiterHeap implements heap.Interface. The waiter that is admitted next is at
// index 0.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool { return h[i].admittedBefore(h[j]) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a *waiter. It must only be called by package heap.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter of the slice. It must only be called by package
// heap.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

// lastToAdmit returns the waiter that would be admitted last, or nil if there is
// none.
func (h waiterHeap) lastToAdmit() *waiter {
	var last *waiter
	for _, w := range h {
		if last == nil || last.admittedBefore(w) {
			last = w
		}
	}
	return last
}

// countAhead returns the number of waiters that are admitted before w.
func (h waiterHeap) countAhead(w *waiter) int {
	count := 0
	for _, other := range h {
		if other.admittedBefore(w) {
			count++
		}
	}
	return count
}
