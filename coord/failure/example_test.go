package failure_test

import (
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/failure"
)

// A failure can be retrieved with all its fields from an error that wraps it.
func ExampleError() {
	cause := failure.Wrap(failure.EndpointFailed, "read answer", "engine-3", errors.New("connection reset")).
		WithRan(failure.RanUnknown).
		WithRetry(time.Second)
	err := fmt.Errorf("serve request: %w", cause)
	f := failure.As(err)
	fmt.Println(f.Code, f.Peer, f.Ran, f.RetryAfter)
	// Output: endpoint_failed engine-3 unknown 1s
}
