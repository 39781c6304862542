package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// streamState is the state of the stream that is forwarded to a caller. It spans
// all endpoints that serve the stream one after another.
type streamState struct {
	// headForwarded is set once the head of a response that is not completely
	// buffered was written to the caller. From then on no refusal can be written,
	// and a failure truncates the response.
	headForwarded bool
	// sequence follows the events that were forwarded. unresumable is set once one of them may have a spoiled id, so that
	// a resume after it could skip or repeat others.
	sequence    sequence
	unresumable bool
	// forwardedEvents counts the events that were forwarded.
	forwardedEvents int
	// pending holds the bytes received of an event that is not complete yet. Its first
	// searched bytes have no end of an event, and keptBytes are drawn from the byte budget.
	pending   []byte
	searched  int
	keptBytes int
	// lastEventAt is when the last events were forwarded, or when the current
	// endpoint's response began if that is later.
	lastEventAt time.Time
}

// maxEventBytes bounds the bytes of an incomplete event.
const maxEventBytes = 1 << 20

// streamReadBytes is the size of the buffer for reads from an endpoint.
const streamReadBytes = 4 << 10

// forwardStream forwards events as they arrive, until the stream ends or breaks.
func (q *request) forwardStream(ctx context.Context, a *attempt) (attemptOutcome, placement.Observation, error) {
	e, response := a.endpoint, a.response
	if q.stream.forwardedEvents > 0 {
		q.handler.stats.resumed.Inc()
		q.handler.deps.Log.Info("stream resumed", "request", q.params.ID, "endpoint", e.ID, "after_event", q.stream.sequence.id, "events", q.stream.forwardedEvents)
	}
	q.stream.pending, q.stream.searched, q.stream.keptBytes = nil, 0, 0
	q.stream.sequence.startRun(q.resumed())
	q.stream.lastEventAt = q.handler.deps.Clock.Now()
	buffer := make([]byte, streamReadBytes)
	suspectTimer := time.AfterFunc(suspectAfter, func() { q.handler.suspect(e) })
	defer suspectTimer.Stop()
	if err := response.SetReadDeadline(q.deadline.Add(responseGrace)); err != nil {
		response.Abort()
		return q.classifyIncomplete(ctx, fmt.Errorf("%w: %w", upstream.ErrBroken, err))
	}
	for {
		q.armTakeover(ctx, a, q.eventTimeout())
		n, err := a.readBody(buffer)
		if n > 0 {
			forwarded := q.stream.forwardedEvents
			if forwardErr := q.forwardEvents(a, buffer[:n]); forwardErr != nil {
				response.Abort()
				return q.classifyForwardError(ctx, forwardErr)
			}
			if q.stream.forwardedEvents > forwarded {
				suspectTimer.Reset(suspectAfter)
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return q.finishStream(ctx, response)
		}
		response.Abort()
		return q.classifyIncomplete(ctx, err)
	}
}

// readBody reads the next bytes of the response.
func (a *attempt) readBody(b []byte) (int, error) {
	if len(a.first) == 0 {
		return a.response.Read(b)
	}
	n := copy(b, a.first)
	a.first = a.first[n:]
	return n, nil
}

// eventTimeout is how long an endpoint may take to send the next event before another
// one is to take over.
func (q *request) eventTimeout() time.Duration {
	if q.stream.forwardedEvents > 0 {
		return gapTimeout(q.route)
	}
	return headTimeout(q.route)
}

// finishStream handles the end of an endpoint's response. A response that ends
// within an event counts as broken.
func (q *request) finishStream(ctx context.Context, response *upstream.Response) (attemptOutcome, placement.Observation, error) {
	switch {
	case len(q.stream.pending) > 0:
		response.Abort()
		return q.classifyIncomplete(ctx, fmt.Errorf("%w: stream ends within an event", upstream.ErrBroken))
	case q.attemptEvents == 0 && (!response.Framed || q.resumed() || q.stream.sequence.overlaps):
		// The end of an unframed response looks the same if it was broken off, and a
		// response without further events does not show that a stream has none.
		response.Abort()
		return q.classifyIncomplete(ctx, fmt.Errorf("%w: stream ends without an event", upstream.ErrBroken))
	}
	q.dropTakeover() // it uses the state that is changed below
	if !q.stream.headForwarded {
		q.forwardHead(response)
	}
	response.Finish()
	return completed, placement.Succeeded, nil
}

// errCallerWrite wraps errors of writes to the caller.
var errCallerWrite = errors.New("write to caller")

// classifyForwardError returns the outcome of an attempt whose events could not
// be forwarded, because of the caller or because of the endpoint.
func (q *request) classifyForwardError(ctx context.Context, err error) (attemptOutcome, placement.Observation, error) {
	if errors.Is(err, errCallerWrite) {
		return callerDisconnected, placement.Inconclusive, err
	}
	return q.classifyIncomplete(ctx, err)
}

// forwardHead writes the response head to the caller.
func (q *request) forwardHead(response *upstream.Response) {
	q.stream.headForwarded = true
	q.firstByteAt = q.handler.deps.Clock.Now()
	q.writeResponse(response.Status, response.Header, nil, -1)
}

// forwardEvents appends b to the pending bytes and forwards all complete events,
// except those that the caller already has. Events before one that is rejected are forwarded, too.
func (q *request) forwardEvents(a *attempt, b []byte) error {
	if err := q.keepPending(a, len(q.stream.pending)+len(b)); err != nil {
		return err
	}
	q.stream.pending = append(q.stream.pending, b...)
	size := q.nextEventLength()
	// Bytes that complete no event do not show that the endpoint goes on.
	if size > 0 {
		if !q.pauseTakeover() {
			return errTakenOver
		}
		if err := q.forwardComplete(a, size); err != nil {
			return err
		}
	}
	if len(q.stream.pending) > maxEventBytes {
		return fmt.Errorf("%w: event over %d bytes", upstream.ErrMalformed, maxEventBytes)
	}
	q.stream.searched = len(q.stream.pending)
	return nil
}

// forwardComplete forwards the complete events, of which the first has size bytes. It changes the state that a
// takeover uses, so that none may run.
func (q *request) forwardComplete(a *attempt, size int) error {
	events, rejected := q.takeEvents(size)
	if events.count == 0 {
		q.stream.sequence = events.sequence
	} else if err := q.writeEvents(a, events); err != nil {
		return err
	}
	return rejected
}

// readyEvents are complete events that can be written to the caller.
type readyEvents struct {
	bytes []byte
	count int
	// sequence is that after them.
	sequence sequence
}

// takeEvents takes the complete events, of which the first has size bytes, from the pending bytes, up to one that is
// rejected with an error.
func (q *request) takeEvents(size int) (readyEvents, error) {
	ready := readyEvents{sequence: q.stream.sequence}
	for ; size > 0; size = q.nextEventLength() {
		event := q.stream.pending[:size]
		q.stream.pending, q.stream.searched = q.stream.pending[size:], 0
		comment := isComment(event)
		if q.resumed() && comment {
			continue
		}
		if !comment {
			skip, err := ready.sequence.next(eventID(event))
			switch {
			case errors.Is(err, errSequence):
				return q.rejectAfter(ready), err
			case err != nil:
				return ready, err
			case skip:
				continue
			}
		}
		ready.bytes = append(ready.bytes, event...)
		ready.count++
	}
	return ready, nil
}

// rejectAfter returns those of the events before a rejected one that are written. The id of the last one may be the
// spoiled one; if that event is not written yet, nothing of the run is.
func (q *request) rejectAfter(ready readyEvents) readyEvents {
	if ready.sequence.id == "" || ready.sequence.confirmed {
		return ready
	}
	if q.stream.sequence.id == "" && q.attemptEvents == 0 {
		return readyEvents{sequence: q.stream.sequence}
	}
	q.stream.unresumable = true
	return ready
}

// eventMemory is how many bytes of memory one byte of an incomplete event takes at most,
// since its buffer is copied when it grows.
const eventMemory = 2

// keepPending draws on the byte budget for n pending bytes beyond the buffer for reads.
func (q *request) keepPending(a *attempt, n int) error {
	if n <= max(q.stream.keptBytes, 2*streamReadBytes) {
		return nil
	}
	if err := a.kept.Grow(eventMemory * int64(n-q.stream.keptBytes)); err != nil {
		return fmt.Errorf("%w: incomplete event of %d bytes: %w", upstream.ErrMalformed, n, err)
	}
	q.stream.keptBytes = n
	return nil
}

// nextEventLength returns the length of the first pending event, or 0 if it is incomplete.
func (q *request) nextEventLength() int { return eventLength(q.stream.pending, q.stream.searched) }

// servedEvents is the number of events after which a response has got past its
// beginning.
const servedEvents = 2

// writeEvents writes and flushes complete events, after the head if that was not written yet.
func (q *request) writeEvents(a *attempt, ready readyEvents) error {
	count := ready.count
	if !q.stream.headForwarded {
		q.forwardHead(a.response)
	}
	now := q.handler.deps.Clock.Now()
	if q.stream.forwardedEvents > 0 {
		q.handler.stats.eventGap.Update(now.Sub(q.stream.lastEventAt).Seconds())
	}
	q.stream.lastEventAt = now
	q.stream.forwardedEvents += count
	q.stream.sequence = ready.sequence
	a.progress = eventsForwarded
	q.attemptEvents += count
	q.handler.deps.Balancer.Progress(a.choice.Task, int64(count)*max(q.table.Pools[q.pool].MaxEventTokens, 1))
	if q.attemptEvents >= servedEvents && q.attemptEvents-count < servedEvents {
		q.handler.deps.Quarantine.RecordServed(q.pool, q.params.Generation.SharedSegments())
	}
	q.countWritten(int64(len(ready.bytes)), 1)
	if _, err := q.writer.Write(ready.bytes); err != nil {
		q.writeFailed(err)
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		q.writeFailed(err)
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// resumable reports whether another endpoint can go on right after the events that the caller has.
func (q *request) resumable() bool { return !q.stream.unresumable && q.stream.sequence.resumable() }

// resumed reports whether the current endpoint resumes a stream of which the caller has
// events from another attempt.
func (q *request) resumed() bool { return q.stream.forwardedEvents > q.attemptEvents }

// eventLength returns the length in bytes of the first event in b, including its
// blank line, or 0 if the event is incomplete. The first searched bytes are known to have
// no blank line.
func eventLength(b []byte, searched int) int {
	for at := max(searched-len("\r\n\r"), 0); ; {
		next := bytes.IndexByte(b[at:], '\n')
		if next < 0 {
			return 0
		}
		at += next + 1
		switch rest := b[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + len("\n")
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' && at > 1 && b[at-2] == '\r':
			return at + len("\r\n")
		}
	}
}

// isComment reports whether an event has no field, so that callers ignore it.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
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
