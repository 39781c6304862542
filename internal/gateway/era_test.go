package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// TestNewEraIsLoggedOnce guards against an incident in which nothing tells that the store
// came back from a copy, and against a line for each table that is read again.
func TestNewEraIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newTestGateway(store)
		var out bytes.Buffer
		g.log = slog.New(slog.NewTextHandler(&out, nil))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for _, run := range []func(context.Context){g.logEras, g.watchConfig, g.watchEndpoints} {
			go run(ctx)
		}
		synctest.Wait()
		assert.Equal(t, strings.Count(out.String(), "came back from a copy"), 0)
		store.Restore(store.Copy())
		synctest.Wait()
		store.Restore(store.Copy())
		synctest.Wait()
		assert.Equal(t, strings.Count(out.String(), "came back from a copy"), 2, out.String())
		assert.Assert(t, strings.Contains(out.String(), "old_era=2 era=3"), out.String())
		var metrics bytes.Buffer
		g.metrics.WritePrometheus(&metrics)
		assert.Assert(t, strings.Contains(metrics.String(), "daisyslip_store_era 3"), metrics.String())
	})
}
