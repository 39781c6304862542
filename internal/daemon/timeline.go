package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/platformevents"
	"daisyslip.dev/daisyslip/internal/platformhttp"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// instrumentPlatform wraps the platform client so that its calls are recorded as
// events, creates the store for copies of other routers' events, and registers the
// metrics of the events and of the traffic to the platform. It needs d.events and must
// precede everything that uses d.platform.
func (d *Daemon) instrumentPlatform() {
	d.platform = platformevents.Wrap(d.platformClient, d.events, clock.Real{}, d.metrics)
	d.copies = timeline.NewCopies(d.settings.Timeline, d.self.ID, d.events.Clock())
	registerTimelineMetrics(d.metrics, d.events)
	registerTrafficMetrics(d.metrics, d.platformClient.Traffic())
}

// newCopier returns the component that copies this router's events to a peer over peerBus.
func (d *Daemon) newCopier(peerBus bus.Bus) *timeline.Copier {
	return timeline.NewCopier(d.settings.Timeline, d.events, d.copies, peerBus, clock.Real{}, d.metrics)
}

// registerTimelineMetrics registers the counters of the event ring as metrics.
func registerTimelineMetrics(set *metrics.Set, events *timeline.Ring) {
	set.NewGauge("daisyslip_timeline_recorded_events_total", func() float64 { return float64(events.Counts().Recorded) })
	set.NewGauge("daisyslip_timeline_overwritten_events_total", func() float64 { return float64(events.Counts().Overwritten) })
}

// registerTrafficMetrics registers the byte counters of the connections to the platform
// as metrics.
func registerTrafficMetrics(set *metrics.Set, t *platformhttp.Traffic) {
	set.NewGauge("daisyslip_platform_sent_bytes_total", func() float64 { return float64(t.Sent()) })
	set.NewGauge("daisyslip_platform_received_bytes_total", func() float64 { return float64(t.Received()) })
}
