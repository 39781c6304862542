package ingress

import (
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// startOf names the start of an endpoint for the rate limits.
func startOf(e endpoints.Endpoint) endpointlimit.Start {
	return endpointlimit.Start{Endpoint: e.ID, StartedMs: e.StartedMs}
}

// learnLimit takes in the rate limit that the response of an attempt states, for how
// long its endpoint wants no further requests, and for how long it is cold.
func (q *request) learnLimit(a *attempt) {
	metadata := a.metadata
	if metadata.WrongInstance {
		return // another endpoint has responded
	}
	start := startOf(a.endpoint)
	q.handler.deps.Limits.Refuse(start, metadata.RefusedFor)
	if metadata.ColdFor > 0 {
		q.handler.deps.Endpoints.MarkCold(start.Endpoint, start.StartedMs, metadata.ColdFor)
	}
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
