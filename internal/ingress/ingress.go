// Package ingress serves callers: it takes a request, finds its route, has its
// workspace pay for it, sends it to an endpoint and passes the answer on.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/retrybudget"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// Settings are the settings of the ingress.
type Settings struct {
	// MaxInFlight bounds the requests at a time.
	MaxInFlight int64 `json:"max_in_flight"`
	// DefaultPatience holds for requests that say none, on routes without a
	// timeout.
	DefaultTimeout time.Duration `json:"default_patience"`
	// MaxBodyBytes holds while no configuration tells another bound.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MaxInFlight:    1500, // two descriptors each, of 4,100 on the smallest VM
		DefaultTimeout: 30 * time.Second,
		MaxBodyBytes:   4 << 20,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".max_in_flight", s.MaxInFlight)
	l.Duration(path+".default_patience", s.DefaultTimeout, time.Millisecond, time.Hour)
	l.Positive(path+".max_body_bytes", s.MaxBodyBytes)
}

// Duties are what the ingress works with.
type Dependencies struct {
	Codec     exchange.Codec
	Tables    *routetable.Current
	Endpoints *endpoints.Registry
	Balancer  *placement.Balancer
	Retries   *retrybudget.Budget
	Prepaid   *prepaid.Holder
	Upstream  *upstream.Pool
	Clock     clock.Clock
	Log       *slog.Logger
	Metrics   *metrics.Set
}

// Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	settings Settings
	duties   Dependencies
	inFlight atomic.Int64
	drain    atomic.Pointer[drain]
	stats    stats
}

// NewHandler returns a handler.
func NewHandler(s Settings, d Dependencies) *Handler {
	return &Handler{settings: s, duties: d, stats: newStats(d.Metrics)}
}

// InFlight returns the number of requests at present.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// drain is a planned stop under way.
type drain struct{ begun, end time.Time }

// Drain has every answer from now on close its connection. Requests that may
// last beyond end are refused once callers had time to learn of the stop.
func (h *Handler) Drain(end time.Time) {
	h.drain.Store(&drain{begun: h.duties.Clock.Now(), end: end})
}

// drainNotice is how long after the start of a stop requests of any length are
// taken: the balancer needs two questions, a second apart, to learn of it, and
// callers on open connections expect their requests to be taken for 3 s.
const drainNotice = 2800 * time.Millisecond

// outlasts reports whether a request that arrives now and may last until by
// would be cut off by the stop.
func (d *drain) outlasts(now, by time.Time) bool {
	return d != nil && now.Sub(d.begun) > drainNotice && by.After(d.end)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	q := &request{handler: h, writer: w, http: r, started: h.duties.Clock.Now()}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	refused := q.admit(inFlight)
	if refused == nil {
		refused = q.serve(ctx)
	}
	if refused != nil {
		q.refuse(refused)
	}
	q.log(refused)
	if q.torn || q.gone {
		// The only way to end an answer short. A caller that counts as gone may
		// have closed its sending side alone.
		panic(http.ErrAbortHandler)
	}
}

// stats are the counters and histograms of the ingress.
type stats struct {
	set        *metrics.Set
	firstByte  *metrics.Histogram
	whole      *metrics.Histogram
	pause      *metrics.Histogram
	reserve    *metrics.Histogram
	repeats    *metrics.Counter
	resumed    *metrics.Counter
	noRepeat   *metrics.Counter
	callerGone *metrics.Counter
}

func newStats(set *metrics.Set) stats {
	return stats{
		set:        set,
		firstByte:  set.NewHistogram("daisyslip_first_byte_seconds"),
		whole:      set.NewHistogram("daisyslip_answer_seconds"),
		pause:      set.NewHistogram("daisyslip_event_pause_seconds"),
		reserve:    set.NewHistogram("daisyslip_reserve_seconds"),
		repeats:    set.NewCounter("daisyslip_repeats_total"),
		resumed:    set.NewCounter("daisyslip_streams_resumed_total"),
		noRepeat:   set.NewCounter("daisyslip_repeats_refused_total"),
		callerGone: set.NewCounter("daisyslip_callers_gone_total"),
	}
}
