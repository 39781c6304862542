package caller_test

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/dev"
	"daisyslip.dev/daisyslip/internal/load"
)

// benchStreams is the number of concurrent streams of the benchmark.
const benchStreams = 64

// BenchmarkStreams measures streaming completions through one router, with the
// engines, the platform and the client in the same process.
func BenchmarkStreams(b *testing.B) {
	fleetOptions := dev.DefaultOptions()
	fleetOptions.Routers, fleetOptions.BudgetTokens = 1, 1<<40
	fleet, err := dev.Start(b.Context(), fleetOptions, slog.New(slog.DiscardHandler))
	assert.NilError(b, err)
	defer func() { assert.NilError(b, fleet.Close()) }()
	loadOptions := load.DefaultOptions()
	loadOptions.Model, loadOptions.Streams, loadOptions.Requests, loadOptions.Duration = dev.ModelName, benchStreams, int64(b.N), time.Hour
	loadOptions.Targets = []load.Target{{Name: "router", URL: fleet.Info().Routers[0], Key: dev.WorkspaceKey}}
	b.ReportAllocs()
	b.ResetTimer()
	results, err := load.Run(b.Context(), loadOptions)
	b.StopTimer()
	assert.NilError(b, err)
	summary := results[0].Summary()
	assert.Equal(b, summary.Completed, int64(b.N), "%v", summary.Failures)
	b.ReportMetric(float64(summary.Tokens)/b.Elapsed().Seconds(), "tokens/s")
}
