package endpoints_test

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// coldStart is how long the endpoints of the pool "app" are cold after a start.
const coldStart = 3 * time.Second

// newColdRegistry returns a registry in which i-1 has been known for a while.
func newColdRegistry(t *testing.T) (*endpoints.Registry, *clock.Fake) {
	r, c := newRegistry()
	r.SetColdStart(func(pool string) time.Duration { return map[string]time.Duration{"app": coldStart}[pool] })
	r.Replace([]endpoints.Endpoint{inDomain(entry(1), "a")})
	checkCold(t, r, c, 0)
	c.Advance(10 * time.Second)
	return r, c
}

func inDomain(e endpoints.Endpoint, domain string) endpoints.Endpoint {
	e.Domain = domain
	return e
}

// checkCold checks for how long i-1 is cold from now on.
func checkCold(t *testing.T, r *endpoints.Registry, c *clock.Fake, want time.Duration) {
	t.Helper()
	until, cold := r.Cold(entry(1))
	assert.Equal(t, cold, want > 0)
	_, listed := r.ColdIn("app")["i-1"]
	assert.Equal(t, listed, cold)
	if cold {
		assert.Equal(t, until.Sub(c.Now()), want)
	}
}

// TestEndpointIsColdAfterStart guards against the usual share of requests to an endpoint
// that has just started: a new one, one with another start under the same id, or one whose
// entry was removed; and against a router that takes all endpoints for cold after its own
// start, or those whose entries the store had lost.
func TestEndpointIsColdAfterStart(t *testing.T) {
	restarted := func() endpoints.Endpoint {
		e := entry(1)
		e.StartedMs++
		return e
	}
	for name, c := range map[string]struct {
		change func(r *endpoints.Registry, c *clock.Fake)
		want   time.Duration
	}{
		"read again":      {func(r *endpoints.Registry, _ *clock.Fake) { r.Replace([]endpoints.Endpoint{entry(1)}) }, 0},
		"newer entry":     {func(r *endpoints.Registry, _ *clock.Fake) { r.Set(entry(2)) }, 0},
		"other start":     {func(r *endpoints.Registry, _ *clock.Fake) { r.Set(restarted()) }, coldStart},
		"in a whole list": {func(r *endpoints.Registry, _ *clock.Fake) { r.Replace([]endpoints.Endpoint{restarted()}) }, coldStart},
		"removed": {func(r *endpoints.Registry, _ *clock.Fake) {
			r.Remove("i-1", "test")
			r.Set(entry(2))
		}, coldStart},
		"forgotten": {func(r *endpoints.Registry, c *clock.Fake) {
			r.Remove("i-1", "test")
			c.Advance(time.Hour)
			r.Prune()
			r.Set(entry(2))
		}, coldStart},
		"lost by the store": {func(r *endpoints.Registry, c *clock.Fake) {
			r.MarkListRestored()
			r.Replace(nil)
			c.Advance(endpoints.RecoveryGrace / 2)
			r.Set(entry(2))
		}, 0},
		"lost by the store, other start": {func(r *endpoints.Registry, _ *clock.Fake) {
			r.MarkListRestored()
			r.Replace(nil)
			r.Set(restarted())
		}, coldStart},
		"other domain returns": {func(r *endpoints.Registry, _ *clock.Fake) {
			r.SetEvacuated([]string{"b"})
			r.SetEvacuated(nil)
		}, 0},
		"domain returns": {func(r *endpoints.Registry, c *clock.Fake) {
			r.SetEvacuated([]string{"a", "b"})
			c.Advance(time.Minute)
			r.SetEvacuated([]string{"b"})
		}, coldStart},
		"failed":               {func(r *endpoints.Registry, _ *clock.Fake) { r.MarkFailed("i-1", 500) }, coldStart},
		"earlier start failed": {func(r *endpoints.Registry, _ *clock.Fake) { r.MarkFailed("i-1", 400) }, 0},
		"failed, then newer entry": {func(r *endpoints.Registry, _ *clock.Fake) {
			r.MarkFailed("i-1", 500)
			r.Set(entry(2))
		}, 0},
		"failed, then same entry": {func(r *endpoints.Registry, _ *clock.Fake) {
			r.MarkFailed("i-1", 500)
			r.Set(entry(1))
		}, coldStart},
		"failed, then other start": {func(r *endpoints.Registry, _ *clock.Fake) {
			r.MarkFailed("i-1", 500)
			r.Set(restarted())
			e := restarted()
			e.Sequence = 2
			r.Set(e)
		}, coldStart},
	} {
		t.Run(name, func(t *testing.T) {
			r, fake := newColdRegistry(t)
			c.change(r, fake)
			checkCold(t, r, fake, c.want)
			fake.Advance(coldStart)
			checkCold(t, r, fake, 0)
		})
	}
}

