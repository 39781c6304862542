package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/sse"
	"daisyslip.dev/daisyslip/internal/work"
)

// finishLength is the finish reason of an answer that was cut at its bound.
const finishLength = "length"

// A gap is averaged over gapTokens tokens, or over gapTime if that is shorter,
// before it is reported.
const (
	gapTokens = 8
	gapTime   = 250 * time.Millisecond
)

// stream reads the pieces of one attempt.
type stream struct {
	attempt *attempt
	events  *sse.Reader
	seen    int64 // tokens that this attempt has generated
	begun   bool  // a piece of this attempt has come
	moved   bool  // a retry was taken to move a slow answer
	last    time.Time
	since   int64         // tokens since last
	gap     time.Duration // the latest mean gap, or 0
}

// read passes the pieces on until the answer is whole.
func (s *stream) read() *failure.Error {
	answer := &s.attempt.run.answer
	for {
		data, err := s.events.Next()
		if err != nil {
			return s.incomplete(err)
		}
		if string(data) == engine.EndOfStream {
			if answer.finish == "" {
				return s.incomplete(errors.New("end marker without finish reason"))
			}
			return nil
		}
		if f := s.take(data); f != nil {
			return f
		}
	}
}

// incomplete is the failure of a stream that ends before its end marker. If
// the caller has all the tokens that it asked for, nothing is missing.
func (s *stream) incomplete(err error) *failure.Error {
	answer := &s.attempt.run.answer
	if answer.full() {
		answer.finish = finishLength
		return nil
	}
	answer.finish = ""
	if errors.Is(err, io.EOF) {
		err = errors.New("stream ended without its end marker")
	}
	return s.broken(err)
}

func (s *stream) broken(err error) *failure.Error {
	name := s.attempt.lease.Endpoint.Name
	return failure.Wrap(failure.EndpointFailed, "read answer", name, err).WithRan(failure.RanYes).WithRetry(time.Second)
}

// take passes one chunk on, if it belongs to this attempt and is new.
func (s *stream) take(data []byte) *failure.Error {
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return s.broken(fmt.Errorf("decode chunk: %w", err))
	}
	if chunk.ID != engine.ResponseIDPrefix+s.attempt.id {
		s.attempt.run.dispatcher.metrics.foreign.Inc()
		s.attempt.record(event.AnswerDropped, "a piece had another attempt's id")
		return nil
	}
	s.attempt.watch.token()
	piece, finish := read(chunk)
	if f := s.count(chunk.Usage, &piece); f != nil {
		return f
	}
	if piece.Text != "" {
		if f := s.pass(piece); f != nil {
			return f
		}
	}
	if finish != "" {
		s.attempt.run.answer.finish = finish
	}
	return nil
}

// read returns the text and the finish reason of a chunk.
func read(chunk engine.Chunk) (work.Piece, string) {
	if len(chunk.Choices) == 0 {
		return work.Piece{}, ""
	}
	choice, piece, finish := chunk.Choices[0], work.Piece{}, ""
	if choice.Delta != nil {
		piece.Text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		finish = *choice.FinishReason
	}
	return piece, finish
}

// count compares the engine's count of tokens with the piece. A piece that
// does not raise the count has come before; its text is dropped. A count that
// jumps means that pieces are missing.
func (s *stream) count(usage *engine.Usage, piece *work.Piece) *failure.Error {
	if usage == nil {
		piece.Tokens = 1 // an engine without counts sends a token a piece
		return nil
	}
	answer := &s.attempt.run.answer
	if answer.prompt == 0 {
		answer.prompt = max(usage.PromptTokens-answer.tokens, 0)
	}
	added := usage.CompletionTokens - s.seen
	switch {
	case added > s.attempt.run.dispatcher.settings.MaxChunkTokens:
		s.attempt.run.dispatcher.metrics.gaps.Inc()
		return s.broken(fmt.Errorf("the count of tokens jumps from %d to %d", s.seen, usage.CompletionTokens))
	case added <= 0 && piece.Text != "":
		s.attempt.run.dispatcher.metrics.repeated.Inc()
		s.attempt.record(event.AnswerDropped, "a piece came twice")
		piece.Text = ""
		return nil
	}
	piece.Tokens = max(added, 0)
	s.seen = max(s.seen, usage.CompletionTokens)
	return nil
}

// pass passes a piece on and measures the stream's speed. The time that the
// caller takes for the piece does not count against the endpoint.
func (s *stream) pass(piece work.Piece) *failure.Error {
	now := time.Now()
	s.measure(now, piece.Tokens)
	if err := s.attempt.run.answer.pass(piece); err != nil {
		return failure.Wrap(failure.Canceled, "pass answer on", "caller", err).WithRan(failure.RanYes)
	}
	s.attempt.watch.token()
	s.last = s.last.Add(time.Since(now))
	if s.late() {
		s.moved = true
		return s.broken(errTooSlow)
	}
	return nil
}

// errTooSlow ends an attempt whose answer goes on elsewhere.
var errTooSlow = errors.New("the endpoint is too slow for the answer to be on time")

// late reports whether the answer will be late here and can be on time at an
// endpoint of the pool's usual speed. If so, it has taken a retry.
func (s *stream) late() bool {
	run, gap := s.attempt.run, s.gap
	s.gap = 0 // decided until the next measurement
	if gap == 0 || run.attempts >= run.dispatcher.settings.MaxAttempts {
		return false
	}
	g := run.answer.generation
	times := s.attempt.lease.PoolLatencies()
	left := g.MaxTokens - run.answer.tokens
	here := time.Duration(left) * gap
	elsewhere := times.FirstToken + time.Duration(left)*times.Gap
	until := time.Until(g.Deadline)
	if here <= until || elsewhere > until || here < 2*elsewhere {
		return false
	}
	return run.answer.resumable() && run.dispatcher.duties.Router.HasAlternative(g, run.tried, s.attempt.lease.Endpoint.Name) &&
		s.attempt.lease.TakeRetry()
}

// measure reports the time to the first token, and the mean gap at
// intervals.
func (s *stream) measure(now time.Time, tokens int64) {
	if !s.begun {
		s.begun, s.last = true, now
		s.attempt.lease.ObserveFirstToken(now.Sub(s.attempt.started))
		return
	}
	s.since += tokens
	if s.since >= gapTokens || s.since > 1 && now.Sub(s.last) >= gapTime {
		s.gap = now.Sub(s.last) / time.Duration(s.since)
		s.attempt.lease.ObserveGap(s.gap)
		s.last, s.since = now, 0
	}
}
