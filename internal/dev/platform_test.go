package dev

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/platform/standin"
)

// TestSiteServesSampleRequests does what `daisyslip dev --platform --once` does. It guards
// against a router on the platform that starts but does not serve the sample requests.
func TestSiteServesSampleRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	site, err := StartSite(ctx, 0, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, standin.SampleRequests(ctx, site.CallerAddr(), &out))
	assert.NilError(t, site.Close())
	assert.Equal(t, strings.Count(out.String(), "200 OK"), 3, "%s", out.String())
	assert.Assert(t, strings.Contains(out.String(), "data: event 8 of sample-3"))
}
