package balancer

import "github.com/VictoriaMetrics/metrics"

// balancerMetrics counts the balancer's decisions.
type balancerMetrics struct {
	requests          *metrics.Counter
	retries           *metrics.Counter
	retriesRefused    *metrics.Counter
	ejections         *metrics.Counter
	reinstatements    *metrics.Counter
	staleReports      *metrics.Counter
	expectedHitBlocks *metrics.Counter
	promptBlocks      *metrics.Counter
}

// newBalancerMetrics registers the counters in set.
func newBalancerMetrics(set *metrics.Set) *balancerMetrics {
	return &balancerMetrics{
		requests:          set.NewCounter("daisyslip_route_requests_total"),
		retries:           set.NewCounter("daisyslip_route_retries_total"),
		retriesRefused:    set.NewCounter("daisyslip_route_retries_refused_total"),
		ejections:         set.NewCounter("daisyslip_route_ejections_total"),
		reinstatements:    set.NewCounter("daisyslip_route_returns_total"),
		staleReports:      set.NewCounter("daisyslip_route_stale_views_total"),
		expectedHitBlocks: set.NewCounter("daisyslip_route_expected_hit_blocks_total"),
		promptBlocks:      set.NewCounter("daisyslip_route_prompt_blocks_total"),
	}
}
