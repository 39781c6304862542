package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/internal/platformhttp"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// registerTimelineMetrics exposes the counts of the time line.
func registerTimelineMetrics(set *metrics.Set, events *timeline.Ring) {
	set.NewGauge("daisyslip_timeline_recorded_events_total", func() float64 { return float64(events.Counts().Recorded) })
	set.NewGauge("daisyslip_timeline_overwritten_events_total", func() float64 { return float64(events.Counts().Overwritten) })
}

// registerTrafficMetrics exposes the bytes on the connections to the platform.
func registerTrafficMetrics(set *metrics.Set, t *platformhttp.Traffic) {
	set.NewGauge("daisyslip_platform_sent_bytes_total", func() float64 { return float64(t.Sent()) })
	set.NewGauge("daisyslip_platform_received_bytes_total", func() float64 { return float64(t.Received()) })
}
