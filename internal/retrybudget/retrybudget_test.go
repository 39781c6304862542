package retrybudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/retrybudget"
)

// event is a request or a repeat at a time.
type event struct {
	at     time.Duration
	repeat bool
}

// TestFleetKeepsTheBound plays requests and tries of repeats at several routers:
// in no window do the repeats of the fleet pass the ratio of its requests, in
// that window or the one before, plus the allowance.
func TestFleetKeepsTheBound(t *testing.T) {
	settings := retrybudget.Settings{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 5).Draw(t, "routers")
		fake := clock.NewFake(time.Unix(0, 0))
		var budgets []*retrybudget.Budget
		for range routers {
			budgets = append(budgets, retrybudget.New(fake, settings, func() int { return routers }))
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			pause := time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			now += pause
			fake.Advance(pause)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "repeat") {
				if b.AllowRetry("p") {
					events = append(events, event{now, true})
				}
				continue
			}
			b.RecordRequest("p")
			events = append(events, event{now, false})
		}
		for _, from := range events {
			var repeats, here, before float64
			for _, e := range events {
				inWindow := e.at >= from.at && e.at < from.at+settings.Window
				switch {
				case inWindow && e.repeat:
					repeats++
				case inWindow:
					here++
				case !e.repeat && e.at >= from.at-settings.Window && e.at < from.at:
					before++
				}
			}
			assert.Assert(t, repeats <= settings.Ratio*(here+before)+settings.Allowance)
		}
	})
}

func TestPoolsAreApart(t *testing.T) {
	b := retrybudget.New(clock.NewFake(time.Unix(0, 0)), retrybudget.Settings{Allowance: 2, Window: time.Second}, func() int { return 1 })
	assert.Assert(t, b.AllowRetry("a"))
	assert.Assert(t, !b.AllowRetry("a"))
	assert.Assert(t, b.AllowRetry("b"))
}
