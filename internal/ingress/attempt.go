package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// suspectAfter is how long an endpoint may send nothing for an attempt before the
// balancer is notified that the endpoint stalls. The balancer then ejects it and
// prefers other endpoints until this one shows that it works. The time is several
// times the usual time to the first event of a stream.
const suspectAfter = 900 * time.Millisecond

// sendWithRetries sends the request to one endpoint after another until one
// serves it, no further attempt is allowed or no endpoint remains. It returns the
// refusal that is still to be written, or nil if a response was forwarded, at
// least in part, or the caller has disconnected.
func (q *request) sendWithRetries(ctx context.Context) *refusal {
	h := q.handler
	excluded := make(map[string]bool)
	retriedExcluded := false
	for {
		if q.attempts > 0 {
			if refused := q.checkQuarantine(); refused != nil {
				return q.refuseRetry(refused)
			}
		}
		open, opensIn := q.openEndpoints()
		choice, ok := h.deps.Balancer.Begin(open, q.affinity, excluded)
		if !ok {
			if opensIn > 0 && q.executions == 0 {
				return refuseAtRateLimit(q.pool, opensIn)
			}
			if len(excluded) > 0 && q.executions == 0 {
				return refuseNoEndpoint(fmt.Sprintf("%d endpoints tried, none ran it", len(excluded)))
			}
			if q.lastFailure != nil && !retriedExcluded {
				retriedExcluded = true // an endpoint that failed once is better than none
				clear(excluded)
				continue
			}
			if q.executions > 0 {
				return q.fail(connectionBroken, errors.New("no other endpoint"))
			}
			return refuseNoEndpoint("no endpoint in pool " + q.pool)
		}
		e := choice.Endpoint
		if !h.deps.Limits.Acquire(ctx, startOf(e)) {
			h.deps.Balancer.End(e, placement.Inconclusive)
			continue // the endpoint is closed now
		}
		q.logPlacement(choice)
		q.endpointID, q.candidates = e.ID, choice.Candidates
		q.attempts++
		outcome, observation, err := q.attempt(ctx, e)
		h.deps.Balancer.End(e, observation)
		if outcome.mayHaveExecuted() {
			q.executions++
		}
		if outcome == completed {
			h.deps.Quarantine.RecordServed(q.pool, q.params.Generation.SharedSegments())
			return nil
		}
		if outcome == connectionBroken && q.progress != eventsForwarded {
			h.ends.responseLost(q, e)
		}
		if outcome == callerDisconnected {
			q.disconnected = true
			return nil
		}
		excluded[e.ID] = true
		remaining := q.deadline.Sub(h.deps.Clock.Now())
		if !q.decideRetry(outcome, remaining, err) {
			return q.fail(outcome, err)
		}
	}
}

