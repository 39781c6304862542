package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/rowstore/memory"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/routetable"
)

// TestGovernorOfColdEndpointIsListed guards against a router that makes itself the governor
// of all cold endpoints before it has read the list of routers, and against one that stays a
// governor while it stops.
func TestGovernorOfColdEndpointIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newTestGateway(store)
		_, found := g.coldGovernorOf("i-1")
		assert.Assert(t, !found)
		other := newTestGateway(store)
		settings := *other.platformSettings.Load()
		settings.VM = "vm-2"
		other = New(other.settings, settings, other.platform, other.log)
		for _, r := range []*Gateway{g, other} {
			go r.members.Run(t.Context())
		}
		time.Sleep(10 * time.Second)
		governors := make(map[string]int)
		for _, endpoint := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
			governor, found := g.coldGovernorOf(endpoint)
			fromOther, _ := other.coldGovernorOf(endpoint)
			assert.Assert(t, found && governor == fromOther)
			g.members.Suspect(governor) // it does not respond, but is in the list
			again, _ := g.coldGovernorOf(endpoint)
			assert.Equal(t, again, governor)
			governors[governor.VM]++
		}
		assert.Equal(t, len(governors), 2)
		g.draining.Store(true)
		for _, endpoint := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
			governor, _ := g.coldGovernorOf(endpoint)
			assert.Equal(t, governor, other.members.Self())
		}
	})
}

// TestColdRateFollowsConfiguration guards against a limit in a pool that has none, and
// against permits for an endpoint that the router does not know.
func TestColdRateFollowsConfiguration(t *testing.T) {
	g := newTestGateway(memory.New())
	settings := *g.platformSettings.Load()
	settings.Cold = ColdBounds{Overshoot: 1.5, Slack: 5}
	g.platformSettings.Store(&settings)
	g.endpoints.Replace(nil)
	g.endpoints.Set(endpoints.Endpoint{ID: "i-1", Pool: "app", ColdFor: time.Minute})
	for i, c := range []struct {
		pool        routetable.Pool
		known, cold bool
	}{
		{routetable.Pool{Name: "other", ColdStart: time.Second, ColdPerSecond: 11}, false, false},
		{routetable.Pool{Name: "app", ColdStart: time.Second}, false, false},
		{routetable.Pool{Name: "app", ColdPerSecond: 11}, false, false},
		{routetable.Pool{Name: "app", ColdStart: time.Second, ColdPerSecond: 11}, true, true},
	} {
		g.tables.Apply(routetable.New(int64(i+1), routetable.Limits{}, nil, []routetable.Pool{c.pool}, nil, nil))
		rate, cold, known := g.coldRate("i-1")
		assert.Equal(t, known, c.known, "%+v", c.pool)
		assert.Equal(t, cold, c.cold, "%+v", c.pool)
		if known {
			assert.Equal(t, rate, endpointlimit.ColdRate(11, 1.5, 5))
		}
		_, _, known = g.coldRate("i-2")
		assert.Assert(t, !known)
	}
}
