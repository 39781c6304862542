package route

import (
	"time"
)

// retryWindow is the time over which retries are compared with requests.
const retryWindow = time.Minute

// retrySlots is the number of parts that the window is counted in.
const retrySlots = 60

// retryBudget bounds the retries of one pool to a share of its requests, so
// that a brown-out is not amplified. It is guarded by Router.mu.
type retryBudget struct {
	share float64
	floor int
	slots [retrySlots]retrySlot
}

// retrySlot counts one part of the window.
type retrySlot struct {
	number   int64 // part since the epoch
	requests int
	retries  int
}

// slot returns the part of the window that now belongs to.
func (b *retryBudget) slot(now time.Time) *retrySlot {
	number := now.UnixNano() / int64(retryWindow/retrySlots)
	s := &b.slots[number%retrySlots]
	if s.number != number {
		*s = retrySlot{number: number}
	}
	return s
}

// request counts a request.
func (b *retryBudget) request(now time.Time) { b.slot(now).requests++ }

// take counts a retry if the budget allows one more.
func (b *retryBudget) take(now time.Time) bool {
	current := b.slot(now)
	requests, retries := 0, 0
	for _, s := range b.slots {
		if s.number > current.number-retrySlots {
			requests += s.requests
			retries += s.retries
		}
	}
	if retries >= max(int(b.share*float64(requests)), b.floor) {
		return false
	}
	current.retries++
	return true
}
