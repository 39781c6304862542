package balancer

import (
	"time"
)

// retryWindow is the sliding window in which retries are limited to a share of
// the requests.
const retryWindow = time.Minute

// retryBucketCount is the number of buckets into which the window is divided.
const retryBucketCount = 60

// retryBudget limits the retries of one pool to a share of its requests, so that
// retries do not amplify an overload. At least floor retries are allowed in any
// window. It is guarded by Balancer.mu.
type retryBudget struct {
	share   float64
	floor   int
	buckets [retryBucketCount]retryBucket
}

// retryBucket holds the counts of one part of the window.
type retryBucket struct {
	number   int64 // of the bucket, counted from the Unix epoch
	requests int
	retries  int
}

// bucket returns the bucket that contains now. A bucket left over from an earlier
// window is reset.
func (b *retryBudget) bucket(now time.Time) *retryBucket {
	number := now.UnixNano() / int64(retryWindow/retryBucketCount)
	bucket := &b.buckets[number%retryBucketCount]
	if bucket.number != number {
		*bucket = retryBucket{number: number}
	}
	return bucket
}

// countRequest counts a request.
func (b *retryBudget) countRequest(now time.Time) { b.bucket(now).requests++ }

// takeRetry counts a retry and returns true if the budget allows one more;
// otherwise it returns false.
func (b *retryBudget) takeRetry(now time.Time) bool {
	current := b.bucket(now)
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		if bucket.number > current.number-retryBucketCount {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if retries >= max(int(b.share*float64(requests)), b.floor) {
		return false
	}
	current.retries++
	return true
}
