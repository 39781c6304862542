package dispatch

import "github.com/VictoriaMetrics/metrics"

// dispatchMetrics count what becomes of attempts and pieces.
type dispatchMetrics struct {
	attempts *metrics.Counter
	failed   *metrics.Counter
	resumed  *metrics.Counter
	silent   *metrics.Counter
	foreign  *metrics.Counter
	repeated *metrics.Counter
	gaps     *metrics.Counter
	canceled *metrics.Counter
}

func newDispatchMetrics(set *metrics.Set) *dispatchMetrics {
	return &dispatchMetrics{
		attempts: set.NewCounter("daisyslip_dispatch_attempts_total"),
		failed:   set.NewCounter("daisyslip_dispatch_failed_attempts_total"),
		resumed:  set.NewCounter("daisyslip_dispatch_resumed_attempts_total"),
		silent:   set.NewCounter("daisyslip_dispatch_silent_attempts_total"),
		foreign:  set.NewCounter("daisyslip_dispatch_foreign_pieces_total"),
		repeated: set.NewCounter("daisyslip_dispatch_repeated_pieces_total"),
		gaps:     set.NewCounter("daisyslip_dispatch_missing_pieces_total"),
		canceled: set.NewCounter("daisyslip_dispatch_canceled_attempts_total"),
	}
}
