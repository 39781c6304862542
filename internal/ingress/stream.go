package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// relay is the state of the stream that a caller gets, over all endpoints that
// serve it.
type relay struct {
	// begun is set once the head was passed on.
	begun bool
	// lastID is the id of the last event that the caller has whole.
	lastID string
	// events counts those passed on.
	events int
	// pending are bytes of an event that is not whole yet.
	pending []byte
	lastAt  time.Time
}

// maxEventBytes bounds an event that is not whole yet.
const maxEventBytes = 1 << 20

// streamReadBytes is the size of a read from an endpoint.
const streamReadBytes = 4 << 10

// errSequence: a stream that goes on elsewhere does not follow on the last
// event.
var errSequence = errors.New("events do not follow on those passed on")

// passStream passes events on as they come.
func (q *request) passStream(ctx context.Context, e endpoints.Endpoint, answer *upstream.Response) (end, placement.Observation, error) {
	if q.stream.events > 0 {
		q.handler.stats.resumed.Inc()
		q.handler.duties.Log.Info("stream goes on", "request", q.said.ID, "endpoint", e.ID, "after_event", q.stream.lastID, "events", q.stream.events)
	}
	q.stream.pending = nil
	q.stream.lastAt = q.handler.duties.Clock.Now()
	buffer := make([]byte, streamReadBytes)
	suspect := time.AfterFunc(suspectAfter, func() { q.handler.duties.Balancer.Suspect(e) })
	defer suspect.Stop()
	for {
		if err := answer.SetReadDeadline(q.readBy()); err != nil {
			answer.Abort()
			return q.lost(ctx, fmt.Errorf("%w: %w", upstream.ErrBroken, err))
		}
		n, err := answer.Read(buffer)
		if n > 0 {
			suspect.Reset(suspectAfter)
			if passErr := q.passEvents(answer, buffer[:n]); passErr != nil {
				answer.Abort()
				return q.notPassed(ctx, passErr)
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return q.endStream(ctx, answer)
		}
		answer.Abort()
		return q.lost(ctx, err)
	}
}

// readBy is until when the next event is waited for. Without another endpoint
// to go on at, silence ends nothing.
func (q *request) readBy() time.Time {
	end := q.by.Add(answerGrace)
	switch {
	case q.othersLeft() && q.stream.events == 0:
		return earlier(end, q.stream.lastAt.Add(headPatience(q.route)))
	case q.othersLeft():
		return earlier(end, q.handler.duties.Clock.Now().Add(pausePatience(q.route)))
	}
	return end
}

// endStream ends a stream that the endpoint ended.
func (q *request) endStream(ctx context.Context, answer *upstream.Response) (end, placement.Observation, error) {
	if len(q.stream.pending) > 0 {
		answer.Abort()
		return q.lost(ctx, fmt.Errorf("%w: stream ends within an event", upstream.ErrBroken))
	}
	if !q.stream.begun {
		q.begin(answer)
	}
	answer.Finish()
	return whole, placement.Succeeded, nil
}

// errCaller: the caller does not take the answer.
var errCaller = errors.New("write to caller")

func (q *request) notPassed(ctx context.Context, err error) (end, placement.Observation, error) {
	if errors.Is(err, errCaller) {
		return callerGone, placement.Inconclusive, err
	}
	return q.lost(ctx, err)
}

// begin passes the head on.
func (q *request) begin(answer *upstream.Response) {
	q.stream.begun = true
	q.firstAt = q.handler.duties.Clock.Now()
	q.writeAnswer(answer.Status, answer.Header, nil, -1)
}

// passEvents passes on the events that are whole with the new bytes.
func (q *request) passEvents(answer *upstream.Response, b []byte) error {
	q.stream.pending = append(q.stream.pending, b...)
	var ready []byte
	count := 0
	for {
		size := eventEnd(q.stream.pending)
		if size == 0 {
			break
		}
		event := q.stream.pending[:size]
		q.stream.pending = q.stream.pending[size:]
		id := eventID(event)
		skip, err := q.follows(id)
		if err != nil {
			return err
		}
		if skip {
			continue
		}
		ready = append(ready, event...)
		count++
		if id != "" {
			q.stream.lastID = id
		}
	}
	if len(q.stream.pending) > maxEventBytes {
		return fmt.Errorf("%w: event over %d bytes", upstream.ErrMalformed, maxEventBytes)
	}
	if count == 0 {
		return nil
	}
	return q.writeEvents(answer, ready, count)
}

func (q *request) writeEvents(answer *upstream.Response, ready []byte, count int) error {
	if !q.stream.begun {
		q.begin(answer)
	}
	now := q.handler.duties.Clock.Now()
	if q.stream.events > 0 {
		q.handler.stats.pause.Update(now.Sub(q.stream.lastAt).Seconds())
	}
	q.stream.lastAt = now
	q.stream.events += count
	if _, err := q.writer.Write(ready); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// follows checks an event's id against the last one passed on. It skips an
// event that the caller has.
func (q *request) follows(id string) (skip bool, err error) {
	last, lastErr := strconv.ParseInt(q.stream.lastID, 10, 64)
	now, nowErr := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || nowErr != nil {
		return false, nil // ids that are not numbers tell no order
	}
	if now <= last {
		return true, nil
	}
	if now != last+1 {
		return false, fmt.Errorf("%w: %w: %d after %d", upstream.ErrMalformed, errSequence, now, last)
	}
	return false, nil
}

// eventEnd returns the length of the first event with its blank line, or 0 if
// it is not whole.
func eventEnd(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case lf < 0 || crlf >= 0 && crlf < lf:
		return crlf + len("\r\n\r\n")
	}
	return lf + len("\n\n")
}

// eventID returns the id field of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
