package route

import (
	"time"
)

// retryWindow is the time over which retries are compared with requests.
const retryWindow = time.Minute

// retrySlots is the number of parts that the window is counted in.
const retryBucketCount = 60

// retryBudget bounds the retries of one pool to a share of its requests, so
// that a brown-out is not amplified. It is guarded by Router.mu.
type retryBudget struct {
	share   float64
	floor   int
	buckets [retryBucketCount]retryBucket
}

// retrySlot counts one part of the window.
type retryBucket struct {
	index    int64 // part since the epoch
	requests int
	retries  int
}

// slot returns the part of the window that now belongs to.
func (b *retryBudget) bucket(now time.Time) *retryBucket {
	number := now.UnixNano() / int64(retryWindow/retryBucketCount)
	s := &b.buckets[number%retryBucketCount]
	if s.index != number {
		*s = retryBucket{index: number}
	}
	return s
}

// request counts a request.
func (b *retryBudget) countRequest(now time.Time) { b.bucket(now).requests++ }

// take counts a retry if the budget allows one more.
func (b *retryBudget) takeRetry(now time.Time) bool {
	current := b.bucket(now)
	requests, retries := 0, 0
	for _, s := range b.buckets {
		if s.index > current.index-retryBucketCount {
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
