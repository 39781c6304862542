package endpointlimit

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
)

// kindColdPermit is the bus kind of requests for a permit for a cold endpoint.
const kindColdPermit bus.Kind = "limits.cold_permit"

// coldPermitRequest asks the governor of a cold endpoint for a permit. It tells the rate
// that the asking router knows, since the governor may not know the endpoint yet.
type coldPermitRequest struct {
	Endpoint  string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint"`
}

// ColdOptions are what Limits use for cold endpoints.
type ColdOptions struct {
	// Rate returns the rate of permits for an endpoint in requests a second, 0 if there
	// are to be none, and whether the endpoint is cold now. Known is false if the endpoint
	// or its pool has no such rate.
	Rate func(endpoint string) (perSecond float64, cold, known bool)
	// Governor returns the router that hands out the permits for a cold endpoint, which
	// may be this one, or false if that is not known. In contrast to Options.Governor it
	// must not depend on which routers respond: routers that are cut off from each other
	// would choose different ones.
	Governor func(endpoint string) (bus.ID, bool)
}

// ColdPermitValidity is the time after a permit for a cold endpoint was asked for in which
// a request may be sent with it. Without an end, requests whose connections are slow to
// open would arrive together with those of later permits.
const ColdPermitValidity = 100 * time.Millisecond

// governorsAtOnce is the number of governors of an endpoint that may hand out permits at
// the same time, since the lists of routers can differ for some seconds.
const governorsAtOnce = 2

// ColdRate returns the rate at which one governor hands out permits for a cold endpoint
// that tolerates perSecond requests a second, and must not get more than perSecond *
// overshoot + slack requests in any second. Two governors together stay within that: each
// hands out at most one permit at once, and the permits of 1 s and ColdPermitValidity may
// be used within a second. It returns 0 if no rate is low enough.
func ColdRate(perSecond, overshoot, slack float64) float64 {
	limit := perSecond*overshoot + slack
	rate := (limit - governorsAtOnce) / governorsAtOnce / (1 + ColdPermitValidity.Seconds())
	return max(min(perSecond, rate), 0)
}

// Bounds of the time for which a cold endpoint is closed after a permit was denied. It
// doubles with each denial in a row, since about 70 routers may ask for ten permits a
// second.
const (
	minColdWait = 20 * time.Millisecond
	maxColdWait = time.Second
)

// coldClosure says until when no permit is asked for.
type coldClosure struct {
	until   time.Time
	denials int // in a row
}

// coldPermits asks for and hands out the permits for cold endpoints. Its state is keyed by
// the id of an endpoint and not by its start: routers can take different starts for the
// latest.
type coldPermits struct {
	governor                    *governor
	granted, denied, unanswered *metrics.Counter

	mu     sync.Mutex // guards all below; never held over a call
	closed map[string]coldClosure
	silent map[bus.ID]time.Time // governors that did not respond, until they are asked again
}

func newColdPermits(o Options) *coldPermits {
	permits := func(result string) *metrics.Counter {
		return o.Metrics.NewCounter(`daisyslip_cold_permits_total{result="` + result + `"}`)
	}
	return &coldPermits{
		governor: newGovernor(o.Clock, 0), granted: permits("granted"), denied: permits("denied"), unanswered: permits("unanswered"),
		closed: make(map[string]coldClosure), silent: make(map[bus.ID]time.Time),
	}
}

// ColdClosed returns how long it takes until a permit for a cold endpoint can be asked
// for, and 0 if that is now.
func (l *Limits) ColdClosed(endpoint string) time.Duration {
	l.cold.mu.Lock()
	defer l.cold.mu.Unlock()
	return max(l.cold.closed[endpoint].until.Sub(l.options.Clock.Now()), 0)
}

// acquireCold reports whether a request may be sent to an endpoint as far as it may be
// cold: it is not, or its governor has granted a permit. A permit is valid for
// ColdPermitValidity. Without one the endpoint is closed for a time, unless ctx has ended.
func (l *Limits) acquireCold(ctx context.Context, endpoint string) bool {
	if l.options.Cold.Rate == nil {
		return true
	}
	perSecond, cold, known := l.options.Cold.Rate(endpoint)
	if !known || !cold {
		return true
	}
	if l.ColdClosed(endpoint) > 0 {
		return false // another request was denied one meanwhile
	}
	governor, response, err := l.askCold(ctx, coldPermitRequest{Endpoint: endpoint, PerSecond: perSecond})
	switch {
	case errors.Is(err, errSilentGovernor):
		return false
	case err != nil && ctx.Err() != nil:
		return false // shows nothing of the governor
	case err != nil:
		l.cold.unanswered.Inc()
		l.options.Log.Info("no permit for a cold endpoint, its governor does not respond", "endpoint", endpoint, "governor", governor.String(), "err", err.Error())
		l.closeSilent(endpoint, governor)
		return false
	case response.Granted:
		l.cold.granted.Inc()
		l.cold.mu.Lock()
		delete(l.cold.closed, endpoint)
		l.cold.mu.Unlock()
		return true
	}
	l.cold.denied.Inc()
	l.closeDenied(endpoint, durationOfMS(response.WaitMS))
	return false
}

