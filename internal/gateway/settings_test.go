package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/check"
)

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "gateway.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestDefaultSettingsAreValid guards against defaults that Validate rejects, and
// against other settings than the defaults when no file is given.
func TestDefaultSettingsAreValid(t *testing.T) {
	var problems check.List
	DefaultSettings().Validate(&problems)
	assert.NilError(t, problems.Err())
	s, err := LoadSettings("")
	assert.NilError(t, err)
	assert.Equal(t, s, DefaultSettings())
}

// TestLoadSettings checks that the settings in the file replace the defaults, and
// that missing ones keep them.
func TestLoadSettings(t *testing.T) {
	s, err := LoadSettings(writeSettings(t, `{"prepaid":{"horizon":"12s","clear_share":0.02},"upstream":{"max_idle":8},"placement":{"pace":false,"expected_completion":false}}`))
	assert.NilError(t, err)
	assert.Equal(t, s.Prepaid.Horizon, 12*time.Second)
	assert.Equal(t, s.Prepaid.ActivateShare, 0.02)
	assert.Equal(t, s.Upstream.MaxIdle, 8)
	assert.Assert(t, !s.Placement.Pace && DefaultSettings().Placement.Pace)
	assert.Assert(t, !s.Placement.ExpectedCompletion && DefaultSettings().Placement.ExpectedCompletion)
	assert.Equal(t, s.Ingress, DefaultSettings().Ingress)
}

// TestLoadSettingsReportsEveryProblem guards against an error that names only some of
// the unknown fields, wrong types and invalid values in a file.
func TestLoadSettingsReportsEveryProblem(t *testing.T) {
	_, err := LoadSettings(writeSettings(t, `{"prepaid":{"horizon":"0s","clear_share":2,"release_after":"90s","colour":"red"},
		"ingress":{"max_in_flight":0,"max_body_bytes":"many"},"upstream":{"connect_timeout":"-1s"},
		"placement":{"failure_share":1.5,"failure_factor":0.5},
		"router_load":{"target_use":2,"exit_backlog_s":1,"max_withdrawn":"1m"},"peers":{}}`))
	assert.Assert(t, err != nil)
	for _, path := range []string{
		"prepaid.horizon", "prepaid.clear_share", "prepaid.release_after", "prepaid.colour", "ingress.max_in_flight",
		"ingress.max_body_bytes", "upstream.connect_timeout", "placement.failure_share", "placement.failure_factor", "peers",
		"router_load.target_use", "router_load.exit_backlog_s", "router_load.max_withdrawn",
	} {
		assert.Assert(t, strings.Contains(err.Error(), path), "%s is not in %v", path, err)
	}
}

// TestLoadSettingsMalformed checks that a file that is missing or is not exactly one
// JSON object is an error.
func TestLoadSettingsMalformed(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "{} {}"} {
		_, err := LoadSettings(writeSettings(t, text))
		assert.Assert(t, err != nil, "%q", text)
	}
	_, err := LoadSettings(filepath.Join(t.TempDir(), "absent.json"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestWatchIntervalsFollowBounds guards against reads of the store that are more frequent
// than the platform's bounds need, and against ones that are too rare to keep them.
func TestWatchIntervalsFollowBounds(t *testing.T) {
	for _, test := range []struct{ config, leave, feedWait, interval time.Duration }{
		{0, 0, time.Second, 500 * time.Millisecond},
		{2 * time.Second, 2 * time.Second, time.Second, 500 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 2 * time.Second, time.Second},
		{time.Minute, time.Minute, 3 * time.Second, time.Second},
	} {
		ps := PlatformSettings{ConfigWithin: test.config, LeaveWithin: test.leave}
		assert.Equal(t, ps.configFeedWait(), test.feedWait)
		assert.Equal(t, ps.endpointReadInterval(), test.interval)
	}
	// The feed of the configuration also has the evacuations.
	ps := PlatformSettings{ConfigWithin: time.Minute, EvacuateWithin: 5 * time.Second}
	assert.Equal(t, ps.configFeedWait(), 2500*time.Millisecond)
}
