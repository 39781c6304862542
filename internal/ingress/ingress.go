// Package ingress serves callers' requests. It finds the route of a request,
// reserves tokens of its workspace, sends it to an endpoint, retries it where that
// is safe, and forwards the response.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/connlimit"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
	"daisyslip.dev/daisyslip/internal/retrybudget"
	"daisyslip.dev/daisyslip/internal/routerload"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// Settings configure a Handler.
type Settings struct {
	// MaxInFlight bounds the requests that the router handles at the same time.
	MaxInFlight int64 `json:"max_in_flight"`
	// DefaultTimeout applies to requests on routes without a timeout. A timeout in
	// the request can only shorten it.
	DefaultTimeout time.Duration `json:"default_patience"`
	// MaxBodyBytes bounds a request body if the configuration sets no limit.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MaxInFlight:    1500, // two file descriptors per request, of 4,100 on the smallest VM
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

// Dependencies are the parts of the router that a Handler uses.
type Dependencies struct {
	Codec     exchange.Codec
	Tables    *routetable.Current
	Endpoints *endpoints.Registry
	Balancer  *placement.Balancer
	Retries   *retrybudget.Budget
	Prepaid   *prepaid.Pool
	Upstream  *upstream.Pool
	// Quarantine decides which prompts are refused because they crash endpoints.
	Quarantine *quarantine.Quarantine
	Limits     *endpointlimit.Limits
	// Load tells whether the router is overloaded; nil for a router that never is.
	Load *routerload.Monitor
	// Bytes bounds the bytes that are kept of bodies, heads and incomplete events; nil for no bound.
	Bytes   *bytebudget.Budget
	Clock   clock.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	settings Settings
	deps     Dependencies
	inFlight atomic.Int64          // requests that are being handled
	drain    atomic.Pointer[drain] // nil until Drain is called
	cutOff   atomic.Bool           // set by CutOff
	stats    stats
	ends     *endChecker
	// durations are those of requests that were served.
	durations durations
}

// NewHandler returns a handler that registers its metrics in the Metrics set of
// its dependencies.
func NewHandler(s Settings, deps Dependencies) *Handler {
	return &Handler{settings: s, deps: deps, stats: newStats(deps.Metrics), ends: newEndChecker(deps)}
}

// Close ends the checks of endpoints that run in the background. Later ones are not
// started.
func (h *Handler) Close() { h.ends.close() }

// CutOff records that connections of callers are closed from now on, so that requests
// that end thereby are not taken for those of callers that have disconnected.
func (h *Handler) CutOff() { h.cutOff.Store(true) }

// InFlight returns the number of requests that are being handled.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.deps.Load.Begin()
	h.closeAfterResponse(w.Header())
	q := &request{handler: h, writer: w, httpRequest: r, startedAt: h.deps.Clock.Now(), conn: connlimit.FromContext(r.Context())}
	q.kept = h.deps.Bytes.OpenCaller(q.conn)
	defer q.kept.Close()
	defer func() { h.deps.Load.End(int64(len(q.body))+q.written, q.writes) }()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	refused := q.answer(ctx, inFlight)
	q.logEnd(refused)
	if q.truncated || q.disconnected {
		// This panic is the only way to truncate a response so that the caller
		// notices. It is needed for a disconnected caller, too, since that may have
		// closed only its sending side.
		panic(http.ErrAbortHandler)
	}
}

// answer serves the request and writes its refusal, if any, which it returns. A panic ends
// only this request, like an attempt whose outcome is unknown.
func (q *request) answer(ctx context.Context, inFlight int64) (refused *refusal) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		q.logPanic(cause, q.endpointID)
		if q.status != 0 {
			q.truncated = true
			return
		}
		refused = refuseOutcomeUnknown(http.StatusBadGateway, errHandlerPanicked)
		q.writeRefusal(refused)
	}()
	if refused = q.admit(inFlight); refused == nil {
		refused = q.serve(ctx)
	}
	if refused != nil {
		q.writeRefusal(refused)
		q.discardRemaining()
	}
	return refused
}

// logPanic logs a panic that was recovered, with its stack.
func (q *request) logPanic(cause any, endpoint string) {
	q.handler.deps.Log.Error("request handler panicked", "request", q.params.ID, "endpoint", endpoint, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// errHandlerPanicked is told to the caller of a request whose handler panicked.
var errHandlerPanicked = errors.New("internal error of the router")

// stats are the counters and histograms of a Handler. Histograms are in seconds.
type stats struct {
	set                 *metrics.Set
	firstByte           *metrics.Histogram
	responseTime        *metrics.Histogram
	eventGap            *metrics.Histogram
	reserveTime         *metrics.Histogram
	overlap             *metrics.Histogram // how long two endpoints may have worked on one request
	retries             *metrics.Counter
	resumed             *metrics.Counter
	retriesRefused      *metrics.Counter
	callersDisconnected *metrics.Counter
}

func newStats(set *metrics.Set) stats {
	return stats{
		set:                 set,
		firstByte:           set.NewHistogram("daisyslip_first_byte_seconds"),
		responseTime:        set.NewHistogram("daisyslip_answer_seconds"),
		eventGap:            set.NewHistogram("daisyslip_event_pause_seconds"),
		reserveTime:         set.NewHistogram("daisyslip_reserve_seconds"),
		overlap:             set.NewHistogram("daisyslip_takeover_overlap_seconds"),
		retries:             set.NewCounter("daisyslip_repeats_total"),
		resumed:             set.NewCounter("daisyslip_streams_resumed_total"),
		retriesRefused:      set.NewCounter("daisyslip_repeats_refused_total"),
		callersDisconnected: set.NewCounter("daisyslip_callers_gone_total"),
	}
}
