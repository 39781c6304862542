package retrybudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/retrybudget"
)

// event is a request or a retry, with the time since the start of the test.
type event struct {
	at    time.Duration
	retry bool
}

// TestFleetRetriesStayWithinBound makes random requests and retries at several
// routers. In no window may the retries of the fleet exceed the ratio of its requests
// in that window and the one before, plus the allowance.
func TestFleetRetriesStayWithinBound(t *testing.T) {
	settings := retrybudget.Settings{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second, FirstStart: true}
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
			gap := time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			now += gap
			fake.Advance(gap)
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
		for _, first := range events {
			var retries, requests, earlierRequests float64
			for _, e := range events {
				inWindow := e.at >= first.at && e.at < first.at+settings.Window
				switch {
				case inWindow && e.retry:
					retries++
				case inWindow:
					requests++
				case !e.retry && e.at >= first.at-settings.Window && e.at < first.at:
					earlierRequests++
				}
			}
			assert.Assert(t, retries <= settings.Ratio*(requests+earlierRequests)+settings.Allowance)
		}
	})
}

// TestPoolsHaveSeparateBudgets checks that the retries of one pool do not use up the
// budget of another.
func TestPoolsHaveSeparateBudgets(t *testing.T) {
	b := retrybudget.New(clock.NewFake(time.Unix(0, 0)), retrybudget.Settings{Allowance: 2, Window: time.Second, FirstStart: true}, func() int { return 1 })
	assert.Assert(t, b.AllowRetry("a"))
	assert.Assert(t, !b.AllowRetry("a"))
	assert.Assert(t, b.AllowRetry("b"))
}

// TestRestartsGiveNoFurtherAllowance guards against routers that use their share of the
// allowance again after each restart, which exceeds the bound of the fleet: no window may have
// more retries than the allowance, and a router that has run for a window has its share.
func TestRestartsGiveNoFurtherAllowance(t *testing.T) {
	settings := retrybudget.Settings{Allowance: 10, Window: 10 * time.Second}
	fake := clock.NewFake(time.Unix(0, 0))
	first := settings
	first.FirstStart = true
	budget := retrybudget.New(fake, first, func() int { return 1 })
	var retries []time.Time
	for step := range 600 {
		if step%50 == 49 && step < 400 { // every 5 s for 40 s, then it goes on
			budget = retrybudget.New(fake, settings, func() int { return 1 })
		}
		for budget.AllowRetry("p") {
			retries = append(retries, fake.Now())
		}
		fake.Advance(100 * time.Millisecond)
	}
	for i, start := range retries {
		inWindow := 0
		for _, at := range retries[i:] {
			if at.Sub(start) < settings.Window {
				inWindow++
			}
		}
		assert.Assert(t, float64(inWindow) <= settings.Allowance, "%d retries in a window", inWindow)
	}
	assert.Assert(t, retries[len(retries)-1].After(time.Unix(45, 0)), "no retries once a window has passed since the start")
}
