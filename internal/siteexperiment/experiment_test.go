package siteexperiment

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestExperimentCountsWhatEndpointsAndCallersSee guards against a tool that plays a
// scenario without its crashes or limits, or does not count them.
func TestExperimentCountsWhatEndpointsAndCallersSee(t *testing.T) {
	s := DefaultScenario()
	s.Name, s.Duration, s.Routers, s.Endpoints, s.Rate = "small", 4*time.Second, 3, 4, 40
	s.Crash = CrashSpec{Every: 200 * time.Millisecond, Restart: 500 * time.Millisecond}
	s.Limit = LimitSpec{Endpoints: 1, PerSecond: 2}
	report, err := Run(context.Background(), s, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	assert.Assert(t, report.Totals.SoundServed > 0)
	assert.Assert(t, report.Totals.Crashes > 0)
	assert.Assert(t, report.Totals.CrashRefused > 0)
	assert.Assert(t, report.Totals.Limited > 0)
	var page, plot bytes.Buffer
	assert.NilError(t, report.WriteMarkdown(&page))
	assert.Assert(t, strings.Contains(page.String(), "crashes of endpoints"))
	assert.NilError(t, report.WriteSVG(&plot))
	assert.Assert(t, strings.Contains(plot.String(), "<svg"))
}

// TestInvalidScenarioNamesEveryProblem guards against a scenario that is played although
// it cannot be meant.
func TestInvalidScenarioNamesEveryProblem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scenario.json")
	content := `{"duration":"0s","routers":0,"endpoints":2,"rate":-1,"crash":{"every":"-1s"},"limit":{"endpoints":3},"unknown":1}`
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	_, err := Read(path)
	for _, field := range []string{"name", "duration", "routers", "rate", "crash.every", "limit.endpoints", "limit.per_second", "unknown"} {
		assert.ErrorContains(t, err, field)
	}
	_, err = Read("../../scenarios/site/crashing-segment.json")
	assert.NilError(t, err)
}
