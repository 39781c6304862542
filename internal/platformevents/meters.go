package platformevents

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/platform"
)

// step names the kind of a call of the platform. It is the value of the metric label
// "call".
type step string

// The kinds of calls.
const (
	stepGet       step = "get"
	stepRange     step = "range"
	stepCommit    step = "commit"
	stepOutcome   step = "outcome"
	stepPutObject step = "put_object"
	stepGetObject step = "get_object"
	stepListVMs   step = "list_vms"
)

// meters are the metrics of the calls of the platform. The number of series is
// bounded, since the labels take values only from the fixed sets of steps and error
// kinds.
type meters struct {
	set         *metrics.Set
	rowsRead    *metrics.Counter
	rowsWritten *metrics.Counter
}

// newMeters registers the counters of rows in set. The metrics of calls are registered
// at the first call of each kind and result.
func newMeters(set *metrics.Set) meters {
	return meters{
		set:         set,
		rowsRead:    set.NewCounter("daisyslip_platform_read_rows_total"),
		rowsWritten: set.NewCounter("daisyslip_platform_written_rows_total"),
	}
}

// countCall counts one call and records its duration. The kind is that of its error, or
// "" if it succeeded.
func (m *meters) countCall(s step, kind platform.Kind, elapsed time.Duration) {
	result := string(kind)
	if result == "" {
		result = "ok"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_platform_calls_total{call=%q,result=%q}", s, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("daisyslip_platform_call_duration_seconds{call=%q}", s)).Update(elapsed.Seconds())
}
