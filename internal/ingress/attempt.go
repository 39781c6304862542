package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// suspectAfter is the silence after which an endpoint gets no further requests
// until it shows a sign of life: several times a usual first event.
const suspectAfter = 900 * time.Millisecond

// try sends the request to one endpoint after the other.
func (q *request) try(ctx context.Context) *refusal {
	excluded := make(map[string]bool)
	alone := false
	for {
		choice, ok := q.handler.duties.Balancer.Begin(q.handler.duties.Endpoints.Usable(q.pool), q.affinity, excluded)
		if !ok {
			if len(excluded) > 0 && q.runs == 0 {
				return refuseNoEndpoint(fmt.Sprintf("%d endpoints tried, none ran it", len(excluded)))
			}
			if q.held != nil && !alone {
				alone = true // one that failed is better than none
				clear(excluded)
				continue
			}
			if q.runs > 0 {
				return q.fail(broken, errors.New("no other endpoint"))
			}
			return refuseNoEndpoint("no endpoint in pool " + q.pool)
		}
		e := choice.Endpoint
		q.logPlaced(choice)
		q.endpoint, q.candidates = e.ID, choice.Candidates
		q.sends++
		ended, outcome, err := q.attempt(ctx, e)
		q.handler.duties.Balancer.End(e, outcome)
		if ended.mayHaveRun() {
			q.runs++
		}
		if ended == whole {
			return nil
		}
		if ended == callerGone {
			q.gone = true
			return nil
		}
		excluded[e.ID] = true
		left := q.by.Sub(q.handler.duties.Clock.Now())
		if !q.again(ended, left, err) {
			return q.fail(ended, err)
		}
	}
}

