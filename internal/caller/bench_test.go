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

// BenchmarkStreams sends streaming completions through one router, with
// engine, platform and client in the same process.
func BenchmarkStreams(b *testing.B) {
	o := dev.DefaultOptions()
	o.Routers, o.Budget = 1, 1<<40
	fleet, err := dev.Start(b.Context(), o, slog.New(slog.DiscardHandler))
	assert.NilError(b, err)
	defer func() { assert.NilError(b, fleet.Close()) }()
	lo := load.DefaultOptions()
	lo.Model, lo.Streams, lo.Requests, lo.Duration = dev.Model, benchStreams, int64(b.N), time.Hour
	lo.Targets = []load.Target{{Name: "router", URL: fleet.Info().Routers[0], Key: dev.WorkspaceKey}}
	b.ReportAllocs()
	b.ResetTimer()
	results, err := load.Run(b.Context(), lo)
	b.StopTimer()
	assert.NilError(b, err)
	s := results[0].Summary()
	assert.Equal(b, s.Answers, int64(b.N), "%v", s.Failures)
	b.ReportMetric(float64(s.Tokens)/b.Elapsed().Seconds(), "tokens/s")
}
