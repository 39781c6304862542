package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/load"
)

// TestMeasureAdded prints what one router adds to a request: each stream of
// the load sends a prompt to the router and to the engine itself, all separate
// processes.
func TestMeasureAdded(t *testing.T) {
	if !measuring(t) {
		return
	}
	f := &fleet{t: t, readinessLag: "100ms"}
	f.platform = startStandin(t, "platform")
	f.engines = []string{startStandin(t, "engine", "--model", testModel, "--slots", "4096", "--token-time", "25ms", "--batch-slowdown", "0", "--prefill-time", "0s")}
	f.service = startStandin(t, "service", "--name", testService)
	r := f.addRouter()
	f.configure(1 << 40)
	f.waitReady(r)
	for _, streams := range []int{1, 50, 200} {
		f.measureAdded(r, streams)
	}
}

// pairSeconds is about the time of one answer of the router and one of the
// engine, 24 tokens of 25 ms each.
const pairSeconds = 1.35

func (f *fleet) measureAdded(r *router, streams int) {
	f.t.Helper()
	o := load.DefaultOptions()
	o.Model, o.MaxTokens, o.Duration, o.Seed = testModel, 32, 8*time.Second, 7
	// Half of the streams are at the router at any time. Starts are spread
	// over time, since a burst would measure the making of connections.
	o.Streams = 2 * streams
	o.Rate = float64(o.Streams) / pairSeconds
	o.Targets = []load.Target{{Name: "router", URL: r.Caller, Key: testKey}, {Name: "direct", URL: f.engines[0]}}
	before := f.scrape(r)
	results, err := load.Run(f.t.Context(), o)
	assert.NilError(f.t, err)
	after := f.scrape(r)
	router, direct := results[0].Summary(), results[1].Summary()
	assert.Equal(f.t, len(router.Failures), 0, fmt.Sprint(router.Failures))
	answers, tokens := float64(router.Completed), float64(router.Tokens)
	cpu := after.since(before, "process_cpu_seconds_total")
	allocs, bytes := after.since(before, "go_memstats_mallocs_total"), after.since(before, "go_memstats_alloc_bytes_total")
	first, total := router.FirstToken.Sub(direct.FirstToken), router.ResponseTime.Sub(direct.ResponseTime)
	f.t.Logf("seed %d, %d streams at the router: %.0f answers, %.0f tokens; added ms to first token p50 %.2f p95 %.2f p99 %.2f; "+
		"to the whole p50 %.2f p95 %.2f p99 %.2f; direct first p50 %.2f p99 %.2f",
		o.Seed, streams, answers, tokens, first.P50, first.P95, first.P99, total.P50, total.P95, total.P99, direct.FirstToken.P50, direct.FirstToken.P99)
	f.t.Logf("%d streams: %.0f reservations waited for a draw, %.0f load reports were asked for first, %.0f attempts moved",
		streams, after.since(before, "daisyslip_budget_reservations_waited_total"), after.since(before, "daisyslip_route_stale_views_total"),
		after.since(before, "daisyslip_route_retries_total"))
	f.t.Logf("%d streams: CPU %.0f µs a request, %.1f µs a token; %.0f requests a second and core; %.0f allocations and %.0f kB a request",
		streams, cpu/answers*1e6, cpu/tokens*1e6, answers/cpu, allocs/answers, bytes/answers/1000)
}
