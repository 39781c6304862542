package hlc_test

import (
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// The timestamps of a receiver whose wall clock is behind are still later than those
// of the sender.
func ExampleClock_Observe() {
	sender := hlc.New(clock.NewFake(time.Unix(100, 0)))
	receiver := hlc.New(clock.NewFake(time.Unix(40, 0)))
	sent := sender.Now()
	receiver.Observe(sent)
	fmt.Println(receiver.Now().Compare(sent))
	// Output: 1
}