// checkQuarantine refuses the request if segments of its prompt are quarantined.
func (q *request) checkQuarantine() *refusal {
	refusal, refused := q.handler.deps.Quarantine.Check(q.pool, q.params.Generation.SharedSegments())
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
// metrics. Remaining is the time until the deadline of the request, and cause is
// only logged. A retry of a request that was sent takes one retry from the retry
// budget of the pool.
func (q *request) decideRetry(outcome attemptOutcome, remaining time.Duration, cause error) bool {
	h := q.handler
	retry := mayRetry(q.route, outcome, q.executions, q.attempts, remaining)
	reason := "kind of route, attempts or time"
	if retry && outcome == connectionBroken && q.progress != eventsForwarded && h.deps.Quarantine.Suspected(q.pool, q.params.Generation.SharedSegments(), q.endpointID) {
		retry, reason = false, "a segment of the prompt is suspected of crashing endpoints"
	}
	// If nothing was sent, the next attempt does not make endpoints receive the
	// request twice, so it takes nothing from the retry budget.
	if retry && outcome != notSent && !h.deps.Retries.AllowRetry(q.pool) {
		retry, reason = false, "retry budget"
		h.stats.retriesRefused.Inc()
	}
	if retry {
		h.stats.retries.Inc()
		reason = ""
	}
	h.stats.countFailedAttempt(outcome, q.progress)
	h.deps.Log.Info("attempt failed", "request", q.params.ID, "endpoint", q.endpointID, "end", outcome.String(), "err", errorText(cause),
		"progress", q.progress.String(), "segments", q.loggedSegments(),
		"again", retry, "denied_by", reason, "runs", q.executions, "sends", q.attempts, "left_ms", remaining.Milliseconds(), "last_event", q.stream.lastEventID)
	return retry
}

// errorText returns the text of err, or "" if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// fail ends a request that is not retried after an attempt with the given
// outcome. It forwards the last failure response of an endpoint if there is one,
// marks a response of which the head was forwarded as truncated, and otherwise
// returns a refusal.
func (q *request) fail(outcome attemptOutcome, cause error) *refusal {
	if q.stream.headForwarded {
		q.truncated = true
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

// logPlacement logs the chosen endpoint with the data that led to the choice.
func (q *request) logPlacement(c placement.Choice) {
	q.handler.deps.Log.LogAttrs(context.Background(), slog.LevelInfo, "request placed",
		slog.String("request", q.params.ID), slog.String("endpoint", c.Endpoint.ID), slog.String("pool", q.pool),
		slog.Float64("load", c.Load), slog.Int64("report_age_ms", c.ReportAge.Milliseconds()), slog.Int("candidates", c.Candidates),
		slog.Int64("config", q.table.Revision), slog.Bool("shared_prompt", q.affinity != 0))
}

// attempt sends the request to e once and forwards the response. It returns the
// outcome of the attempt, what the attempt shows of the endpoint, and the cause
// if the outcome is not completed.
func (q *request) attempt(ctx context.Context, e endpoints.Endpoint) (attemptOutcome, placement.Observation, error) {
	h := q.handler
	q.progress, q.attemptEvents = noResponse, 0
	now := h.deps.Clock.Now()
	q.attemptAt = now
	remaining := q.deadline.Sub(now)
	if remaining <= 0 {
		return deadlineExceeded, placement.Inconclusive, errors.New("time over")
	}
	if !h.deps.Endpoints.AcceptsRequests(e.ID) {
		return notSent, placement.Inconclusive, fmt.Errorf("endpoint %s left the pool", e.ID)
	}
	headDeadline := q.deadline.Add(responseGrace)
	if q.mayRetryElsewhere() {
		headDeadline = earlier(headDeadline, now.Add(headTimeout(q.route)))
	}
	suspectTimer := time.AfterFunc(suspectAfter, func() { h.deps.Balancer.Suspect(e) })
	defer suspectTimer.Stop()
	response, err := h.deps.Upstream.Do(ctx, e.Addr, q.upstreamRequest(e, remaining), headDeadline, q.responseID)
	if err != nil {
		return q.classifyNoResponse(ctx, err)
	}
	suspectTimer.Stop()
	q.progress = responseStarted
	metadata := h.deps.Codec.DecodeResponse(response.Status, response.Header)
	if metadata.Load != nil {
		h.deps.Balancer.Report(e.ID, *metadata.Load)
	}
	q.learnLimit(e, metadata)
	q.learnLeaving(e, metadata)
	return q.handleResponse(ctx, e, response, metadata)
}

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

// learnLimit takes in the rate limit that a response of e states, and for how long e
// wants no further requests.
func (q *request) learnLimit(e endpoints.Endpoint, metadata exchange.Response) {
	if metadata.WrongInstance {
		return // another endpoint has responded
	}
	start := startOf(e)
	q.handler.deps.Limits.Refuse(start, metadata.RefusedFor)
	if metadata.InvalidRateLimit != "" {
		q.handler.deps.Limits.LogInvalid(start, metadata.InvalidRateLimit)
		return // a limit that was stated before stays
	}
	q.handler.deps.Limits.Learn(start, metadata.RateLimit, q.attemptAt)
}

// learnLeaving stops sending requests to e if it says that it is leaving. Requests that
// it has go on.
func (q *request) learnLeaving(e endpoints.Endpoint, metadata exchange.Response) {
	if metadata.Leaving && !metadata.WrongInstance && q.handler.deps.Endpoints.MarkLeaving(e.ID, e.StartedMs) {
		q.handler.deps.Upstream.CloseIdle(e.Addr)
	}
}

// mayRetryElsewhere reports whether the request may be executed once more after
// the current attempt and the pool has another endpoint for it.
func (q *request) mayRetryElsewhere() bool {
	return q.candidates > 1 && q.route.Retryable() && q.executions+1 < q.route.MaxAttempts
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// responseID returns the id of the request that a response with header h belongs
// to.
func (q *request) responseID(h http.Header) string {
	return q.handler.deps.Codec.DecodeResponse(0, h).ID
}

// upstreamRequest returns the request as it is sent to e. Remaining is the time
// until the deadline of the request.
func (q *request) upstreamRequest(e endpoints.Endpoint, remaining time.Duration) *upstream.Request {
	f := exchange.ForwardMetadata{Remaining: remaining, Endpoint: e.ID, ResumeAfter: q.stream.lastEventID}
	if q.workspace != nil {
		f.Workspace = q.workspace.Name
	}
	return &upstream.Request{
		Method: q.httpRequest.Method, Target: q.httpRequest.RequestURI, Host: q.httpRequest.Host,
		Header: q.handler.deps.Codec.ForwardHeader(q.httpRequest.Header, f),
		Body:   q.body, ID: q.params.ID, AtMostOnce: !q.route.Retryable(),
	}
}

// classifyNoResponse returns the outcome of an attempt for which no response
// head was received, and what it shows of the endpoint.
func (q *request) classifyNoResponse(ctx context.Context, err error) (attemptOutcome, placement.Observation, error) {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() != nil {
			return q.interruptedOutcome(true), placement.Inconclusive, err
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
	now := q.handler.deps.Clock.Now()
	switch {
	case q.httpRequest.Context().Err() != nil:
		return callerDisconnected, placement.Inconclusive, err
	case ctx.Err() != nil || errors.Is(err, upstream.ErrSilent) && !now.Before(q.deadline):
		return deadlineExceeded, placement.Inconclusive, err
	case errors.Is(err, upstream.ErrSilent):
		// The read timeout of a request that can be retried elsewhere is short,
		// so its expiry counts as one failure of the endpoint. The balancer is
		// notified that the endpoint stalls only after suspectAfter.
		return stalled, placement.Failed, err
	}
	return connectionBroken, placement.Failed, err
}
