package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetryBudgetLimitsRetries guards against retries that exceed the budget. For
// random sequences of requests, retries and time steps, the retries within the
// window must not exceed the larger of the floor and the share of the requests.
// The budget counts in buckets of one second, so the window for retries is one
// bucket shorter than the window for requests.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const floor, share = 3, 0.1
		b := retryBudget{share: share, floor: floor}
		now := time.Unix(1_800_000_000, 0)
		var requests, retries []time.Time
		countWithin := func(times []time.Time, window time.Duration) (n int) {
			for _, at := range times {
				if now.Sub(at) < window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step == 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "elapsed ms")) * time.Millisecond)
			case step < 7:
				b.countRequest(now)
				requests = append(requests, now)
			case b.takeRetry(now):
				retries = append(retries, now)
				allowed := max(floor, int(share*float64(countWithin(requests, retryWindow))))
				if n := countWithin(retries, retryWindow-retryWindow/retryBucketCount); n > allowed {
					t.Fatalf("%d retries in a minute, want at most %d", n, allowed)
				}
			}
		}
	})
}
