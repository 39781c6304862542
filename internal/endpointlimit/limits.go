package endpointlimit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Options are what Limits use.
type Options struct {
	Clock   clock.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Limits are the rate limits of the endpoints. They are safe for concurrent use.
type Limits struct {
	options Options
	table   *table

	mu      sync.Mutex       // guards all below
	invalid map[Start]string // last stated limit that was none
}

// New returns Limits without any endpoint.
func New(o Options) *Limits {
	return &Limits{options: o, table: newTable(o.Clock, o.Log, o.Metrics), invalid: make(map[Start]string)}
}

// Learn takes in the limit in a response to a request that was sent at sentAt, or 0 if
// the response states none. Such a response ends a limit only if the request was sent
// after the limit was last stated, since responses may overtake each other.
func (l *Limits) Learn(s Start, perSecond float64, sentAt time.Time) {
	if perSecond == 0 {
		if limit, at := l.table.limit(s); limit == 0 || !sentAt.After(at) {
			return
		}
	}
	l.table.update(Statement{Start: s, PerSecond: perSecond}, l.options.Clock.Now(), "response")
}

// maxInvalid bounds the endpoints whose invalid limits are remembered.
const maxInvalid = 1024

// LogInvalid logs a stated limit that is none, once for each value.
func (l *Limits) LogInvalid(s Start, value string) {
	l.mu.Lock()
	logged := l.invalid[s] == value
	if len(l.invalid) >= maxInvalid {
		clear(l.invalid)
	}
	l.invalid[s] = value
	l.mu.Unlock()
	if logged {
		return
	}
	l.options.Log.Warn("rate limit of an endpoint ignored, it is no positive decimal number", "endpoint", s.Endpoint, "value", value)
}

// Prune forgets endpoints to which no requests are sent any more.
func (l *Limits) Prune() { l.table.prune() }