// closeSilent closes the endpoints of a governor that has not responded.
func (l *Limits) closeSilent(endpoint string, governor bus.ID) {
	until := l.options.Clock.Now().Add(unansweredDelay)
	l.cold.mu.Lock()
	defer l.cold.mu.Unlock()
	l.cold.silent[governor] = until
	closure := l.cold.closed[endpoint]
	closure.until = until
	l.cold.closed[endpoint] = closure
}

// closedBySilence closes an endpoint for as long as its governor is not asked, and reports
// whether that is so.
func (l *Limits) closedBySilence(endpoint string, governor bus.ID) bool {
	l.cold.mu.Lock()
	defer l.cold.mu.Unlock()
	until, silent := l.cold.silent[governor]
	if !silent || !until.After(l.options.Clock.Now()) {
		return false
	}
	closure := l.cold.closed[endpoint]
	closure.until = until
	l.cold.closed[endpoint] = closure
	return true
}

// closeDenied closes an endpoint for about the given time, or longer after several denials
// in a row.
func (l *Limits) closeDenied(endpoint string, wait time.Duration) {
	l.cold.mu.Lock()
	defer l.cold.mu.Unlock()
	closure := l.cold.closed[endpoint]
	wait = min(max(wait, minColdWait)<<min(closure.denials, maxColdDoublings), maxColdWait)
	closure.denials++
	// Routers that were denied at the same time do not all ask again at the same time.
	closure.until = l.options.Clock.Now().Add(wait + rand.N(wait/2))
	l.cold.closed[endpoint] = closure
}

// maxColdDoublings bounds how often the time for which an endpoint is closed is doubled,
// so that its computation does not overflow.
const maxColdDoublings = 6

// Errors of requests for a permit.
var (
	errNoGovernor  = errors.New("governor not known")
	errNotGovernor = errors.New("this router is not the governor of the endpoint")
	// errSilentGovernor: the governor has not responded for another endpoint just now.
	errSilentGovernor = errors.New("governor does not respond")
)

// askCold asks the governor of a cold endpoint for a permit.
func (l *Limits) askCold(ctx context.Context, r coldPermitRequest) (bus.ID, permitResponse, error) {
	governor, found := l.options.Cold.Governor(r.Endpoint)
	if !found {
		return bus.ID{}, permitResponse{}, errNoGovernor
	}
	if governor == l.options.Bus.Self().ID {
		return governor, l.grantCold(r), nil
	}
	if l.closedBySilence(r.Endpoint, governor) {
		return governor, permitResponse{}, errSilentGovernor
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	response, err := bus.Call[coldPermitRequest, permitResponse](ctx, l.options.Bus, governor, kindColdPermit, r)
	return governor, response, err
}

// handleColdPermit handles the request of another router for a permit. A router that is
// not the governor by its own list of routers refuses, so that a router with an outdated
// list does not make it a further governor.
func (l *Limits) handleColdPermit(_ context.Context, _ bus.ID, r coldPermitRequest) (permitResponse, error) {
	if l.options.Cold.Governor == nil {
		return permitResponse{}, errNotGovernor
	}
	if governor, found := l.options.Cold.Governor(r.Endpoint); !found || governor != l.options.Bus.Self().ID {
		return permitResponse{}, errNotGovernor
	}
	return l.grantCold(r), nil
}

// grantCold takes a permit from this router's bucket. Of the rates that this router and
// the asking one know, the lower one counts.
func (l *Limits) grantCold(r coldPermitRequest) permitResponse {
	perSecond := r.PerSecond
	if own, _, known := l.options.Cold.Rate(r.Endpoint); known {
		perSecond = min(perSecond, own)
	}
	if r.Endpoint == "" || !validLimit(perSecond) {
		return permitResponse{WaitMS: maxWait.Milliseconds()}
	}
	granted, wait := l.cold.governor.take(Start{Endpoint: r.Endpoint}, perSecond)
	return permitResponse{Granted: granted, WaitMS: wait.Milliseconds() + 1}
}

// pruneCold forgets endpoints for which no permits are asked for any more. An endpoint
// is not forgotten while a denial in a row lengthens the next wait.
func (l *Limits) pruneCold() {
	c := l.cold
	c.governor.prune()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := l.options.Clock.Now()
	for endpoint, closure := range c.closed {
		if now.Sub(closure.until) > maxColdWait {
			delete(c.closed, endpoint)
		}
	}
	for governor, until := range c.silent {
		if until.Before(now) {
			delete(c.silent, governor)
		}
	}
}
