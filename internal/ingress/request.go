package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/connlimit"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
	"daisyslip.dev/daisyslip/internal/routetable"
)

// request is the state of one caller's request. It is used by one goroutine.
type request struct {
	handler     *Handler
	writer      http.ResponseWriter
	httpRequest *http.Request
	startedAt   time.Time
	conn        *connlimit.Conn // nil if the connections have no limits

	params    exchange.Request  // decoded from the headers
	table     *routetable.Table // the configuration that applies to the request since its body was read
	route     *routetable.Route
	workspace *routetable.Workspace // nil if the request needs no key
	pool      string
	body      []byte // read completely
	// kept has the bytes of bodies that are kept for the request.
	kept *bytebudget.Account
	// deadline is when the timeout of the caller or of the route ends, whichever
	// is earlier.
	deadline time.Time
	// placed is what the balancer needs to know of the request.
	placed      placement.Request
	fingerprint quarantine.Fingerprint // valid once the body was read

	reservation *prepaid.Reservation

	// attempts counts all attempts, and executions those that may have executed
	// the request.
	attempts, executions int
	endpointID           string          // endpoint of the last attempt
	attemptEvents        int             // events of it that were forwarded
	excluded             map[string]bool // endpoints that have been tried, by id
	retriedExcluded      bool            // excluded was cleared once, for lack of other endpoints
	deniedPermits        int             // permits for cold endpoints that were asked for in vain
	takeover             *takeover       // of the current attempt; nil if it has none
	accepted             *attempt        // attempt that has taken over from the last one
	status               int             // HTTP status written to the caller; 0 before
	stream               streamState
	lastFailure          *bufferedFailure // last failure response of an endpoint, not forwarded yet
	partForwarded        bool             // part of a response that is no stream was written, which nothing can continue
	truncated            bool             // the response is incomplete, and the caller must notice
	truncatedBy          error            // why; only logged
	disconnected         bool             // the caller has disconnected
	writeErr             error            // of the first write to the caller that failed
	billedTokens         int64
	written, writes      int64     // bytes of response bodies to the caller, and writes
	firstByteAt          time.Time // start of forwarding a successful response; zero before
}

// admit decodes the request, matches its route and reads its body. It refuses
// the request before anything was reserved or sent.
func (q *request) admit(inFlight int64) *refusal {
	h := q.handler
	params, err := h.deps.Codec.DecodeRequest(q.httpRequest.Header)
	q.params = params
	if err != nil {
		return refuseBadRequest(err)
	}
	if q.table = h.deps.Tables.Load(); q.table == nil {
		return refuseUnready("no configuration yet")
	}
	if inFlight > h.settings.MaxInFlight {
		return refuseOverload(inFlight)
	}
	if refused := q.matchRoute(); refused != nil {
		return refused
	}
	if refused := q.checkDrain(); refused != nil {
		return refused
	}
	if refused := q.readBody(); refused != nil {
		return refused
	}
	if !q.kept.Protect() || !q.conn.BeginServing() {
		q.conn.Evict()
		received := len(q.body)
		q.body = nil
		q.kept.Close()
		return refuseNoMemory(received)
	}
	// The body can take long, and the configuration can change meanwhile.
	if table := h.deps.Tables.Load(); table != q.table {
		q.table = table
		if refused := q.matchRoute(); refused != nil {
			return refused
		}
	}
	q.fingerprint = quarantine.FingerprintOf(q.httpRequest.Host, q.httpRequest.Method, q.httpRequest.RequestURI, q.workspaceName(), q.body)
	q.stream.sequence = resumeSequence(params.ResumeAfter)
	q.placed = placement.RequestOf(params.Generation)
	q.placed.Streaming = q.route.Kind == routetable.Streaming
	return nil
}

// workspaceName returns the name of the workspace, or "" without one.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// matchRoute sets the route, the workspace, the pool and the deadline.
func (q *request) matchRoute() *refusal {
	path, _, _ := strings.Cut(q.httpRequest.RequestURI, "?")
	if q.route = q.table.Match(q.httpRequest.Host, path); q.route == nil {
		return refuseNoRoute(q.table.Revision)
	}
	if q.table.RequiresKeys() && !q.route.Public {
		if q.workspace = q.table.WorkspaceByKey(q.params.Key); q.workspace == nil {
			return refuseUnknownKey(q.table.Revision)
		}
	}
	q.pool = q.route.PoolFor(q.params.ID)
	timeout := q.handler.settings.DefaultTimeout
	if q.route.Timeout > 0 {
		timeout = q.route.Timeout
	}
	if q.params.Timeout > 0 {
		timeout = min(timeout, q.params.Timeout)
	}
	q.deadline = q.startedAt.Add(timeout)
	return nil
}

