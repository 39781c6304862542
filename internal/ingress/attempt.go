package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// suspectAfter is how long an endpoint may send nothing for an attempt before the
// balancer is notified that the endpoint stalls. The balancer then ejects it and
// prefers other endpoints until this one shows that it works. The time is several
// times the usual time to the first event of a stream.
const suspectAfter = 900 * time.Millisecond

// attempt is one attempt to have an endpoint serve the request.
type attempt struct {
	endpoint  endpoints.Endpoint
	choice    placement.Choice
	startedAt time.Time
	// permittedAt is when the permit for a cold endpoint began to be valid; zero without one.
	permittedAt time.Time
	progress    responseProgress // how far the response has come
	ctx         context.Context  // ends the exchange with the endpoint
	cancel      context.CancelFunc
	sending     atomic.Int32        // one of notSending, sendBegun and sendDropped
	connected   chan struct{}       // closed before the first byte is sent
	sentAt      time.Time           // when connected was closed
	abandoned   bool                // another endpoint has taken over while this one was silent
	failure     *bufferedFailure    // the endpoint's complete failure response
	ended       bool                // set by endAttempt
	parallel    bool                // a takeover has begun it and not handed it over
	kept        *bytebudget.Account // of the head and the incomplete event
	headBytes   int                 // read for heads

	// opened is closed once there is the head of a response, or an error. If the response
	// continues a stream, the start of its body is there, too. The fields below are
	// valid from then on.
	opened   chan struct{}
	openedAt time.Time
	response *upstream.Response
	metadata exchange.Response
	first    []byte // of the body, if the response continues a stream
	err      error
}

// The states of an attempt before its first byte is sent.
const (
	notSending int32 = iota
	sendBegun
	sendDropped
)

// beginSend reports whether the request is to be sent, unless dropSend was called before.
func (a *attempt) beginSend(now time.Time) bool {
	if !a.sending.CompareAndSwap(notSending, sendBegun) {
		return false
	}
	a.sentAt = now
	close(a.connected)
	return true
}

// dropSend keeps the request from being sent. It returns false if that has begun.
func (a *attempt) dropSend() bool {
	return a.sending.CompareAndSwap(notSending, sendDropped) || a.sending.Load() == sendDropped
}

// sendWithRetries sends the request to one endpoint after another until one
// serves it, no further attempt is allowed or no endpoint remains. It returns the
// refusal that is still to be written, or nil if a response was forwarded, at
// least in part, or the caller has disconnected.
func (q *request) sendWithRetries(ctx context.Context) *refusal {
	h := q.handler
	q.excluded = make(map[string]bool)
	var current *attempt
	defer func() {
		if current != nil && !current.ended { // it panicked
			q.endAttempt(current, notNeeded, placement.Inconclusive)
		}
	}()
	defer q.dropTakeover() // before that, as it uses the state of the request
	for {
		a, started := q.accepted, true
		if q.accepted = nil; a != nil {
			a.parallel = false
		} else {
			var refused *refusal
			if a, refused = q.nextAttempt(ctx); a == nil {
				return refused
			}
			started = false
		}
		current = a
		outcome, observation, err := q.attempt(ctx, a, started)
		q.endAttempt(a, outcome, observation)
		switch outcome {
		case completed:
			h.deps.Quarantine.RecordServed(q.pool, q.params.Generation.SharedSegments())
			h.deps.Quarantine.RecordComplete(q.fingerprint)
			return nil
		case callerDisconnected:
			q.disconnected = true
			return nil
		}
		if q.accepted != nil {
			q.logFailedAttempt(a, outcome, err, "")
			continue
		}
		if !q.decideRetry(a, outcome, err) {
			return q.fail(outcome, err)
		}
	}
}

