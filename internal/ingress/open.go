package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// errLeftPool: the endpoint was removed or drains since it was chosen.
var errLeftPool = errors.New("endpoint left the pool")

// errNotNeeded: another endpoint goes on with the request, so it is not sent to this one.
var errNotNeeded = errors.New("not needed any more")

// open sends the request to the endpoint of a and waits for the head of the response.
func (q *request) open(a *attempt) {
	h := q.handler
	defer func() {
		a.openedAt = h.deps.Clock.Now()
		close(a.opened)
	}()
	defer q.recoverOpen(a) // a takeover opens its attempt in another goroutine
	if !h.deps.Endpoints.AcceptsRequests(a.endpoint.ID) {
		a.err = fmt.Errorf("%w: %w", upstream.ErrNotSent, errLeftPool)
		return
	}
	remaining := q.remaining()
	if remaining <= 0 {
		a.err = fmt.Errorf("%w: time over", upstream.ErrSilent)
		return
	}
	suspectTimer := time.AfterFunc(suspectAfter, func() { h.suspect(a.endpoint) })
	defer suspectTimer.Stop()
	a.response, a.err = h.deps.Upstream.Do(a.ctx, a.endpoint.Addr, q.upstreamRequest(a, remaining), q.deadline.Add(responseGrace), q.responseID)
	if a.err != nil {
		return
	}
	a.progress = responseStarted
	a.metadata = h.deps.Codec.DecodeResponse(a.response.Status, a.response.Header)
	q.learnLoad(a)
	h.deps.Balancer.ObserveResponse(a.endpoint, q.firstByteTime(a), isEventStream(a.response.Header), a.metadata)
	q.learnLimit(a)
	q.learnLeaving(a)
	if q.stream.headForwarded && q.serves(a) {
		q.readFirst(a)
	}
}

// firstByteTime returns the time from the send to the head of the response, or 0 if it is
// not a success. The time to a failure does not show how fast the endpoint works.
func (q *request) firstByteTime(a *attempt) time.Duration {
	if a.sentAt.IsZero() || !q.serves(a) {
		return 0
	}
	return q.handler.deps.Clock.Now().Sub(a.sentAt)
}

// readFirst reads the start of the body of a response that continues a stream.
func (q *request) readFirst(a *attempt) {
	a.first = make([]byte, streamReadBytes)
	n, err := a.response.Read(a.first)
	if a.first = a.first[:n]; n > 0 {
		return // an error is returned by the next read, too
	}
	a.response.Abort()
	a.response = nil
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: stream ends without an event", upstream.ErrBroken)
	}
	a.err = err
}

// recoverOpen makes a panic the error of an attempt whose outcome is unknown.
func (q *request) recoverOpen(a *attempt) {
	cause := recover()
	if cause == nil {
		return
	}
	q.logPanic(cause, a.endpoint.ID)
	if a.response != nil {
		a.response.Abort()
		a.response = nil
	}
	a.err = fmt.Errorf("%w: %w", upstream.ErrBroken, errHandlerPanicked)
}

// responseID returns the id of the request that a response with header h belongs
// to.
func (q *request) responseID(h http.Header) string {
	return q.handler.deps.Codec.DecodeResponse(0, h).ID
}

// upstreamRequest returns the request as it is sent in an attempt. Remaining is the
// time until the deadline of the request.
func (q *request) upstreamRequest(a *attempt, remaining time.Duration) *upstream.Request {
	f := exchange.ForwardMetadata{Remaining: remaining, Endpoint: a.endpoint.ID, ResumeAfter: q.stream.sequence.id}
	if q.workspace != nil {
		f.Workspace = q.workspace.Name
	}
	return &upstream.Request{
		Method: q.httpRequest.Method, Target: q.httpRequest.RequestURI, Host: q.httpRequest.Host,
		Header: q.handler.deps.Codec.ForwardHeader(q.httpRequest.Header, f),
		Body:   q.body, ID: q.params.ID, AtMostOnce: !q.route.Retryable(),
		OnConnected: func() error { return q.beginSend(a) },
		OnHeadBytes: a.keepHead,
	}
}

// beginSend is called right before the first byte is sent. Its error keeps the request from
// being sent. The permit and the list of endpoints are checked again, since a connection
// can take long to be made while the router or its link is overloaded. The list is last,
// since another permit can take the time of a call.
func (q *request) beginSend(a *attempt) error {
	if !q.confirmPermit(a) {
		return errNoPermit
	}
	if !q.handler.deps.Endpoints.AcceptsRequests(a.endpoint.ID) {
		return errLeftPool
	}
	if !a.beginSend(q.handler.deps.Clock.Now()) {
		return errNotNeeded
	}
	return nil
}

// headMemory is how many bytes of memory one byte of a head takes if its fields have
// different names.
const headMemory = 4

// keepHead draws on the byte budget for n bytes of heads beyond the buffer of the connection.
func (a *attempt) keepHead(n int) error {
	before := max(a.headBytes, streamReadBytes)
	a.headBytes += n
	return a.kept.Grow(headMemory * int64(max(a.headBytes-before, 0)))
}
