package ingress

import (
	"context"
	"errors"

	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// classifyNoResponse returns the outcome of an attempt for which no response
// head was received, and what it shows of the endpoint.
func (q *request) classifyNoResponse(ctx context.Context, err error) (attemptOutcome, placement.Observation, error) {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() != nil {
			return q.interruptedOutcome(true), placement.Inconclusive, err
		}
		if errors.Is(err, errLeftPool) || errors.Is(err, errNoPermit) {
			return notSent, placement.Inconclusive, err
		}
		return notSent, placement.Unreachable, err
	}
	return q.classifyIncomplete(ctx, err)
}

// interruptedOutcome returns the outcome of an attempt whose context ended, either
// because the caller disconnected or because the deadline of the request passed.
// NothingSent is set if no byte of the request was sent.
func (q *request) interruptedOutcome(nothingSent bool) attemptOutcome {
	if q.httpRequest.Context().Err() != nil {
		return callerDisconnected
	}
	if nothingSent {
		return notSent
	}
	return deadlineExceeded
}

// classifyIncomplete returns the outcome of an attempt whose response ended
// before it was complete, and what it shows of the endpoint.
func (q *request) classifyIncomplete(ctx context.Context, err error) (attemptOutcome, placement.Observation, error) {
	switch {
	case q.httpRequest.Context().Err() != nil:
		return callerDisconnected, placement.Inconclusive, err
	case ctx.Err() != nil || errors.Is(err, upstream.ErrSilent):
		return deadlineExceeded, placement.Inconclusive, err
	}
	return connectionBroken, placement.Failed, err
}
