package admission

import (
	"time"

	"daisyslip.dev/daisyslip/internal/work"
)

// waiter is a request in the queue.
type waiter struct {
	priority work.Priority
	deadline time.Time
	arrival  uint64
	affinity func(endpoint string) int
	// result receives nil once the request is admitted, or why it is refused.
	result chan error
	index  int // in the heap, or -1
}

// before reports whether w is admitted before other: by priority, then by
// deadline, then by arrival.
func (w *waiter) admittedBefore(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.arrival < other.arrival
}

// waiterHeap implements heap.Interface; the next to be admitted is first.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool { return h[i].admittedBefore(h[j]) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends x; heap.Push calls it.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter; heap.Pop calls it.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

// last returns the waiter that would be admitted last.
func (h waiterHeap) lastToAdmit() *waiter {
	var last *waiter
	for _, w := range h {
		if last == nil || last.admittedBefore(w) {
			last = w
		}
	}
	return last
}

// ahead counts the waiters that are admitted before w.
func (h waiterHeap) countAhead(w *waiter) int {
	n := 0
	for _, other := range h {
		if other.admittedBefore(w) {
			n++
		}
	}
	return n
}
