package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/sse"
	"daisyslip.dev/daisyslip/internal/work"
)

// attempt is one try of a generation on one endpoint.
type attempt struct {
	id         string
	generation *work.Generation
	endpoint   catalog.Endpoint
	sink       work.Sink
	usage      work.Usage
}

// body encodes the request to the engine: the caller's options, with the
// fields that the router sets on top.
func (a *attempt) body() ([]byte, error) {
	fields := make(map[string]any)
	if len(a.generation.Options) > 0 {
		if err := json.Unmarshal(a.generation.Options, &fields); err != nil {
			return nil, fmt.Errorf("decode options: %w", err)
		}
	}
	fields["model"] = a.generation.Model
	fields["messages"] = json.RawMessage(a.generation.Messages)
	fields["max_tokens"] = a.generation.MaxTokens
	fields["stream"] = true
	fields["stream_options"] = engine.StreamOptions{IncludeUsage: true, ContinuousUsage: true}
	fields["priority"] = -int(a.generation.Priority)
	return json.Marshal(fields)
}

// read passes the pieces of the stream on until its end marker.
func (a *attempt) read(events *sse.Reader) (work.Outcome, error) {
	finish := ""
	for {
		data, err := events.Next()
		if err != nil {
			return work.Outcome{Usage: a.usage}, a.broken(err)
		}
		if string(data) == engine.EndOfStream {
			if finish == "" {
				return work.Outcome{Usage: a.usage}, a.broken(errors.New("end marker without finish reason"))
			}
			return work.Outcome{FinishReason: finish, Usage: a.usage}, nil
		}
		reason, err := a.take(data)
		if err != nil {
			return work.Outcome{Usage: a.usage}, err
		}
		if reason != "" {
			finish = reason
		}
	}
}

func (a *attempt) broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = errors.New("stream ended without its end marker")
	}
	return failure.Wrap(failure.EndpointFailed, "read answer", a.endpoint.Name, err).WithRan(failure.RanYes)
}

// take passes one chunk on, if it belongs to this attempt.
func (a *attempt) take(data []byte) (finish string, err error) {
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", a.broken(fmt.Errorf("decode chunk: %w", err))
	}
	if chunk.ID != engine.ResponseIDPrefix+a.id {
		return "", nil
	}
	tokens := int64(0)
	if chunk.Usage != nil {
		tokens = chunk.Usage.CompletionTokens - a.usage.CompletionTokens
		a.usage = work.Usage(*chunk.Usage)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		finish = *choice.FinishReason
	}
	if choice.Delta == nil || choice.Delta.Content == "" {
		return finish, nil
	}
	if err := a.sink(work.Piece{Text: choice.Delta.Content, Tokens: tokens}); err != nil {
		return "", failure.Wrap(failure.Canceled, "pass answer on", "caller", err).WithRan(failure.RanYes)
	}
	return finish, nil
}
