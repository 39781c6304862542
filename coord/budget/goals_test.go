package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// The goals of the budgets, as shares.
const (
	goalFalseRefusals = 0.005
	goalOutageServed  = 0.97
	goalInDoubt       = 0.01
)

// TestGoals holds the holder to its goals in short trials of both deployments:
// the whole life of the budgets, an outage of 10 minutes, and a killed router.
func TestGoals(t *testing.T) {
	if testing.Short() {
		t.Log("the trials are too long for -short")
		return
	}
	for _, d := range deployments {
		for _, serve := range []bool{false, true} {
			run := func(name string, tr trial, check func(*testing.T, result)) {
				t.Run(d.name+"/"+leanName(serve)+"/"+name, func(t *testing.T) {
					t.Parallel()
					tr.deployment, tr.seed = d, measureSeed
					var r result
					synctest.Test(t, func(*testing.T) {
						r = tr.run(func(tr trial, s *memory.Store) *system { return newGrants(tr, s, serve, false) })
					})
					t.Logf("seed %d | %s", measureSeed, r)
					assert.Equal(t, r.overspend, int64(0))
					check(t, r)
				})
			}
			run("whole life", trial{life: 20 * time.Minute, length: 22 * time.Minute}, func(t *testing.T, r result) {
				assert.Equal(t, r.falseBefore98, 0)
				assert.Assert(t, r.falseShare() < goalFalseRefusals, "%f", r.falseShare())
			})
			run("crash", trial{life: 4 * time.Hour, length: 8 * time.Minute, crash: true}, func(t *testing.T, r result) {
				assert.Assert(t, r.doubtMax <= goalInDoubt, "%f", r.doubtMax)
			})
			if serve {
				run("outage", trial{life: 4 * time.Hour, length: 24 * time.Minute, outage: 10 * time.Minute}, func(t *testing.T, r result) {
					assert.Assert(t, r.outageServed >= goalOutageServed, "%f", r.outageServed)
				})
			}
		}
	}
}

func leanName(serve bool) string {
	if serve {
		return "serve"
	}
	return "small"
}