// again decides on another try and logs the decision.
func (q *request) again(ended end, left time.Duration, cause error) bool {
	h := q.handler
	may := mayRepeat(q.route, ended, q.runs, q.sends, left)
	reason := "kind of route, attempts or time"
	// A request of which nothing was sent does not arrive twice.
	if may && ended != notSent && !h.duties.Retries.AllowRetry(q.pool) {
		may, reason = false, "retry budget"
		h.stats.noRepeat.Inc()
	}
	if may {
		h.stats.repeats.Inc()
		reason = ""
	}
	h.duties.Log.Info("attempt failed", "request", q.said.ID, "endpoint", q.endpoint, "end", ended.String(), "err", errorText(cause),
		"again", may, "denied_by", reason, "runs", q.runs, "sends", q.sends, "left_ms", left.Milliseconds(), "last_event", q.stream.lastID)
	return may
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// fail ends a request for which no other endpoint is tried.
func (q *request) fail(ended end, cause error) *refusal {
	if q.stream.begun {
		q.torn = true
		return nil
	}
	if held := q.held; held != nil && (ended == failed || ended == broken && q.runs > 0) {
		q.passFailure(held)
		return nil
	}
	switch {
	case q.runs == 0 && ended == timeOver:
		return refuseLate("before an endpoint took it")
	case q.runs == 0:
		return refuseNoEndpoint(errorText(cause))
	case ended == silent || ended == timeOver:
		return failSent(http.StatusGatewayTimeout, fmt.Errorf("endpoint %s: %w", q.endpoint, cause))
	}
	return failSent(http.StatusBadGateway, fmt.Errorf("endpoint %s: %w", q.endpoint, cause))
}

func (q *request) logPlaced(c placement.Choice) {
	q.handler.duties.Log.LogAttrs(context.Background(), slog.LevelInfo, "request placed",
		slog.String("request", q.said.ID), slog.String("endpoint", c.Endpoint.ID), slog.String("pool", q.pool),
		slog.Float64("load", c.Load), slog.Int64("report_age_ms", c.ReportAge.Milliseconds()), slog.Int("candidates", c.Candidates),
		slog.Int64("config", q.table.Revision), slog.Bool("shared_prompt", q.affinity != 0))
}

// attempt makes one exchange with an endpoint.
func (q *request) attempt(ctx context.Context, e endpoints.Endpoint) (end, placement.Observation, error) {
	h := q.handler
	now := h.duties.Clock.Now()
	left := q.by.Sub(now)
	if left <= 0 {
		return timeOver, placement.Inconclusive, errors.New("time over")
	}
	if !h.duties.Endpoints.AcceptsRequests(e.ID) {
		return notSent, placement.Inconclusive, fmt.Errorf("endpoint %s left the pool", e.ID)
	}
	headBy := q.by.Add(answerGrace)
	if q.othersLeft() {
		headBy = earlier(headBy, now.Add(headPatience(q.route)))
	}
	suspect := time.AfterFunc(suspectAfter, func() { h.duties.Balancer.Suspect(e) })
	defer suspect.Stop()
	answer, err := h.duties.Upstream.Do(ctx, e.Addr, q.outgoing(e, left), headBy, q.answerID)
	if err != nil {
		return q.noAnswer(ctx, err)
	}
	suspect.Stop()
	said := h.duties.Codec.DecodeResponse(answer.Status, answer.Header)
	if said.Load != nil {
		h.duties.Balancer.Report(e.ID, *said.Load)
	}
	return q.take(ctx, e, answer, said)
}

// othersLeft reports whether another endpoint may be tried if this one fails,
// and there is one.
func (q *request) othersLeft() bool {
	return q.candidates > 1 && q.route.Retryable() && q.runs+1 < q.route.MaxAttempts
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (q *request) answerID(h http.Header) string {
	return q.handler.duties.Codec.DecodeResponse(0, h).ID
}

// outgoing is the request as the endpoint gets it.
func (q *request) outgoing(e endpoints.Endpoint, left time.Duration) *upstream.Request {
	f := exchange.Forward{Remaining: left, Endpoint: e.ID, ResumeAfter: q.stream.lastID}
	if q.workspace != nil {
		f.Workspace = q.workspace.Name
	}
	return &upstream.Request{
		Method: q.http.Method, Target: q.http.RequestURI, Host: q.http.Host,
		Header: q.handler.duties.Codec.ForwardHeader(q.http.Header, f),
		Body:   q.body, ID: q.said.ID, AtMostOnce: !q.route.Retryable(),
	}
}

// noAnswer classes an exchange without a head.
func (q *request) noAnswer(ctx context.Context, err error) (end, placement.Observation, error) {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() != nil {
			return q.interrupted(true), placement.Inconclusive, err
		}
		return notSent, placement.Unreachable, err
	}
	return q.lost(ctx, err)
}

// interrupted tells whether the caller or the time ended the request.
func (q *request) interrupted(unsent bool) end {
	if q.http.Context().Err() != nil {
		return callerGone
	}
	if unsent {
		return notSent
	}
	return timeOver
}

// lost classes an exchange that ended before its answer was whole.
func (q *request) lost(ctx context.Context, err error) (end, placement.Observation, error) {
	now := q.handler.duties.Clock.Now()
	switch {
	case q.http.Context().Err() != nil:
		return callerGone, placement.Inconclusive, err
	case ctx.Err() != nil || errors.Is(err, upstream.ErrSilent) && !now.Before(q.by):
		return timeOver, placement.Inconclusive, err
	case errors.Is(err, upstream.ErrSilent):
		// The patience of a request that can go elsewhere is short; whether the
		// endpoint is silent is judged by suspectAfter.
		return silent, placement.Failed, err
	}
	return broken, placement.Failed, err
}

// take passes an answer on, or says why it is none for the caller.
func (q *request) take(ctx context.Context, e endpoints.Endpoint, answer *upstream.Response, said exchange.Response) (end, placement.Observation, error) {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case said.NotExecuted || said.WrongInstance:
		q.discard(answer)
		if said.WrongInstance {
			q.handler.duties.Endpoints.Remove(e.ID, "another endpoint has its address")
		}
		return notRun, placement.AtCapacity, fmt.Errorf("endpoint did not run it, status %d", answer.Status)
	case success && (!said.Signed || answer.Header.Get("Content-Encoding") != ""):
		answer.Abort()
		return broken, placement.Failed, errors.New("success that is not the endpoint's own")
	case success && q.route.Kind == routetable.Streaming && isEventStream(answer.Header):
		return q.passStream(ctx, e, answer)
	}
	return q.passBuffered(ctx, answer, said, success)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// discardBytes bounds what is read of an answer that is not passed on, to keep
// its connection.
const discardBytes = 16 << 10

func (q *request) discard(answer *upstream.Response) {
	if _, err := io.CopyN(io.Discard, answer, discardBytes); errors.Is(err, io.EOF) {
		answer.Finish()
		return
	}
	answer.Abort()
}

// bufferedBytes is the size up to which an answer is read whole before its
// first byte is passed on, so that a broken one can be replaced.
const bufferedBytes = 256 << 10

// passBuffered reads an answer whole and passes it on.
func (q *request) passBuffered(ctx context.Context, answer *upstream.Response, said exchange.Response, success bool) (end, placement.Observation, error) {
	if err := answer.SetReadDeadline(q.by.Add(answerGrace)); err != nil {
		answer.Abort()
		return q.lost(ctx, fmt.Errorf("%w: %w", upstream.ErrBroken, err))
	}
	var body bytes.Buffer
	n, err := io.CopyN(&body, answer, bufferedBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		answer.Abort()
		return q.lost(ctx, err)
	}
	if !success {
		answer.Finish()
		q.held = &heldAnswer{status: answer.Status, header: answer.Header, body: body.Bytes(), signed: said.Signed}
		return failed, placement.Failed, fmt.Errorf("endpoint answered %d", answer.Status)
	}
	q.firstAt = q.handler.duties.Clock.Now()
	if n < bufferedBytes {
		answer.Finish()
		q.writeAnswer(answer.Status, answer.Header, body.Bytes(), body.Len())
		return whole, placement.Succeeded, nil
	}
	return q.passRest(ctx, answer, body.Bytes())
}

// passRest passes on an answer that is too large to be held.
func (q *request) passRest(ctx context.Context, answer *upstream.Response, start []byte) (end, placement.Observation, error) {
	q.stream.begun = true
	q.writeAnswer(answer.Status, answer.Header, start, int(answer.Length))
	if _, err := io.Copy(q.writer, answer); err != nil {
		answer.Abort()
		return q.lost(ctx, err)
	}
	answer.Finish()
	return whole, placement.Succeeded, nil
}

// writeAnswer writes an endpoint's head and the start of its body. The length
// is that of the whole body, or negative.
func (q *request) writeAnswer(status int, h http.Header, body []byte, length int) {
	q.status = status
	header := q.writer.Header()
	for name, values := range q.handler.duties.Codec.ResponseHeader(h) {
		header[name] = values
	}
	header.Del("Content-Length")
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // else the server guesses one
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", fmt.Sprint(length))
	}
	q.writer.WriteHeader(status)
	if len(body) == 0 {
		return
	}
	if _, err := q.writer.Write(body); err != nil {
		q.gone = true
	}
}

// heldAnswer is a failure of an endpoint, passed on if no other is tried.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
	signed bool
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passFailure passes on an endpoint's failure. One whose status would promise
// that the request has not run, which the endpoint did not say, is replaced.
func (q *request) passFailure(a *heldAnswer) {
	if promises(a.status) || !a.signed {
		q.refuse(failSent(http.StatusBadGateway, fmt.Errorf("endpoint answered %d", a.status)))
		return
	}
	q.writeAnswer(a.status, a.header, a.body, len(a.body))
}
