package ingress

import (
	"time"

	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// startOf names the start of an endpoint for the rate limits.
func startOf(e endpoints.Endpoint) endpointlimit.Start {
	return endpointlimit.Start{Endpoint: e.ID, StartedMs: e.StartedMs}
}

// openEndpoints returns the endpoints of the pool that may get a request now. If some are
// closed by their rate limits, opensIn is the time until the first of them opens, else 0.
func (q *request) openEndpoints() (open []endpoints.Endpoint, opensIn time.Duration) {
	usable := q.handler.deps.Endpoints.Usable(q.pool)
	if q.handler.deps.Limits.None() {
		return usable, 0
	}
	for _, e := range usable {
		closedFor := q.handler.deps.Limits.Closed(startOf(e))
		if closedFor == 0 {
			open = append(open, e)
		} else if opensIn == 0 || closedFor < opensIn {
			opensIn = closedFor
		}
	}
	return open, opensIn
}

// learnLimit takes in the rate limit that the response of an attempt states, and for how
// long its endpoint wants no further requests.
func (q *request) learnLimit(a *attempt) {
	metadata := a.metadata
	if metadata.WrongInstance {
		return // another endpoint has responded
	}
	start := startOf(a.endpoint)
	q.handler.deps.Limits.Refuse(start, metadata.RefusedFor)
	if metadata.InvalidRateLimit != "" {
		q.handler.deps.Limits.LogInvalid(start, metadata.InvalidRateLimit)
		return // a limit that was stated before stays
	}
	q.handler.deps.Limits.Learn(start, metadata.RateLimit, a.startedAt)
}

// learnLoad takes in the load that the response of an attempt reports. A load with
// slowness is used only if the chosen endpoint has reported it.
func (q *request) learnLoad(a *attempt) {
	load := a.metadata.Load
	switch {
	case a.metadata.InvalidLoad != "":
		q.handler.deps.Balancer.LogInvalidLoad(a.endpoint.ID, a.metadata.InvalidLoad)
	case load == nil, load.Slowness > 0 && a.metadata.WrongInstance:
	default:
		q.handler.deps.Balancer.Report(a.endpoint.ID, *load)
	}
}

// learnLeaving stops sending requests to the endpoint of an attempt if its response says
// that it is leaving. Requests that it has go on.
func (q *request) learnLeaving(a *attempt) {
	e := a.endpoint
	if a.metadata.Leaving && !a.metadata.WrongInstance && q.handler.deps.Endpoints.MarkLeaving(e.ID, e.StartedMs) {
		q.handler.deps.Upstream.CloseIdle(e.Addr)
	}
}
