package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/sse"
)

// errStalled is the cause with which the stall timer cancels an attempt whose
// endpoint has sent nothing for too long.
var errStalled = errors.New("the endpoint was silent for too long")

// attempt is one request for a generation that is sent to one endpoint.
type attempt struct {
	id         string
	run        *generationRun
	assignment *balancer.Assignment
	started    time.Time
	cancel     context.CancelCauseFunc
	stallTimer *stallTimer
	stream     stream
}

// recordStart counts the attempt and records its start.
func (a *attempt) recordStart() {
	m := a.run.dispatcher.metrics
	m.attempts.Inc()
	detail := ""
	if a.run.response.started() {
		m.resumedAttempts.Inc()
		detail = fmt.Sprintf("resumes after %d tokens", a.run.response.tokens)
	}
	a.record(event.AttemptStarted, detail)
}

// recordOutcome counts and records how the attempt ended, and reports it to the
// balancer, which tracks the endpoint's health.
func (a *attempt) recordOutcome(ctx context.Context, result attemptResult) {
	m := a.run.dispatcher.metrics
	switch {
	case result.err == nil:
		a.assignment.ReportSuccess()
		a.record(event.AttemptCompleted, "")
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) || result.err.Code == failure.Canceled:
		m.canceledAttempts.Inc()
		a.record(event.AttemptCanceled, result.err.Error())
	default:
		m.failedAttempts.Inc()
		if result.retryable {
			a.assignment.ReportFailure(result.err.Message)
		}
		a.record(event.AttemptFailed, result.err.Error())
	}
}

// execute sends the attempt and forwards its stream up to the end. The stall timer
// runs meanwhile.
func (a *attempt) execute(ctx context.Context) attemptResult {
	a.stallTimer = a.startStallTimer(ctx)
	defer a.stallTimer.stop()
	resp, err := a.send(ctx)
	if err != nil {
		return a.classify(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusalResult(a.assignment.Endpoint.Name, resp)
	}
	a.stream = stream{attempt: a, events: sse.NewReader(resp.Body, maxEventBytes), measureStart: time.Now()}
	return a.classify(ctx, a.stream.forwardAll())
}

// classify turns the error of an attempt into its result: whether the attempt was
// canceled because the endpoint stalled, and whether a retry can help. A nil error
// means that the response is complete.
func (a *attempt) classify(ctx context.Context, err *failure.Error) attemptResult {
	if err == nil {
		return attemptResult{}
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		a.run.dispatcher.metrics.stalledAttempts.Inc()
		stalled := failure.Wrap(failure.EndpointFailed, err.Step, err.Peer, errStalled).WithRan(err.Ran).WithRetry(time.Second)
		return attemptResult{err: stalled, retryable: true, retryTaken: true}
	}
	return attemptResult{err: err, retryable: err.Code == failure.EndpointFailed, retryTaken: a.stallTimer.tookRetry() || a.stream.retryTaken}
}

// send sends the request over a new connection and waits for the response header.
func (a *attempt) send(ctx context.Context) (*http.Response, *failure.Error) {
	name := a.assignment.Endpoint.Name
	body, err := a.run.response.requestBody()
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, "encode attempt", name, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.assignment.Endpoint.URL+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, "make attempt", name, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.RequestIDHeader, a.id)
	resp, err := a.run.dispatcher.client.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.EndpointFailed, "send attempt", name, err).WithRan(executionAfterSendError(err)).WithRetry(time.Second)
	}
	return resp, nil
}

// executionAfterSendError returns whether a request may have been executed although
// sending it failed. Only a failed dial proves that no byte was sent.
func executionAfterSendError(err error) failure.Ran {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return failure.RanNo
	}
	return failure.RanUnknown
}

// refusalResult converts an engine's error response to a result. With a 4xx status
// or 503 the engine states that it did not execute the request; any other status
// leaves that unknown.
func refusalResult(name string, resp *http.Response) attemptResult {
	var body engine.ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body); err != nil {
		body.Error.Message = err.Error()
	}
	message := fmt.Sprintf("status %d: %s", resp.StatusCode, body.Error.Message)
	endpointErr := failure.New(failure.EndpointFailed, "send attempt", name, message).WithRetry(time.Second)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable,
		resp.StatusCode == http.StatusNotFound: // the engine has unloaded the model
		return attemptResult{err: endpointErr, retryable: true}
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return attemptResult{err: failure.New(failure.BadRequest, "send attempt", name, message)}
	}
	return attemptResult{err: endpointErr.WithRan(failure.RanUnknown), retryable: true}
}
