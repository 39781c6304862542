package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// handleResponse forwards a response to the caller, or discards it and returns
// why it must not be forwarded: the endpoint did not execute the request, or the
// response is a success that lacks the endpoint's signature, has a content encoding
// or does not continue the stream of which the head was forwarded.
func (q *request) handleResponse(ctx context.Context, a *attempt) (attemptOutcome, placement.Observation, error) {
	response, metadata := a.response, a.metadata
	success := isSuccess(response)
	switch {
	case metadata.NotExecuted || metadata.WrongInstance:
		q.discard(response)
		if metadata.WrongInstance {
			q.handler.deps.Endpoints.Remove(a.endpoint.ID, "another endpoint has its address")
		}
		return notExecuted, placement.AtCapacity, fmt.Errorf("endpoint did not run it, status %d", response.Status)
	case success && !q.continuesStream(response):
		response.Abort()
		return connectionBroken, placement.Failed, fmt.Errorf("status %d that does not continue the stream", response.Status)
	case success && !q.serves(a):
		response.Abort()
		return connectionBroken, placement.Failed, errors.New("success that is not the endpoint's own")
	case success && q.route.Kind == routetable.Streaming && isEventStream(response.Header):
		return q.forwardStream(ctx, a)
	}
	return q.forwardBuffered(ctx, a, success)
}

// isSuccess reports whether a response has a status in the 2xx range.
func isSuccess(response *upstream.Response) bool {
	return response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
}

// serves reports whether the head of the response is that of a success that may be
// forwarded. The attempt must have been opened.
func (q *request) serves(a *attempt) bool {
	return a.response != nil && isSuccess(a.response) && !a.metadata.NotExecuted && !a.metadata.WrongInstance &&
		a.metadata.Signed && a.response.Header.Get("Content-Encoding") == "" && q.continuesStream(a.response)
}

// continuesStream reports whether a success can follow on what was forwarded.
func (q *request) continuesStream(response *upstream.Response) bool {
	return !q.stream.headForwarded || response.Status == q.status && isEventStream(response.Header)
}

// isEventStream reports whether a response with header h is a stream of
// server-sent events.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// maxDiscardBytes bounds how much of a response that is not forwarded is read, so
// that its connection can be reused. Connections of longer responses are closed.
const maxDiscardBytes = 16 << 10

// discard ends an exchange whose response is not forwarded.
func (q *request) discard(response *upstream.Response) {
	if _, err := io.CopyN(io.Discard, response, maxDiscardBytes); errors.Is(err, io.EOF) {
		response.Finish()
		return
	}
	response.Abort()
}

// maxBufferedBytes is the size up to which a response is read completely before
// its first byte is forwarded, so that a response that breaks off can still be
// replaced by that of another endpoint.
const maxBufferedBytes = 256 << 10

// forwardBuffered reads a response completely and forwards it if it is a success.
// A failure is kept in a.failure instead. A response of maxBufferedBytes or more, or one
// that finds no room in the byte budget, is forwarded while it is read; a failure only if no
// other attempt can follow, otherwise it is dropped.
func (q *request) forwardBuffered(ctx context.Context, a *attempt, success bool) (attemptOutcome, placement.Observation, error) {
	response := a.response
	if err := response.SetReadDeadline(q.deadline.Add(responseGrace)); err != nil {
		response.Abort()
		return q.classifyIncomplete(ctx, fmt.Errorf("%w: %w", upstream.ErrBroken, err))
	}
	body, err := q.readWhole(io.LimitReader(response, maxBufferedBytes), response.Length)
	long := errors.Is(err, bytebudget.ErrFull) || len(body) == maxBufferedBytes
	if err != nil && !long {
		response.Abort()
		return q.classifyIncomplete(ctx, err)
	}
	if !success && long {
		return q.forwardLongFailure(ctx, a, body)
	}
	if !success {
		response.Finish()
		a.failure = &bufferedFailure{status: response.Status, header: response.Header, body: body, signed: a.metadata.Signed}
		return failed, placement.Failed, fmt.Errorf("endpoint responded with status %d", response.Status)
	}
	q.firstByteAt = q.handler.deps.Clock.Now()
	if !long {
		response.Finish()
		q.writeResponse(response.Status, response.Header, body, len(body))
		return completed, placement.Succeeded, nil
	}
	return q.forwardRemaining(ctx, response, body)
}

// forwardLongFailure forwards a failure response that is too large to be kept, of which the
// prefix was read, or drops it if another attempt can follow.
func (q *request) forwardLongFailure(ctx context.Context, a *attempt, prefix []byte) (attemptOutcome, placement.Observation, error) {
	status := a.response.Status
	final := !a.parallel && !mayRetry(q.route, failed, q.executions+1, q.attempts, q.remaining())
	if !final || q.stream.headForwarded || !a.metadata.Signed || impliesNotExecuted(status) {
		a.response.Abort()
		return failed, placement.Failed, fmt.Errorf("endpoint responded with status %d and over %d bytes", status, len(prefix))
	}
	outcome, observation, err := q.forwardRemaining(ctx, a.response, prefix)
	if outcome == completed {
		observation = placement.Failed
	}
	return outcome, observation, err
}

// forwardRemaining forwards a response that is too large to be buffered. Prefix
// is the part of the body that was already read.
func (q *request) forwardRemaining(ctx context.Context, response *upstream.Response, prefix []byte) (attemptOutcome, placement.Observation, error) {
	q.stream.headForwarded, q.partForwarded = true, true
	q.writeResponse(response.Status, response.Header, prefix, int(response.Length))
	// The writer's own io.ReaderFrom would take a larger buffer.
	writer := struct{ io.Writer }{q.writer}
	n, err := io.CopyBuffer(writer, response, make([]byte, unchargedBytes))
	q.countWritten(n, n/unchargedBytes)
	if err != nil {
		response.Abort()
		return q.classifyIncomplete(ctx, err)
	}
	response.Finish()
	return completed, placement.Succeeded, nil
}

// writeResponse writes the head of an endpoint's response and the start of its
// body to the caller. The length is that of the complete body, or negative if it
// is unknown.
func (q *request) writeResponse(status int, h http.Header, body []byte, length int) {
	q.status = status
	header := q.writer.Header()
	for name, values := range q.handler.deps.Codec.ResponseHeader(h) {
		header[name] = values
	}
	header.Del("Content-Length")
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // otherwise net/http detects one from the body
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", fmt.Sprint(length))
	}
	q.handler.closeAfterResponse(header)
	q.writer.WriteHeader(status)
	if len(body) == 0 {
		return
	}
	q.countWritten(int64(len(body)), 1)
	if _, err := q.writer.Write(body); err != nil {
		q.writeFailed(err)
	}
}

// bufferedFailure is a failure response of an endpoint, kept in case no later
// attempt is made or succeeds.
type bufferedFailure struct {
	status int
	header http.Header
	body   []byte
	signed bool
}

// impliesNotExecuted reports whether a caller may conclude from a status that the
// request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardFailure forwards an endpoint's failure response. A response that is
// unsigned, or whose status implies that the request was not executed although
// the endpoint did not declare that, is replaced by status 502.
func (q *request) forwardFailure(failure *bufferedFailure) {
	if impliesNotExecuted(failure.status) || !failure.signed {
		q.writeRefusal(refuseOutcomeUnknown(http.StatusBadGateway, fmt.Errorf("endpoint answered %d", failure.status)))
		return
	}
	q.writeResponse(failure.status, failure.header, failure.body, len(failure.body))
}
