package dispatch

import "github.com/VictoriaMetrics/metrics"

// dispatchMetrics counts the outcomes of attempts and the chunks of their streams
// that were dropped or missing.
type dispatchMetrics struct {
	attempts         *metrics.Counter
	failedAttempts   *metrics.Counter
	resumedAttempts  *metrics.Counter
	stalledAttempts  *metrics.Counter
	foreignPieces    *metrics.Counter
	repeatedPieces   *metrics.Counter
	missingPieces    *metrics.Counter
	canceledAttempts *metrics.Counter
}

// newDispatchMetrics registers the counters in set.
func newDispatchMetrics(set *metrics.Set) *dispatchMetrics {
	return &dispatchMetrics{
		attempts:         set.NewCounter("daisyslip_dispatch_attempts_total"),
		failedAttempts:   set.NewCounter("daisyslip_dispatch_failed_attempts_total"),
		resumedAttempts:  set.NewCounter("daisyslip_dispatch_resumed_attempts_total"),
		stalledAttempts:  set.NewCounter("daisyslip_dispatch_silent_attempts_total"),
		foreignPieces:    set.NewCounter("daisyslip_dispatch_foreign_pieces_total"),
		repeatedPieces:   set.NewCounter("daisyslip_dispatch_repeated_pieces_total"),
		missingPieces:    set.NewCounter("daisyslip_dispatch_missing_pieces_total"),
		canceledAttempts: set.NewCounter("daisyslip_dispatch_canceled_attempts_total"),
	}
}
