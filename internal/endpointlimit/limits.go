package endpointlimit

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// kindPermit is the bus kind of requests for a permit.
const kindPermit bus.Kind = "limits.permit"

// permitRequest asks the governor of an endpoint for a permit. It tells the limit that
// the asking router knows, in case the governor knows an older one or none.
type permitRequest struct {
	Statement Statement `cbor:"1,keyasint"`
	// AgeMS is the time since the limit was stated, in milliseconds.
	AgeMS int64 `cbor:"2,keyasint"`
}

// permitResponse grants a permit, or tells when to ask again.
type permitResponse struct {
	Granted bool  `cbor:"1,keyasint"`
	WaitMS  int64 `cbor:"2,keyasint"`
}

// Options are what Limits use.
type Options struct {
	Bus bus.Bus
	// Governor returns the router that hands out the permits for an endpoint, which may
	// be this one. Routers that reach each other agree, except for moments.
	Governor func(endpoint string) bus.ID
	// Publish sends a statement to all other routers. It must not block.
	Publish func(Statement)
	// Cold is for cold endpoints; without it there are none.
	Cold    ColdOptions
	Clock   clock.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Limits are the rate limits of the endpoints. They are safe for concurrent use.
type Limits struct {
	options  Options
	table    *table
	governor *governor
	cold     *coldPermits
	stats    stats

	mu      sync.Mutex          // guards all below; never held over a call
	invalid map[Start]string    // last stated limit that was none
	closed  map[Start]time.Time // no permit is asked for before this time
	refused map[Start]time.Time // the endpoint wants no requests of this router before this time

	refusing atomic.Int64 // length of refused
}

// stats are the counters of Limits.
type stats struct{ granted, denied, unanswered *metrics.Counter }

// New returns Limits without any endpoint and registers their handler at the bus.
func New(o Options) *Limits {
	permits := func(result string) *metrics.Counter {
		return o.Metrics.NewCounter(`daisyslip_endpoint_permits_total{result="` + result + `"}`)
	}
	l := &Limits{
		options: o, table: newTable(o.Clock, o.Log, o.Metrics), governor: newGovernor(o.Clock, burstTime), cold: newColdPermits(o),
		stats:   stats{granted: permits("granted"), denied: permits("denied"), unanswered: permits("unanswered")},
		invalid: make(map[Start]string), closed: make(map[Start]time.Time), refused: make(map[Start]time.Time),
	}
	bus.Handle(o.Bus, kindPermit, l.handlePermit)
	bus.Handle(o.Bus, kindColdPermit, l.handleColdPermit)
	return l
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
	statement := Statement{Start: s, PerSecond: perSecond}
	if l.table.update(statement, l.options.Clock.Now(), "response") {
		l.options.Publish(statement)
	}
}

// Receive takes in a statement that another router received at the given time of this
// router's clock.
func (l *Limits) Receive(s Statement, at time.Time) {
	if s.Endpoint == "" || !validLimit(s.PerSecond) && s.PerSecond != 0 {
		l.options.Log.Warn("rate limit of another router ignored, it is no limit", "endpoint", s.Endpoint, "per_second", s.PerSecond)
		return
	}
	l.table.update(s, at, "peer")
}

// validLimit reports whether a number can be a limit. Infinity and NaN can't.
func validLimit(perSecond float64) bool { return perSecond > 0 && perSecond <= maxPerSecond }

// maxPerSecond is the largest limit that is told apart from none.
const maxPerSecond = 1e9

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

// Refuse records that an endpoint wants no requests of this router for a time. A refusal
// does not shorten an earlier one, since responses may overtake each other.
func (l *Limits) Refuse(s Start, d time.Duration) {
	if d <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until := l.options.Clock.Now().Add(d)
	known, found := l.refused[s]
	if !until.After(known) || !found && len(l.refused) >= maxStates {
		return
	}
	l.refused[s] = until
	l.refusing.Store(int64(len(l.refused)))
	l.options.Log.Info("endpoint refuses the requests of this router", "endpoint", s.Endpoint, "for_ms", d.Milliseconds())
}

// None reports whether every endpoint may get requests without a permit. It takes no
// lock.
func (l *Limits) None() bool { return l.table.limited.Load() == 0 && l.refusing.Load() == 0 }

// Closed returns how long it takes until the endpoint may get a request, or a permit for
// it can be asked for, and 0 if that is now.
func (l *Limits) Closed(s Start) time.Duration {
	perSecond, _ := l.table.limit(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	until := l.refused[s]
	if perSecond > 0 && l.closed[s].After(until) {
		until = l.closed[s]
	}
	return max(until.Sub(l.options.Clock.Now()), 0)
}

// refuses reports whether the endpoint wants no requests of this router now.
func (l *Limits) refuses(s Start) bool {
	if l.refusing.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused[s].After(l.options.Clock.Now())
}

// permitTimeout bounds the wait for a permit. A request that gets none in time goes
// elsewhere.
const permitTimeout = 60 * time.Millisecond

// unansweredDelay is the time after which a governor that did not respond is asked
// again.
const unansweredDelay = 250 * time.Millisecond

// Acquire reports whether a request may be sent to an endpoint now: the endpoint does not
// refuse it, and is not cold and states no limit, or its governors have granted permits.
// Without a permit the endpoint is closed for a time, unless ctx has ended. A permit for a
// cold endpoint is valid for ColdPermitValidity.
func (l *Limits) Acquire(ctx context.Context, s Start) bool {
	if l.refuses(s) || !l.acquireCold(ctx, s.Endpoint) {
		return false
	}
	perSecond, at := l.table.limit(s)
	if perSecond == 0 {
		return true
	}
	now := l.options.Clock.Now()
	response, err := l.ask(ctx, permitRequest{Statement: Statement{Start: s, PerSecond: perSecond}, AgeMS: now.Sub(at).Milliseconds()})
	switch {
	case err != nil && ctx.Err() != nil:
		return false // shows nothing of the governor
	case err != nil:
		l.stats.unanswered.Inc()
		l.options.Log.Info("no permit for an endpoint with a rate limit, its governor does not respond", "endpoint", s.Endpoint, "err", err.Error())
		response.WaitMS = unansweredDelay.Milliseconds()
	case response.Granted:
		l.stats.granted.Inc()
		return true
	default:
		l.stats.denied.Inc()
	}
	wait := durationOfMS(response.WaitMS)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Routers that were denied at the same time do not all ask again at the same time.
	l.closed[s] = now.Add(wait + rand.N(wait/2+time.Millisecond))
	return false
}

// maxWait bounds the time for which an endpoint is closed.
const maxWait = 10 * time.Second

// durationOfMS returns a number of milliseconds as a duration from 1 ms to maxWait.
func durationOfMS(ms int64) time.Duration {
	return time.Duration(min(max(ms, 1), maxWait.Milliseconds())) * time.Millisecond
}

// ask asks the governor of an endpoint for a permit.
func (l *Limits) ask(ctx context.Context, r permitRequest) (permitResponse, error) {
	governor := l.options.Governor(r.Statement.Endpoint)
	if governor == l.options.Bus.Self().ID {
		return l.grant(r.Statement.Start), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return bus.Call[permitRequest, permitResponse](ctx, l.options.Bus, governor, kindPermit, r)
}

// handlePermit handles the request of another router for a permit.
func (l *Limits) handlePermit(_ context.Context, _ bus.ID, r permitRequest) (permitResponse, error) {
	age := time.Duration(min(max(r.AgeMS, 0), retention.Milliseconds())) * time.Millisecond
	l.Receive(r.Statement, l.options.Clock.Now().Add(-age))
	return l.grant(r.Statement.Start), nil
}

// grant takes a permit from this router's bucket.
func (l *Limits) grant(s Start) permitResponse {
	perSecond, _ := l.table.limit(s)
	if perSecond == 0 {
		return permitResponse{Granted: true}
	}
	granted, wait := l.governor.take(s, perSecond)
	return permitResponse{Granted: granted, WaitMS: wait.Milliseconds() + 1}
}

// Prune forgets endpoints to which no requests are sent any more.
func (l *Limits) Prune() {
	l.table.prune()
	l.governor.prune()
	l.pruneCold()
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, until := range l.closed {
		if until.Before(l.options.Clock.Now()) {
			delete(l.closed, s)
		}
	}
	for s, until := range l.refused {
		if until.Before(l.options.Clock.Now()) {
			delete(l.refused, s)
		}
	}
	l.refusing.Store(int64(len(l.refused)))
}
