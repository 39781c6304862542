package platformevents

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/platform"
)

// step names a call of the platform in metrics.
type step string

// The calls.
const (
	stepGet       step = "get"
	stepRange     step = "range"
	stepCommit    step = "commit"
	stepOutcome   step = "outcome"
	stepPutObject step = "put_object"
	stepGetObject step = "get_object"
	stepListVMs   step = "list_vms"
)

// meters count the calls of the platform. Their labels are the fixed sets of
// calls and kinds of errors.
type meters struct {
	set         *metrics.Set
	rowsRead    *metrics.Counter
	rowsWritten *metrics.Counter
}

func newMeters(set *metrics.Set) meters {
	return meters{
		set:         set,
		rowsRead:    set.NewCounter("daisyslip_platform_read_rows_total"),
		rowsWritten: set.NewCounter("daisyslip_platform_written_rows_total"),
	}
}

// called counts one call by its result, which is ok or the kind of its error.
func (m *meters) countCall(s step, kind platform.Kind, elapsed time.Duration) {
	result := string(kind)
	if result == "" {
		result = "ok"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_platform_calls_total{call=%q,result=%q}", s, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("daisyslip_platform_call_duration_seconds{call=%q}", s)).Update(elapsed.Seconds())
}
