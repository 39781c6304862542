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
	gapSampleTokens = 8
	gapSampleTime   = 250 * time.Millisecond
)

// stream reads the pieces of one attempt.
type stream struct {
	attempt             *attempt
	events              *sse.Reader
	generatedTokens     int64 // tokens that this attempt has generated
	started             bool  // a piece of this attempt has come
	retryTaken          bool  // a retry was taken to move a slow answer
	lastMeasured        time.Time
	tokensSinceMeasured int64         // tokens since last
	meanGap             time.Duration // the latest mean gap, or 0
}

// read passes the pieces on until the answer is whole.
func (s *stream) forwardAll() *failure.Error {
	response := &s.attempt.run.response
	for {
		data, err := s.events.Next()
		if err != nil {
			return s.incomplete(err)
		}
		if string(data) == engine.EndOfStream {
			if response.finishReason == "" {
				return s.incomplete(errors.New("end marker without finish reason"))
			}
			return nil
		}
		if f := s.handleChunk(data); f != nil {
			return f
		}
	}
}

// incomplete is the failure of a stream that ends before its end marker. If
// the caller has all the tokens that it asked for, nothing is missing.
func (s *stream) incomplete(err error) *failure.Error {
	response := &s.attempt.run.response
	if response.reachedMaxTokens() {
		response.finishReason = finishLength
		return nil
	}
	response.finishReason = ""
	if errors.Is(err, io.EOF) {
		err = errors.New("stream ended without its end marker")
	}
	return s.brokenStream(err)
}

func (s *stream) brokenStream(err error) *failure.Error {
	name := s.attempt.lease.Endpoint.Name
	return failure.Wrap(failure.EndpointFailed, "read answer", name, err).WithRan(failure.RanYes).WithRetry(time.Second)
}

// take passes one chunk on, if it belongs to this attempt and is new.
func (s *stream) handleChunk(data []byte) *failure.Error {
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return s.brokenStream(fmt.Errorf("decode chunk: %w", err))
	}
	if chunk.ID != engine.ResponseIDPrefix+s.attempt.id {
		s.attempt.run.dispatcher.metrics.foreignPieces.Inc()
		s.attempt.record(event.AnswerDropped, "a piece had another attempt's id")
		return nil
	}
	s.attempt.stallTimer.chunkReceived()
	piece, finish := parseChunk(chunk)
	if f := s.countTokens(chunk.Usage, &piece); f != nil {
		return f
	}
	if piece.Text != "" {
		if f := s.forward(piece); f != nil {
			return f
		}
	}
	if finish != "" {
		s.attempt.run.response.finishReason = finish
	}
	return nil
}

// read returns the text and the finish reason of a chunk.
func parseChunk(chunk engine.Chunk) (work.Piece, string) {
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
func (s *stream) countTokens(usage *engine.Usage, piece *work.Piece) *failure.Error {
	if usage == nil {
		piece.Tokens = 1 // an engine without counts sends a token a piece
		return nil
	}
	response := &s.attempt.run.response
	if response.promptTokens == 0 {
		response.promptTokens = max(usage.PromptTokens-response.tokens, 0)
	}
	added := usage.CompletionTokens - s.generatedTokens
	switch {
	case added > s.attempt.run.dispatcher.settings.MaxChunkTokens:
		s.attempt.run.dispatcher.metrics.missingPieces.Inc()
		return s.brokenStream(fmt.Errorf("the count of tokens jumps from %d to %d", s.generatedTokens, usage.CompletionTokens))
	case added <= 0 && piece.Text != "":
		s.attempt.run.dispatcher.metrics.repeatedPieces.Inc()
		s.attempt.record(event.AnswerDropped, "a piece came twice")
		piece.Text = ""
		return nil
	}
	piece.Tokens = max(added, 0)
	s.generatedTokens = max(s.generatedTokens, usage.CompletionTokens)
	return nil
}

// pass passes a piece on and measures the stream's speed. The time that the
// caller takes for the piece does not count against the endpoint.
func (s *stream) forward(piece work.Piece) *failure.Error {
	now := time.Now()
	s.measure(now, piece.Tokens)
	if err := s.attempt.run.response.forward(piece); err != nil {
		return failure.Wrap(failure.Canceled, "pass answer on", "caller", err).WithRan(failure.RanYes)
	}
	s.attempt.stallTimer.chunkReceived()
	s.lastMeasured = s.lastMeasured.Add(time.Since(now))
	if s.shouldMove() {
		s.retryTaken = true
		return s.brokenStream(errTooSlow)
	}
	return nil
}

// errTooSlow ends an attempt whose answer goes on elsewhere.
var errTooSlow = errors.New("the endpoint is too slow for the answer to be on time")

// late reports whether the answer will be late here and can be on time at an
// endpoint of the pool's usual speed. If so, it has taken a retry.
func (s *stream) shouldMove() bool {
	run, meanGap := s.attempt.run, s.meanGap
	s.meanGap = 0 // decided until the next measurement
	if meanGap == 0 || run.attempts >= run.dispatcher.settings.MaxAttempts {
		return false
	}
	g := run.response.generation
	times := s.attempt.lease.PoolLatencies()
	remainingTokens := g.MaxTokens - run.response.tokens
	timeHere := time.Duration(remainingTokens) * meanGap
	timeElsewhere := times.FirstToken + time.Duration(remainingTokens)*times.Gap
	timeToDeadline := time.Until(g.Deadline)
	if timeHere <= timeToDeadline || timeElsewhere > timeToDeadline || timeHere < 2*timeElsewhere {
		return false
	}
	return run.response.resumable() && run.dispatcher.deps.Router.HasAlternative(g, run.tried, s.attempt.lease.Endpoint.Name) &&
		s.attempt.lease.TakeRetry()
}

// measure reports the time to the first token, and the mean gap at
// intervals.
func (s *stream) measure(now time.Time, tokens int64) {
	if !s.started {
		s.started, s.lastMeasured = true, now
		s.attempt.lease.ObserveFirstToken(now.Sub(s.attempt.started))
		return
	}
	s.tokensSinceMeasured += tokens
	if s.tokensSinceMeasured >= gapSampleTokens || s.tokensSinceMeasured > 1 && now.Sub(s.lastMeasured) >= gapSampleTime {
		s.meanGap = now.Sub(s.lastMeasured) / time.Duration(s.tokensSinceMeasured)
		s.attempt.lease.ObserveGap(s.meanGap)
		s.lastMeasured, s.tokensSinceMeasured = now, 0
	}
}
