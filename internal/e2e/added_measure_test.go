package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/load"
)

// TestMeasureAddedLatency logs the latency, CPU time and memory allocations that
// one router adds to a request. Each stream of the load sends its prompts to the
// router and directly to the engine, and the two are compared. The router, the
// engine and the load generator are separate processes.
func TestMeasureAddedLatency(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	f := &fleet{t: t, readinessLag: "100ms"}
	f.platformURL = startStandin(t, "platform")
	f.engineURLs = []string{startStandin(t, "engine", "--model", testModel, "--slots", "4096", "--token-time", "25ms", "--batch-slowdown", "0", "--prefill-time", "0s")}
	f.serviceURL = startStandin(t, "service", "--name", testService)
	r := f.addRouter()
	f.configure(1 << 40)
	f.waitReady(r)
	for _, streams := range []int{1, 50, 200} {
		f.measureAddedLatency(r, streams)
	}
}

// requestPairSeconds is the approximate time, in seconds, of one response through the
// router followed by one response directly from the engine: about 24 tokens of 25 ms
// each.
const requestPairSeconds = 1.35

// measureAddedLatency runs the load with the given number of concurrent streams at
// the router and logs the difference from the engine's own latency.
func (f *fleet) measureAddedLatency(r *router, streams int) {
	f.t.Helper()
	options := load.DefaultOptions()
	options.Model, options.MaxTokens, options.Duration, options.Seed = testModel, 32, 8*time.Second, 7
	// At any time, half of the streams wait for the router and half for the
	// engine. Starts are spread over time, because a burst would measure how
	// long it takes to open connections.
	options.Streams = 2 * streams
	options.Rate = float64(options.Streams) / requestPairSeconds
	options.Targets = []load.Target{{Name: "router", URL: r.Caller, Key: testKey}, {Name: "direct", URL: f.engineURLs[0]}}
	before := f.scrape(r)
	results, err := load.Run(f.t.Context(), options)
	assert.NilError(f.t, err)
	after := f.scrape(r)
	router, direct := results[0].Summary(), results[1].Summary()
	assert.Equal(f.t, len(router.Failures), 0, fmt.Sprint(router.Failures))
	responses, tokens := float64(router.Completed), float64(router.Tokens)
	cpu := after.increase(before, "process_cpu_seconds_total")
	allocs, bytes := after.increase(before, "go_memstats_mallocs_total"), after.increase(before, "go_memstats_alloc_bytes_total")
	addedToFirstToken, addedToTotal := router.FirstToken.Sub(direct.FirstToken), router.ResponseTime.Sub(direct.ResponseTime)
	f.t.Logf("seed %d, %d streams at the router: %.0f responses, %.0f tokens; added ms to first token p50 %.2f p95 %.2f p99 %.2f; "+
		"to the whole p50 %.2f p95 %.2f p99 %.2f; direct first p50 %.2f p99 %.2f",
		options.Seed, streams, responses, tokens, addedToFirstToken.P50, addedToFirstToken.P95, addedToFirstToken.P99, addedToTotal.P50, addedToTotal.P95, addedToTotal.P99, direct.FirstToken.P50, direct.FirstToken.P99)
	f.t.Logf("%d streams: %.0f reservations waited for a draw, %.0f load reports were asked for first, %.0f attempts moved",
		streams, after.increase(before, "daisyslip_budget_reservations_waited_total"), after.increase(before, "daisyslip_route_stale_views_total"),
		after.increase(before, "daisyslip_route_retries_total"))
	f.t.Logf("%d streams: CPU %.0f µs a request, %.1f µs a token; %.0f requests a second and core; %.0f allocations and %.0f kB a request",
		streams, cpu/responses*1e6, cpu/tokens*1e6, responses/cpu, allocs/responses, bytes/responses/1000)
}
