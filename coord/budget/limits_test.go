package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// Limits that the holder must meet, as fractions.
const (
	maxFalseRefusalShare = 0.005
	minOutageServedShare = 0.97
	maxInDoubtShare      = 0.01
)

// TestTrialsMeetLimits checks short trials of both deployments against these limits: the
// whole lifetime of the budgets, an outage of 10 minutes, and a killed
// router.
func TestTrialsMeetLimits(t *testing.T) {
	if testing.Short() {
		t.Log("the trials are too long for -short")
		return
	}
	for _, d := range deployments {
		for _, serveOutages := range []bool{false, true} {
			run := func(name string, tr trial, check func(*testing.T, trialResult)) {
				t.Run(d.name+"/"+policyName(serveOutages)+"/"+name, func(t *testing.T) {
					t.Parallel()
					tr.deployment, tr.seed = d, measureSeed
					var r trialResult
					synctest.Test(t, func(*testing.T) {
						r = tr.run(func(tr trial, s *memory.Store) *candidate { return newEscrowCandidate(tr, s, serveOutages, false) })
					})
					t.Logf("seed %d | %s", measureSeed, r)
					assert.Equal(t, r.overspend, int64(0))
					check(t, r)
				})
			}
			run("whole life", trial{budgetLifetime: 20 * time.Minute, duration: 22 * time.Minute}, func(t *testing.T, r trialResult) {
				assert.Equal(t, r.falseBefore98, 0)
				assert.Assert(t, r.falseRefusalShare() < maxFalseRefusalShare, "%f", r.falseRefusalShare())
			})
			run("crash", trial{budgetLifetime: 4 * time.Hour, duration: 8 * time.Minute, crash: true}, func(t *testing.T, r trialResult) {
				assert.Assert(t, r.inDoubtMax <= maxInDoubtShare, "%f", r.inDoubtMax)
			})
			if serveOutages {
				run("outage", trial{budgetLifetime: 4 * time.Hour, duration: 24 * time.Minute, outage: 10 * time.Minute}, func(t *testing.T, r trialResult) {
					assert.Assert(t, r.outageServed >= minOutageServedShare, "%f", r.outageServed)
				})
			}
		}
	}
}

// policyName returns the name of the grant policy that serveOutages selects.
func policyName(serveOutages bool) string {
	if serveOutages {
		return "serve"
	}
	return "small"
}
