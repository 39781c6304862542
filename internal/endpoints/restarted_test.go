package endpoints_test

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// TestRestartedTellsStartsApart guards against a start of an endpoint that is taken to go on
// since a later one has its id or its address.
func TestRestartedTellsStartsApart(t *testing.T) {
	for name, c := range map[string]struct {
		listed    endpoints.Endpoint
		restarted bool
	}{
		"same start":                  {endpoints.Endpoint{ID: "i-1", Addr: "10.0.0.1:80", StartedMs: 10}, false},
		"later start, same id":        {endpoints.Endpoint{ID: "i-1", Addr: "10.0.0.1:80", StartedMs: 11}, true},
		"later start, other address":  {endpoints.Endpoint{ID: "i-1", Addr: "10.0.0.2:80", StartedMs: 11}, true},
		"other endpoint at address":   {endpoints.Endpoint{ID: "i-2", Addr: "10.0.0.1:80", StartedMs: 11}, true},
		"earlier endpoint at address": {endpoints.Endpoint{ID: "i-2", Addr: "10.0.0.1:80", StartedMs: 9}, false},
		"other endpoint":              {endpoints.Endpoint{ID: "i-2", Addr: "10.0.0.2:80", StartedMs: 11}, false},
	} {
		r := endpoints.NewRegistry(time.Second, clock.NewFake(time.Unix(1000, 0)), slog.New(slog.DiscardHandler))
		r.Set(c.listed)
		assert.Equal(t, r.Restarted(endpoints.Endpoint{ID: "i-1", Addr: "10.0.0.1:80", StartedMs: 10}), c.restarted, name)
		assert.Assert(t, !r.Restarted(endpoints.Endpoint{ID: "i-1", Addr: "10.0.0.1:80"}), "%s: start not stated", name)
	}
}