// nextAttempt returns an attempt at an endpoint that has not been tried. Without one it
// ends the request like sendWithRetries, and the attempt is nil.
func (q *request) nextAttempt(ctx context.Context) (*attempt, *refusal) {
	h := q.handler
	for {
		if q.attempts > 0 {
			if refused := q.checkQuarantine(); refused != nil {
				return nil, q.refuseRetry(refused)
			}
		}
		open, opensIn := q.openEndpoints(q.coldUse())
		choice, ok := h.deps.Balancer.Begin(open, q.placed, q.excluded)
		if ok {
			permittedAt, permitted := q.acquire(ctx, choice.Endpoint)
			// The request can have waited for its body, for tokens or for a permit.
			refused := q.checkDrain()
			if permitted && refused == nil {
				return q.newAttempt(ctx, choice, permittedAt), nil
			}
			h.deps.Balancer.End(choice, placement.Inconclusive)
			if refused != nil {
				return nil, refused
			}
			if ctx.Err() != nil {
				q.disconnected = q.httpRequest.Context().Err() != nil
				return nil, q.fail(deadlineExceeded, ctx.Err())
			}
			continue // the endpoint is closed now
		}
		if opensIn > 0 && q.executions == 0 {
			return nil, refuseAtRateLimit(q.pool, opensIn)
		}
		if len(q.excluded) > 0 && q.executions == 0 {
			return nil, refuseNoEndpoint(fmt.Sprintf("%d endpoints tried, none ran it", len(q.excluded)))
		}
		if q.lastFailure != nil && !q.retriedExcluded {
			q.retriedExcluded = true // an endpoint that failed once is better than none
			clear(q.excluded)
			continue
		}
		if q.executions > 0 {
			return nil, q.fail(connectionBroken, errors.New("no other endpoint"))
		}
		if h.deps.Endpoints.PoolEvacuated(q.pool) {
			return nil, refuseEvacuated(q.pool)
		}
		return nil, refuseNoEndpoint("no endpoint in pool " + q.pool)
	}
}

