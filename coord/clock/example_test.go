package clock_test

import (
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// A test advances a fake clock to the end of a timer instead of waiting for it.
func ExampleFake() {
	fake := clock.NewFake(time.Unix(0, 0))
	timer := fake.After(time.Hour)
	fake.Advance(time.Hour)
	fmt.Println((<-timer).Sub(time.Unix(0, 0)))
	// Output: 1h0m0s
}
