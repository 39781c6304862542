package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"daisyslip.dev/daisyslip/internal/placement"
)

// logPlacement logs the chosen endpoint with the data that led to the choice.
func (q *request) logPlacement(c placement.Choice) {
	attrs := []slog.Attr{
		slog.String("request", q.params.ID), slog.String("endpoint", c.Endpoint.ID), slog.String("pool", q.pool),
		slog.Float64("load", c.Load), slog.Int64("report_age_ms", c.ReportAge.Milliseconds()), slog.Int("candidates", c.Candidates),
		slog.Int64("config", q.table.Revision), slog.Bool("shared_prompt", q.placed.Affinity != 0),
	}
	if c.ByCompletion {
		attrs = append(attrs, slog.Int("expected_ms", int(c.Expected.Completion())), slog.Int("expected_first_ms", int(c.Expected.First())),
			slog.Int("wait_ms", int(c.Expected.Wait)), slog.Int("slowness", int(c.Slowness)), slog.String("home", c.Home.String()), slog.Int("homes", c.Homes),
			slog.Int64("unread_tokens", c.UnreadTokens), slog.Int64("output_tokens", c.OutputTokens))
	}
	q.handler.deps.Log.LogAttrs(context.Background(), slog.LevelInfo, "request placed", attrs...)
}

// logFailedAttempt logs an attempt without a complete response and counts it in the
// metrics. DeniedBy is the reason for which no other attempt follows; "" if one does.
func (q *request) logFailedAttempt(a *attempt, outcome attemptOutcome, cause error, deniedBy string) {
	q.handler.stats.countFailedAttempt(outcome, a.progress)
	fingerprint := ""
	if outcome == connectionBroken {
		fingerprint = q.fingerprint.String()
	}
	q.handler.deps.Log.Info("attempt failed", "request", q.params.ID, "endpoint", a.endpoint.ID, "end", outcome.String(), "err", errorText(cause),
		"progress", a.progress.String(), "segments", q.loggedSegments(), "fingerprint", fingerprint, "retryable", q.route.Retryable(), "evidence", a.evidence(),
		"again", deniedBy == "", "denied_by", deniedBy, "runs", q.executions, "sends", q.attempts, "left_ms", q.remaining().Milliseconds(), "last_event", q.stream.sequence.id)
}

// evidence returns what is known of whether the endpoint has executed the request: the
// status, the statements of the response and the state of its connection. It is "" without
// a response.
func (a *attempt) evidence() string {
	if a.response == nil {
		return ""
	}
	return fmt.Sprintf("status=%d id=%t signed=%t not_executed=%t wrong_instance=%t first_on_connection=%t exchange=%d",
		a.response.Status, a.metadata.ID != "", a.metadata.Signed, a.metadata.NotExecuted, a.metadata.WrongInstance, a.response.First, a.response.Exchange)
}

// errorText returns the text of err, or "" if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// logDenied logs that no other endpoint takes over at present.
func (t *takeover) logDenied(reason string) {
	q := t.request
	if reason == deniedByRetryBudget {
		q.handler.stats.retriesRefused.Inc()
	}
	q.handler.deps.Log.Info("endpoint silent, request stays there", "request", q.params.ID, "endpoint", t.silent.endpoint.ID,
		"denied_by", reason, "runs", q.executions, "sends", q.attempts, "left_ms", q.remaining().Milliseconds(), "last_event", q.stream.sequence.id)
}

// logDecision logs which endpoint goes on with the request after it was sent to another one,
// and for how long both may have worked on it.
func (t *takeover) logDecision(next *attempt, accepted bool) {
	select {
	case <-next.connected:
	default:
		return // not sent
	}
	q := t.request
	overlap := q.handler.deps.Clock.Now().Sub(next.sentAt)
	silence := "goes on"
	if cause := context.Cause(t.ctx); cause != nil {
		silence = "ended: " + cause.Error()
	}
	q.handler.stats.overlap.Update(overlap.Seconds())
	q.handler.deps.Log.Info("takeover decided", "request", q.params.ID, "endpoint", t.silent.endpoint.ID, "other", next.endpoint.ID, "other_goes_on", accepted,
		"silence", silence, "head", next.headTime(), "overlap_ms", overlap.Milliseconds())
}

// logTakenOver logs how long after the send the endpoint responded that has taken over.
func (q *request) logTakenOver(a *attempt) {
	q.handler.deps.Log.Info("endpoint that took over has responded", "request", q.params.ID, "endpoint", a.endpoint.ID, "head", a.headTime(), "err", errorText(a.err))
}

// headTime returns how long after the send the head of the response arrived, or "" if it
// has not.
func (a *attempt) headTime() string {
	select {
	case <-a.opened:
	default:
		return ""
	}
	if a.response == nil {
		return ""
	}
	return a.openedAt.Sub(a.sentAt).Round(time.Millisecond).String()
}
