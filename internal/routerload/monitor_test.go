package routerload

import (
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// TestRouterOutOfRotationWithdrawsNothing guards against a router that uses up the quota of its
// domain while it starts or stops, that is withdrawn as soon as it has started, and that keeps a
// withdrawal beyond its least time while it stops.
func TestRouterOutOfRotationWithdrawsNothing(t *testing.T) {
	self, serving, notices := bus.ID{VM: "vm-1", Incarnation: "1"}, false, 0
	m := New(Options{
		Settings: DefaultSettings(), Capacity: smallVM, Self: self, Domain: "zone-a", Clock: clock.Real{},
		Fleet:   func() Fleet { return Fleet{Listed: []bus.ID{self, {VM: "vm-2", Incarnation: "1"}}, DomainSize: 2} },
		Serving: func() bool { return serving },
		Publish: func(Notice) { notices++ }, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
	now := time.Unix(1000, 0)
	play := func(lasts time.Duration) {
		for end := now.Add(lasts); now.Before(end); {
			now = now.Add(sampleInterval)
			m.take(now, Sample{Interval: sampleInterval, InFlight: 9999})
		}
	}
	play(5 * time.Second)
	assert.Assert(t, m.Overloaded())
	assert.Equal(t, notices, 0)
	serving = true
	play(minReady - 2*sampleInterval)
	assert.Assert(t, !m.Withdrawn())
	play(time.Second)
	assert.Assert(t, m.Withdrawn())
	serving = false
	play(minWithdrawn)
	assert.Assert(t, !m.Withdrawn())
	play(5 * time.Second)
	assert.Equal(t, notices, 2)
}