// newAttempt returns the attempt at a chosen endpoint, which is not tried again. See acquire
// for permittedAt.
func (q *request) newAttempt(ctx context.Context, choice placement.Choice, permittedAt time.Time) *attempt {
	q.logPlacement(choice)
	q.attempts++
	q.excluded[choice.Endpoint.ID] = true
	a := &attempt{
		endpoint: choice.Endpoint, choice: choice, startedAt: q.handler.deps.Clock.Now(), permittedAt: permittedAt, progress: noResponse,
		connected: make(chan struct{}), opened: make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.kept = q.handler.deps.Bytes.Open(choice.Endpoint.ID, func() {
		a.cancel()
		q.handler.deps.Balancer.Suspect(choice.Endpoint)
	})
	return a
}

// endAttempt records the outcome of an attempt.
func (q *request) endAttempt(a *attempt, outcome attemptOutcome, observation placement.Observation) {
	a.cancel()
	a.kept.Close()
	a.ended = true
	q.handler.deps.Balancer.End(a.choice, q.handler.weigh(outcome, observation))
	// An endpoint that may be cold needs the limit, whatever the load of this router.
	q.learnFailure(a, outcome, observation)
	if outcome.mayHaveExecuted() {
		q.executions++
	}
	if a.failure != nil {
		q.lastFailure = a.failure
		if a.failure.signed && !impliesNotExecuted(a.failure.status) {
			q.handler.deps.Quarantine.RecordComplete(q.fingerprint)
		}
	}
	if outcome == connectionBroken {
		q.handler.ends.responseLost(q, a)
	}
}

// considered returns what the quarantine considers of the request when the response of
// the attempt has broken. Segments are considered only if it broke before its first event.
func (q *request) considered(a *attempt) quarantine.Request {
	r := quarantine.Request{Pool: q.pool, Segments: q.params.Generation.SharedSegments(), Fingerprint: q.fingerprint}
	if a.progress == eventsForwarded {
		r.Segments = nil
	}
	return r
}

// checkQuarantine refuses the request if it or segments of its prompt are quarantined.
func (q *request) checkQuarantine() *refusal {
	refusal, refused := q.handler.deps.Quarantine.Check(quarantine.Request{
		Pool: q.pool, Segments: q.params.Generation.SharedSegments(), Fingerprint: q.fingerprint,
	})
	if !refused {
		return nil
	}
	return refuseQuarantined(refusal)
}

// refuseRetry ends the request instead of another attempt. If an endpoint may have
// executed it, the refusal must not say that it was not executed.
func (q *request) refuseRetry(refused *refusal) *refusal {
	if q.executions == 0 {
		return refused
	}
	return q.fail(connectionBroken, errors.New(refused.reason))
}

// decideRetry reports whether the request may be sent to another endpoint after
// an attempt with the given outcome, logs the decision and counts it in the
// metrics. Cause is only logged. A retry of a request that was sent takes one retry
// from the retry budget of the pool.
func (q *request) decideRetry(a *attempt, outcome attemptOutcome, cause error) bool {
	h := q.handler
	deniedBy := ""
	switch {
	case q.partForwarded || !q.resumable() || !mayRetry(q.route, outcome, q.executions, q.attempts, q.remaining()):
		deniedBy = deniedByRoute
	case q.suspected(a, outcome):
		deniedBy = deniedBySuspicion
	// If nothing was sent, the next attempt does not make endpoints receive the
	// request twice, so it takes nothing from the retry budget.
	case outcome != notSent && !h.deps.Retries.AllowRetry(q.pool):
		deniedBy = deniedByRetryBudget
		h.stats.retriesRefused.Inc()
	default:
		h.stats.retries.Inc()
	}
	q.logFailedAttempt(a, outcome, cause, deniedBy)
	return deniedBy == ""
}

// suspected reports whether an attempt broke off, and the request is suspected of crashing
// endpoints, or a segment of the prompt before the first event.
func (q *request) suspected(a *attempt, outcome attemptOutcome) bool {
	return outcome == connectionBroken && q.handler.deps.Quarantine.Suspected(q.considered(a), a.endpoint.ID)
}

// Reasons in log lines for which a request is not sent to another endpoint.
const (
	deniedBySuspicion   = "the request or a segment of its prompt is suspected of crashing endpoints"
	deniedByRoute       = "kind of route, attempts or time"
	deniedByRetryBudget = "retry budget"
)

// remaining returns the time until the deadline of the request.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.handler.deps.Clock.Now()) }

// fail ends a request that is not retried after an attempt with the given
// outcome. It forwards the last failure response of an endpoint if there is one,
// marks a response of which the head was forwarded as truncated, and otherwise
// returns a refusal.
func (q *request) fail(outcome attemptOutcome, cause error) *refusal {
	if q.stream.headForwarded {
		q.truncated, q.truncatedBy = true, cause
		return nil
	}
	if failure := q.lastFailure; failure != nil && (outcome == failed || outcome == connectionBroken && q.executions > 0) {
		q.forwardFailure(failure)
		return nil
	}
	switch {
	case q.executions == 0 && outcome == deadlineExceeded:
		return refuseDeadlineExceeded("before an endpoint took it")
	case q.executions == 0:
		return refuseNoEndpoint(errorText(cause))
	case outcome == stalled || outcome == deadlineExceeded:
		return refuseOutcomeUnknown(http.StatusGatewayTimeout, fmt.Errorf("endpoint %s: %w", q.endpointID, cause))
	}
	return refuseOutcomeUnknown(http.StatusBadGateway, fmt.Errorf("endpoint %s: %w", q.endpointID, cause))
}

// attempt sends the request to the endpoint of a, unless that was started already, and
// forwards the response. It returns the outcome of the attempt, what the attempt shows
// of the endpoint, and the cause if the outcome is not completed. If another endpoint
// has taken over, q.accepted is the attempt there.
func (q *request) attempt(ctx context.Context, a *attempt, started bool) (attemptOutcome, placement.Observation, error) {
	q.endpointID, q.attemptEvents = a.endpoint.ID, 0
	q.armTakeover(ctx, a, headTimeout(q.route))
	if started {
		<-a.opened
		q.logTakenOver(a)
	} else {
		q.open(a)
	}
	outcome, observation, err := q.serveOpened(ctx, a)
	switch outcome {
	case completed, deadlineExceeded, callerDisconnected:
		q.dropTakeover()
		return outcome, observation, err
	}
	q.endTakeover(errEnded)
	if !a.abandoned {
		return outcome, observation, err
	}
	if outcome == notSent {
		return notSent, placement.Inconclusive, errTakenOver
	}
	// The silence that lets another endpoint take over is short, so it counts as one
	// failure. The balancer is notified that the endpoint stalls only after suspectAfter.
	return stalled, placement.Failed, errTakenOver
}

// serveOpened forwards the response of an attempt that was opened.
func (q *request) serveOpened(ctx context.Context, a *attempt) (attemptOutcome, placement.Observation, error) {
	if a.err != nil {
		return q.classifyNoResponse(ctx, a.err)
	}
	if q.serves(a) && !q.pauseTakeover() {
		a.response.Abort()
		return q.classifyIncomplete(ctx, errTakenOver)
	}
	return q.handleResponse(ctx, a)
}
