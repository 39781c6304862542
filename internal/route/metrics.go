package route

import "github.com/VictoriaMetrics/metrics"

// routeMetrics count what the routing duty decides.
type routeMetrics struct {
	requests  *metrics.Counter
	retries   *metrics.Counter
	refused   *metrics.Counter
	ejections *metrics.Counter
	returns   *metrics.Counter
	stale     *metrics.Counter
	hits      *metrics.Counter
	blocks    *metrics.Counter
}

func newRouteMetrics(set *metrics.Set) *routeMetrics {
	return &routeMetrics{
		requests:  set.NewCounter("daisyslip_route_requests_total"),
		retries:   set.NewCounter("daisyslip_route_retries_total"),
		refused:   set.NewCounter("daisyslip_route_retries_refused_total"),
		ejections: set.NewCounter("daisyslip_route_ejections_total"),
		returns:   set.NewCounter("daisyslip_route_returns_total"),
		stale:     set.NewCounter("daisyslip_route_stale_views_total"),
		hits:      set.NewCounter("daisyslip_route_expected_hit_blocks_total"),
		blocks:    set.NewCounter("daisyslip_route_prompt_blocks_total"),
	}
}