// readBody reads the complete body, so that it can be sent with its length and
// sent again in a retry.
func (q *request) readBody() *refusal {
	maxBytes := q.handler.settings.MaxBodyBytes
	if q.table.Limits.MaxBodyBytes > 0 {
		maxBytes = q.table.Limits.MaxBodyBytes
	}
	controller := http.NewResponseController(q.writer)
	if err := errors.Join(controller.SetReadDeadline(q.deadline), controller.SetWriteDeadline(q.deadline.Add(writeGrace))); err != nil {
		return refuseBadRequest(fmt.Errorf("set deadlines: %w", err))
	}
	limited := http.MaxBytesReader(q.writer, q.httpRequest.Body, maxBytes)
	body, err := q.readWhole(limited, min(q.httpRequest.ContentLength, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.Is(err, bytebudget.ErrEvicted) {
		q.conn.Evict() // the budget does it, too, but that may be late and meet the next request
	}
	received := len(body)
	switch {
	case errors.Is(q.conn.Err(), connlimit.ErrStalled):
		body = nil // before its bytes are returned
		q.kept.Close()
		return refuseStalled(received)
	case errors.Is(err, bytebudget.ErrFull), errors.Is(err, bytebudget.ErrEvicted), q.conn.Err() != nil:
		body = nil
		q.kept.Close()
		// A caller that still sends when its connection is closed may lose the refusal.
		_, _ = io.Copy(io.Discard, limited) // it is refused in any case
		return refuseNoMemory(received)
	case errors.As(err, &tooLarge):
		return refuseTooLarge(maxBytes)
	case err != nil:
		return refuseBadRequest(fmt.Errorf("read body: %w", err))
	}
	// The server reads from the connection to detect that the caller
	// disconnects. An expired read deadline would look like a disconnect.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return refuseBadRequest(fmt.Errorf("reset deadline: %w", err))
	}
	q.body = body
	return nil
}

const (
	// unchargedBytes is the size up to which bodies are kept without drawing on the byte
	// budget.
	unchargedBytes = 8 << 10
	// firstReadBytes is the size of the buffer for the start of a body of unknown length.
	firstReadBytes = 512
)

// readWhole reads r to its end. The length is that of the body, or -1 if it is unknown. The
// error wraps bytebudget.ErrFull if there is no memory for the body.
func (q *request) readWhole(r io.Reader, length int64) ([]byte, error) {
	size := firstReadBytes
	if length >= 0 {
		size = int(min(length+1, unchargedBytes)) // one more byte for the read of the end
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size := 2 * cap(body)
			if length > int64(len(body)) {
				size = min(size, int(length)+1)
			}
			if err := q.kept.Grow(int64(max(size, unchargedBytes) - max(cap(body), unchargedBytes))); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// writeGrace is how long after the deadline of a request the end of its response
// may still be written to the caller.
const writeGrace = time.Second

// reserve reserves the most tokens that the request can consume. It does nothing
// for requests without a generation or without a prepaid workspace.
func (q *request) reserve(ctx context.Context) *refusal {
	g := q.params.Generation
	if g == nil || q.workspace == nil || q.workspace.PrepaidTokens == nil {
		return nil
	}
	startedAt := q.handler.deps.Clock.Now()
	r, err := q.handler.deps.Prepaid.Reserve(ctx, q.workspace.Name, g.MaxTokens())
	q.handler.stats.reserveTime.UpdateDuration(startedAt)
	if err != nil {
		return refuseBudget(err)
	}
	q.reservation = r
	return nil
}

// settle bills the tokens of the prompt and of the events that were forwarded. Each
// event is billed at the pool's MaxEventTokens, at least 1, and all events together
// at no more than the request's MaxOutputTokens. A request that no endpoint can have
// executed is free, and so is one of which the caller got nothing: neither an event nor
// a successful response.
func (q *request) settle() {
	if q.reservation == nil {
		return
	}
	delivered := q.stream.forwardedEvents > 0 || q.status >= http.StatusOK && q.status < http.StatusMultipleChoices
	if q.executions > 0 && delivered {
		g := q.params.Generation
		perEvent := max(q.table.Pools[q.pool].MaxEventTokens, 1)
		q.billedTokens = g.PromptTokens + min(g.MaxOutputTokens, perEvent*int64(q.stream.forwardedEvents))
	}
	q.reservation.Settle(q.billedTokens)
}

// serve reserves tokens, sends the request to endpoints and settles the
// reservation. It returns the refusal that is still to be written, or nil if a
// response was forwarded, at least in part, or the caller has disconnected.
func (q *request) serve(ctx context.Context) *refusal {
	if q.handler.deps.Clock.Now().After(q.deadline) {
		return refuseDeadlineExceeded("before it was sent")
	}
	if q.handler.deps.Endpoints.PoolEvacuated(q.pool) {
		return refuseEvacuated(q.pool) // before the request waits for tokens
	}
	if refused := q.checkQuarantine(); refused != nil {
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(responseGrace))
	defer cancel()
	if refused := q.reserve(ctx); refused != nil {
		q.disconnected = q.httpRequest.Context().Err() != nil
		return refused
	}
	defer q.settle()
	q.handler.deps.Retries.RecordRequest(q.pool)
	return q.sendWithRetries(ctx)
}

// responseGrace is how long after the deadline of a request the router still
// waits for a response, since an endpoint that stops work at the deadline reports
// this only at that moment.
const responseGrace = 50 * time.Millisecond

// logEnd logs how the request ended and updates the metrics.
func (q *request) logEnd(refused *refusal) {
	h := q.handler
	level, outcome := slog.LevelInfo, "answered"
	switch {
	case q.disconnected && h.cutOff.Load():
		level, outcome = slog.LevelWarn, "cut off"
	case errors.Is(q.writeErr, os.ErrDeadlineExceeded):
		level, outcome = slog.LevelWarn, "caller not reading"
	case q.disconnected && q.conn.Err() != nil:
		outcome = "closed by limits"
	case q.disconnected:
		outcome = "caller gone"
		h.stats.callersDisconnected.Inc()
	case q.truncated:
		level, outcome = slog.LevelWarn, "broken off"
	case refused != nil:
		outcome = refused.code
	}
	now := h.deps.Clock.Now()
	attrs := []slog.Attr{
		slog.String("request", q.params.ID), slog.String("outcome", outcome), slog.Int("status", q.status),
		slog.Int64("ms", now.Sub(q.startedAt).Milliseconds()), slog.Int("sends", q.attempts), slog.Int("runs", q.executions), slog.String("endpoint", q.endpointID),
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name), slog.Int64("config", q.table.Revision))
	}
	if !q.deadline.IsZero() {
		attrs = append(attrs, slog.Int64("left_ms", q.deadline.Sub(now).Milliseconds()))
	}
	if q.workspace != nil {
		attrs = append(attrs, slog.String("workspace", q.workspace.Name))
	}
	if q.reservation != nil {
		attrs = append(attrs, slog.Int64("reserved", q.reservation.Tokens()), slog.Int64("billed", q.billedTokens), slog.String("lender", q.reservation.Lender().VM))
	}
	if q.stream.forwardedEvents > 0 {
		attrs = append(attrs, slog.Int("events", q.stream.forwardedEvents), slog.String("last_event", q.stream.sequence.id))
	}
	if !q.firstByteAt.IsZero() {
		attrs = append(attrs, slog.Int64("first_ms", q.firstByteAt.Sub(q.startedAt).Milliseconds()))
		h.stats.firstByte.Update(q.firstByteAt.Sub(q.startedAt).Seconds())
		h.stats.responseTime.Update(now.Sub(q.startedAt).Seconds())
		if outcome == "answered" {
			h.durations.record(q.route, now.Sub(q.startedAt))
		}
	}
	if q.truncatedBy != nil {
		attrs = append(attrs, slog.String("reason", q.truncatedBy.Error()))
	}
	if q.writeErr != nil {
		attrs = append(attrs, slog.String("write_err", q.writeErr.Error()))
	}
	if refused != nil {
		attrs = append(attrs, slog.String("reason", refused.reason), slog.Int64("retry_after_ms", refused.retryAfter.Milliseconds()))
		if refused.code == string(failure.Quarantined) {
			attrs = append(attrs, slog.String("segments", q.loggedSegments()), slog.String("fingerprint", q.fingerprint.String()))
		}
	}
	h.stats.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_requests_total{outcome=%q,status=\"%d\"}", outcome, q.status)).Inc()
	h.deps.Log.LogAttrs(context.Background(), level, "request ended", attrs...)
}
