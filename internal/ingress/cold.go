package ingress

import (
	"context"
	"errors"
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/placement"
)

// errNoPermit: the endpoint is cold, and there was no permit when the request could be sent.
var errNoPermit = errors.New("no permit for a cold endpoint")

// maxDeniedPermits bounds the permits for cold endpoints that are asked for in vain for one
// request while the pool has no other endpoints. Each can take the time of a call. After
// that the request is refused.
const maxDeniedPermits = 3

// coldUse says whether endpoints that need a permit since they are cold are among those
// that may take a request.
type coldUse int

const (
	coldAllowed coldUse = iota
	// coldAvoided: they are, if there are no others that were not tried.
	coldAvoided
	// coldExcluded: they are not.
	coldExcluded
)

// coldUse returns which use of cold endpoints the request may still make. After one denied
// permit, it waits for another one only if there are no other endpoints.
func (q *request) coldUse() coldUse {
	switch {
	case q.deniedPermits >= maxDeniedPermits:
		return coldExcluded
	case q.deniedPermits > 0:
		return coldAvoided
	}
	return coldAllowed
}

// openEndpoints returns the endpoints of the pool that may take a request now. Those that
// are evacuated, are closed by a rate limit, or need a permit that cannot be asked for now
// are left out. If some are closed, opensIn is the time until the first of them opens,
// else 0. All choices of an endpoint use it.
func (q *request) openEndpoints(use coldUse) (open []endpoints.Endpoint, opensIn time.Duration) {
	d := q.handler.deps
	usable := d.Endpoints.Usable(q.pool)
	cold := d.Endpoints.ColdIn(q.pool)
	if d.Limits.None() && len(cold) == 0 {
		return usable, 0
	}
	now := d.Clock.Now()
	others := false // endpoints that need no permit and were not tried
	for _, e := range usable {
		closedFor := d.Limits.Closed(startOf(e))
		until, isCold := cold[e.ID]
		if isCold {
			closedFor = max(closedFor, min(d.Limits.ColdClosed(e.ID), until.Sub(now)))
		}
		if closedFor <= 0 {
			open = append(open, e)
			others = others || !isCold && !q.excluded[e.ID]
		} else if opensIn == 0 || closedFor < opensIn {
			opensIn = closedFor
		}
	}
	if use == coldExcluded || use == coldAvoided && others {
		open = slices.DeleteFunc(open, func(e endpoints.Endpoint) bool { _, isCold := cold[e.ID]; return isCold })
	}
	return open, opensIn
}

// acquire reports whether a request may be sent to an endpoint as far as rate limits and
// coldness go. PermittedAt is the time from which a permit for a cold endpoint is valid, or
// zero if none was needed.
func (q *request) acquire(ctx context.Context, e endpoints.Endpoint) (permittedAt time.Time, ok bool) {
	d := q.handler.deps
	now := d.Clock.Now()
	_, cold := d.Endpoints.Cold(e)
	ok = d.Limits.Acquire(ctx, startOf(e))
	if !cold {
		return time.Time{}, ok
	}
	if !ok && ctx.Err() == nil {
		q.deniedPermits++
	}
	return now, ok
}

// confirmPermit is called right before the first byte is sent. It reports whether the
// endpoint of a is not cold, or there is a permit that is still valid. If the connection
// took long to open, or the endpoint has turned cold meanwhile, it asks for another one,
// whose response can also arrive after the permit's time.
func (q *request) confirmPermit(a *attempt) bool {
	d := q.handler.deps
	if _, cold := d.Endpoints.Cold(a.endpoint); !cold {
		return true
	}
	if !a.permittedAt.IsZero() && q.permitValid(a.permittedAt) {
		return true
	}
	permittedAt := d.Clock.Now()
	return d.Limits.Acquire(a.ctx, startOf(a.endpoint)) && q.permitValid(permittedAt)
}

// permitValid reports whether a permit that was asked for at the given time may still be
// used.
func (q *request) permitValid(permittedAt time.Time) bool {
	return clock.Elapsed(permittedAt, q.handler.deps.Clock.Now()) <= endpointlimit.ColdPermitValidity
}

// learnFailure records that the endpoint of an attempt may have restarted and be cold, if
// the attempt ended accordingly.
func (q *request) learnFailure(a *attempt, outcome attemptOutcome, observation placement.Observation) {
	if outcome == connectionBroken || observation == placement.Unreachable {
		q.handler.deps.Endpoints.MarkFailed(a.endpoint.ID, a.endpoint.StartedMs)
	}
}
