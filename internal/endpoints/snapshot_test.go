package endpoints_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// TestCachedListIsUpToDate guards against a list that misses a change of the state or the
// passing of time, so that requests go to endpoints that have left or are stale.
func TestCachedListIsUpToDate(t *testing.T) {
	for seed := range uint64(40) {
		generator := rand.New(rand.NewPCG(seed, 1))
		fake := clock.NewFake(time.Unix(1000, 0))
		r := endpoints.NewRegistry(time.Second, fake, slog.New(slog.NewTextHandler(io.Discard, nil)))
		for step := range 400 {
			e := endpoints.Endpoint{ID: fmt.Sprint(generator.IntN(6)), Pool: "app", StartedMs: 1 + int64(generator.IntN(2)), Sequence: int64(step)}
			switch generator.IntN(12) {
			case 0:
				r.Remove(e.ID, "test")
			case 1:
				r.MarkLeaving(e.ID, e.StartedMs)
			case 2:
				r.MarkListUnreadable()
			case 3:
				r.MarkListRead()
			case 4:
				r.MarkListRestored()
			case 5:
				r.Replace([]endpoints.Endpoint{e})
			case 6:
				r.Prune()
			default:
				r.Set(e)
			}
			for range 3 {
				assert.DeepEqual(t, r.Usable("app"), r.UsableUncached("app"))
				fake.Advance(time.Duration(generator.IntN(700)) * time.Millisecond)
				assert.DeepEqual(t, r.Usable("app"), r.UsableUncached("app"))
			}
		}
	}
}
