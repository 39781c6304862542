package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/routetable"
)

// request is one caller's request on its way.
type request struct {
	handler *Handler
	writer  http.ResponseWriter
	http    *http.Request
	started time.Time

	said      exchange.Request
	table     *routetable.Table
	route     *routetable.Route
	workspace *routetable.Workspace
	pool      string
	body      []byte
	// by is when the caller or the route waits no longer.
	by       time.Time
	affinity uint64

	reservation *prepaid.Reservation

	// sends counts the endpoints that got bytes, and runs those that may have
	// run the request.
	sends, runs int
	endpoint    string // the last
	candidates  int    // endpoints among which it was chosen
	status      int    // told to the caller
	stream      relay
	held        *heldAnswer // a failure that no endpoint's success has replaced yet
	torn        bool        // the answer must not look complete
	gone        bool        // the caller left
	billed      int64
	firstAt     time.Time
}

// admit reads the request and finds what it needs before it costs anything.
func (q *request) admit(inFlight int64) *refusal {
	h := q.handler
	said, err := h.duties.Codec.DecodeRequest(q.http.Header)
	q.said = said
	if err != nil {
		return refuseBadRequest(err)
	}
	if q.table = h.duties.Tables.Load(); q.table == nil {
		return refuseUnready("no configuration yet")
	}
	if inFlight > h.settings.MaxInFlight {
		return refuseOverload(inFlight)
	}
	if refused := q.match(); refused != nil {
		return refused
	}
	if h.drain.Load().outlasts(q.started, q.by) {
		return refuseDraining()
	}
	if refused := q.readBody(); refused != nil {
		return refused
	}
	q.stream.lastID = said.ResumeAfter
	q.affinity = placement.Affinity(said.Generation)
	return nil
}

// match finds the route, the workspace and the deadline.
func (q *request) match() *refusal {
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	if q.route = q.table.Match(q.http.Host, path); q.route == nil {
		return refuseNoRoute(q.table.Revision)
	}
	if q.table.RequiresKeys() && !q.route.Public {
		if q.workspace = q.table.WorkspaceByKey(q.said.Key); q.workspace == nil {
			return refuseKey(q.table.Revision)
		}
	}
	q.pool = q.route.PoolFor(q.said.ID)
	patience := q.handler.settings.DefaultTimeout
	if q.route.Timeout > 0 {
		patience = q.route.Timeout
	}
	if q.said.Timeout > 0 {
		patience = min(patience, q.said.Timeout)
	}
	q.by = q.started.Add(patience)
	return nil
}

// readBody reads the whole body, so that it can be sent with its length and
// sent again.
func (q *request) readBody() *refusal {
	most := q.handler.settings.MaxBodyBytes
	if q.table.Limits.MaxBodyBytes > 0 {
		most = q.table.Limits.MaxBodyBytes
	}
	control := http.NewResponseController(q.writer)
	if err := errors.Join(control.SetReadDeadline(q.by), control.SetWriteDeadline(q.by.Add(writeGrace))); err != nil {
		return refuseBadRequest(fmt.Errorf("set deadlines: %w", err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuseTooLarge(most)
	case err != nil:
		return refuseBadRequest(fmt.Errorf("read body: %w", err))
	}
	// The server watches the connection for the caller's leaving, which a
	// deadline would look like.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refuseBadRequest(fmt.Errorf("reset deadline: %w", err))
	}
	q.body = body
	return nil
}

// writeGrace is how long after its deadline a request may still be writing the
// end of its answer.
const writeGrace = time.Second

// fund reserves the most that the request can consume.
func (q *request) fund(ctx context.Context) *refusal {
	g := q.said.Generation
	if g == nil || q.workspace == nil || q.workspace.PrepaidTokens == nil {
		return nil
	}
	started := q.handler.duties.Clock.Now()
	r, err := q.handler.duties.Prepaid.Reserve(ctx, q.workspace.Name, g.MaxTokens())
	q.handler.stats.reserve.UpdateDuration(started)
	if err != nil {
		return refuseFunds(err)
	}
	q.reservation = r
	return nil
}

// settle bills what the caller got. A request that no endpoint can have run is
// free.
func (q *request) settle() {
	if q.reservation == nil {
		return
	}
	if q.runs > 0 {
		g := q.said.Generation
		perEvent := max(q.table.Pools[q.pool].MaxEventTokens, 1)
		q.billed = g.PromptTokens + min(g.MaxOutputTokens, perEvent*int64(q.stream.events))
	}
	q.reservation.Settle(q.billed)
}

// serve sends the request to endpoints until it is answered or no other may be
// tried.
func (q *request) serve(ctx context.Context) *refusal {
	if q.handler.duties.Clock.Now().After(q.by) {
		return refuseLate("before it was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, q.by.Add(answerGrace))
	defer cancel()
	if refused := q.fund(ctx); refused != nil {
		q.gone = q.http.Context().Err() != nil
		return refused
	}
	defer q.settle()
	q.handler.duties.Retries.RecordRequest(q.pool)
	return q.try(ctx)
}

// answerGrace is how long past its deadline an answer is waited for: an
// endpoint that stops work at the deadline says so at that moment.
const answerGrace = 50 * time.Millisecond

// log writes the line of the request.
func (q *request) log(refused *refusal) {
	h := q.handler
	level, outcome := slog.LevelInfo, "answered"
	switch {
	case q.gone:
		outcome = "caller gone"
		h.stats.callerGone.Inc()
	case q.torn:
		level, outcome = slog.LevelWarn, "broken off"
	case refused != nil:
		outcome = refused.code
	}
	now := h.duties.Clock.Now()
	attrs := []slog.Attr{
		slog.String("request", q.said.ID), slog.String("outcome", outcome), slog.Int("status", q.status),
		slog.Int64("ms", now.Sub(q.started).Milliseconds()), slog.Int("sends", q.sends), slog.String("endpoint", q.endpoint),
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name), slog.Int64("config", q.table.Revision))
	}
	if !q.by.IsZero() {
		attrs = append(attrs, slog.Int64("left_ms", q.by.Sub(now).Milliseconds()))
	}
	if q.workspace != nil {
		attrs = append(attrs, slog.String("workspace", q.workspace.Name))
	}
	if q.reservation != nil {
		attrs = append(attrs, slog.Int64("reserved", q.reservation.Tokens()), slog.Int64("billed", q.billed))
	}
	if q.stream.events > 0 {
		attrs = append(attrs, slog.Int("events", q.stream.events), slog.String("last_event", q.stream.lastID))
	}
	if !q.firstAt.IsZero() {
		attrs = append(attrs, slog.Int64("first_ms", q.firstAt.Sub(q.started).Milliseconds()))
		h.stats.firstByte.Update(q.firstAt.Sub(q.started).Seconds())
		h.stats.whole.Update(now.Sub(q.started).Seconds())
	}
	if refused != nil {
		attrs = append(attrs, slog.String("reason", refused.reason), slog.Int64("retry_after_ms", refused.retryAfter.Milliseconds()))
	}
	h.stats.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_requests_total{outcome=%q,status=\"%d\"}", outcome, q.status)).Inc()
	h.duties.Log.LogAttrs(context.Background(), level, "request ended", attrs...)
}
