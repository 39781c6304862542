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
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/sse"
)

// errSilent ends an attempt whose endpoint has sent nothing for too long.
var errSilent = errors.New("the endpoint was silent for too long")

// attempt is one try of a generation on one endpoint.
type attempt struct {
	id      string
	run     *run
	lease   *route.Lease
	started time.Time
	cancel  context.CancelCauseFunc
	watch   *watch
	stream  stream
	// reused is true if the connection had been used before.
	reused atomic.Bool
}

// begin counts and records the attempt.
func (a *attempt) begin() {
	m := a.run.dispatcher.metrics
	m.attempts.Inc()
	detail := ""
	if a.run.answer.begun() {
		m.resumed.Inc()
		detail = fmt.Sprintf("resumes after %d tokens", a.run.answer.tokens)
	}
	a.record(event.AttemptStarted, detail)
}

// end tells the router and the time line how the attempt ended.
func (a *attempt) end(ctx context.Context, result result) {
	m := a.run.dispatcher.metrics
	switch {
	case result.err == nil:
		a.lease.ReportSuccess()
		a.record(event.AttemptEnded, "")
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) || result.err.Code == failure.Canceled:
		m.canceled.Inc()
		a.record(event.AttemptCanceled, result.err.Error())
	default:
		m.failed.Inc()
		if result.retry && !result.staleConn {
			a.lease.ReportFailure(result.err.Message)
		}
		a.record(event.AttemptFailed, result.err.Error())
	}
}

// execute sends the attempt and reads its stream to the end.
func (a *attempt) execute(ctx context.Context) result {
	a.watch = a.startWatch(ctx)
	defer a.watch.stop()
	resp, err := a.send(ctx)
	if err != nil {
		return a.settle(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(a.lease.Endpoint.Name, resp)
	}
	a.stream = stream{attempt: a, events: sse.NewReader(resp.Body, maxEventBytes), last: time.Now()}
	return a.settle(ctx, a.stream.read())
}

// settle completes the result of an attempt with why it ended.
func (a *attempt) settle(ctx context.Context, err *failure.Error) result {
	if err == nil {
		return result{}
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		a.run.dispatcher.metrics.silent.Inc()
		silent := failure.Wrap(failure.EndpointFailed, err.Step, err.Peer, errSilent).WithRan(err.Ran).WithRetry(time.Second)
		return result{err: silent, retry: true, retryTaken: true, staleConn: a.reused.Load() && !a.stream.begun}
	}
	return result{err: err, retry: err.Code == failure.EndpointFailed, retryTaken: a.watch.taken() || a.stream.moved}
}

// send sends the request and waits for the header of the answer.
func (a *attempt) send(ctx context.Context) (*http.Response, *failure.Error) {
	name := a.lease.Endpoint.Name
	body, err := a.run.answer.body()
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, "encode attempt", name, err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.reused.Store(info.Reused) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.lease.Endpoint.URL+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, "make attempt", name, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.RequestIDHeader, a.id)
	client := a.run.dispatcher.pooled
	if a.run.attempts > 1 {
		client = a.run.dispatcher.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.EndpointFailed, "send attempt", name, err).WithRan(ranAfter(err)).WithRetry(time.Second)
	}
	return resp, nil
}

// ranAfter tells whether work may have run when sending it failed: only a
// connection that was never made proves that no byte has left.
func ranAfter(err error) failure.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.RanNo
	}
	return failure.RanUnknown
}

// refusal turns an engine's error answer into a result. An engine that
// answers 4xx or 503 says that it did not run the work; any other status
// leaves it open.
func refusal(name string, resp *http.Response) result {
	var body engine.ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body); err != nil {
		body.Error.Message = err.Error()
	}
	message := fmt.Sprintf("status %d: %s", resp.StatusCode, body.Error.Message)
	failed := failure.New(failure.EndpointFailed, "send attempt", name, message).WithRetry(time.Second)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable,
		resp.StatusCode == http.StatusNotFound: // the engine has unloaded the model
		return result{err: failed, retry: true}
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return result{err: failure.New(failure.BadRequest, "send attempt", name, message)}
	}
	return result{err: failed.WithRan(failure.RanUnknown), retry: true}
}