// TestEndpointIsColdAsItSays guards against an endpoint that says that it is cold and gets
// its usual share, in the first list and later, and against one that stays cold since the
// same entry is read repeatedly.
func TestEndpointIsColdAsItSays(t *testing.T) {
	r, c := newColdRegistry(t)
	cold := entry(2)
	cold.ColdFor = 8 * time.Second
	r.Set(cold)
	checkCold(t, r, c, 8*time.Second)
	c.Advance(time.Second)
	r.Replace([]endpoints.Endpoint{cold})
	checkCold(t, r, c, 7*time.Second)
	r.MarkFailed("i-1", 500)
	cold.Sequence, cold.ColdFor = 3, time.Second
	r.Set(cold)
	checkCold(t, r, c, coldStart)
	cold.Sequence, cold.ColdFor = 4, 0
	r.Set(cold)
	checkCold(t, r, c, 0)
	r.MarkCold("i-1", 400, time.Second)
	checkCold(t, r, c, 0)
	r.MarkCold("i-1", 500, time.Second)
	checkCold(t, r, c, time.Second)

	first, c := newRegistry()
	first.SetColdStart(func(string) time.Duration { return coldStart })
	cold.Sequence, cold.ColdFor = 5, time.Second
	first.Replace([]endpoints.Endpoint{cold})
	checkCold(t, first, c, time.Second)
}

// TestInvalidColdTimeMakesEndpointCold guards against an endpoint that counts as warm since
// its time is invalid, and against one that is cold for as long as it repeats that.
func TestInvalidColdTimeMakesEndpointCold(t *testing.T) {
	r, c := newColdRegistry(t)
	invalid := entry(2)
	invalid.InvalidCold = "-1"
	r.Set(invalid)
	checkCold(t, r, c, coldStart)
	c.Advance(time.Second)
	invalid.Sequence++
	r.Set(invalid)
	checkCold(t, r, c, coldStart-time.Second)
	invalid.Sequence, invalid.InvalidCold = 4, `"soon"`
	r.Set(invalid)
	checkCold(t, r, c, coldStart)
	assert.Equal(t, len(r.Usable("app")), 1)
}

// TestFailuresOfMostEndpointsDoNotMakeThemCold guards against a router that refuses nearly
// all requests since its own link fails, which an overloaded router showed by ejecting 112
// endpoints in seven seconds that other routers reached.
func TestFailuresOfMostEndpointsDoNotMakeThemCold(t *testing.T) {
	r, c := newRegistry()
	r.SetColdStart(func(string) time.Duration { return coldStart })
	var list []endpoints.Endpoint
	for i := range 10 {
		e := entry(1)
		e.ID = fmt.Sprint("i-", i)
		list = append(list, e)
	}
	r.Replace(list)
	for range 2 {
		slices.Reverse(list)
		for _, e := range list {
			r.MarkFailed(e.ID, 500)
			r.MarkFailed(e.ID, 500)
		}
		assert.Equal(t, r.ColdCount(), 5)
		c.Advance(coldStart)
		assert.Equal(t, r.ColdCount(), 0)
	}
}

// TestPoolWithoutColdStartIsNeverCold guards against a limit in a pool that has none.
func TestPoolWithoutColdStartIsNeverCold(t *testing.T) {
	r, c := newRegistry()
	r.SetColdStart(func(string) time.Duration { return 0 })
	r.Replace(nil)
	cold := entry(1)
	cold.ColdFor, cold.InvalidCold = time.Minute, "x"
	r.Set(cold)
	r.MarkFailed("i-1", 500)
	checkCold(t, r, c, 0)
	assert.Equal(t, r.ColdCount(), 0)
}

// TestOlderEntryDoesNotEndColdTimeOfResponse guards against the usual share of requests to
// an endpoint that says in a response that it is cold, because an entry that it wrote
// before is read afterwards: entries are up to 3 s old. It also guards against an endpoint
// that stays cold although entries written after that response say otherwise.
func TestOlderEntryDoesNotEndColdTimeOfResponse(t *testing.T) {
	r, c := newColdRegistry(t)
	r.MarkCold("i-1", 500, 8*time.Second)
	c.Advance(time.Second)
	r.Set(entry(2))
	checkCold(t, r, c, 7*time.Second)
	r.MarkCold("i-1", 500, time.Second) // an earlier response that arrives late
	checkCold(t, r, c, 7*time.Second)
	longer := entry(3)
	longer.ColdFor = 9 * time.Second
	r.Set(longer)
	checkCold(t, r, c, 9*time.Second)
	c.Advance(4 * time.Second)
	r.Set(entry(4))
	checkCold(t, r, c, 0)

	r.MarkCold("i-1", 500, time.Minute)
	restarted := entry(1)
	restarted.StartedMs++
	r.Set(restarted)
	checkCold(t, r, c, coldStart)
}

// TestShortColdTimesAreLoggedOnce guards against a log line for each response of an endpoint
// that always states a cold time shorter than the time between its responses, and against
// an endpoint that turns cold without a log line.
func TestShortColdTimesAreLoggedOnce(t *testing.T) {
	var log strings.Builder
	c := clock.NewFake(time.Unix(1000, 0))
	r := endpoints.NewRegistry(time.Second, c, slog.New(slog.NewTextHandler(&log, nil)))
	r.SetColdStart(func(string) time.Duration { return coldStart })
	r.Replace([]endpoints.Endpoint{entry(1)})
	lines := func() int { return strings.Count(log.String(), "says that it is cold") }
	for range 50 {
		r.MarkCold("i-1", 500, time.Millisecond)
		c.Advance(10 * time.Millisecond)
	}
	assert.Equal(t, lines(), 1)
	for i := range int64(10) {
		c.Advance(2 * time.Second)
		r.Set(entry(2 + i))
	}
	r.MarkCold("i-1", 500, time.Second)
	assert.Equal(t, lines(), 2)
}
