package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/work"
)

// answer is what the caller has received of an answer over all attempts.
type answer struct {
	generation *work.Generation
	sink       work.Sink

	text   strings.Builder
	tokens int64 // in text
	prompt int64 // tokens of the prompt, once an engine has told
	finish string
}

// unresumable are the options under which an engine can't go on from text
// alone: it keeps state besides the text, or says more than the text.
var unresumable = []string{
	"tools", "functions", "response_format", "logprobs",
	"guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs",
}

// usage counts the prompt once and each token passed on once. The prompt of an
// answer whose engines did not count it is taken at its bound, so that it is
// never free.
func (a *answer) usage() work.Usage {
	prompt := a.prompt
	if prompt == 0 && a.tokens > 0 {
		prompt = a.generation.MaxPromptTokens
	}
	return work.Usage{PromptTokens: prompt, CompletionTokens: a.tokens, TotalTokens: prompt + a.tokens}
}

// pass passes a piece on to the caller.
func (a *answer) pass(p work.Piece) error {
	if err := a.sink(p); err != nil {
		return err
	}
	a.text.WriteString(p.Text)
	a.tokens += p.Tokens
	return nil
}

// begun reports whether the caller has received a piece.
func (a *answer) begun() bool { return a.text.Len() > 0 }

// full reports whether the caller has received all the tokens it asked for.
func (a *answer) full() bool { return a.tokens >= a.generation.MaxTokens }

// resumable reports whether another endpoint can go on with an answer that
// has begun.
func (a *answer) resumable() bool {
	var options map[string]json.RawMessage
	if json.Unmarshal(a.generation.Options, &options) != nil {
		return len(a.generation.Options) == 0
	}
	for _, name := range unresumable {
		if value, set := options[name]; set && string(value) != "null" && string(value) != "false" {
			return false
		}
	}
	return true
}

// body encodes the request to the engine: the caller's options, with the
// fields that the router sets on top. An answer that has begun is sent as the
// final message, for the engine to continue.
func (a *answer) body() ([]byte, error) {
	fields := make(map[string]any)
	if len(a.generation.Options) > 0 {
		if err := json.Unmarshal(a.generation.Options, &fields); err != nil {
			return nil, fmt.Errorf("decode options: %w", err)
		}
	}
	messages, err := a.messages()
	if err != nil {
		return nil, err
	}
	fields["model"] = a.generation.Model
	fields["messages"] = messages
	fields["max_tokens"] = a.generation.MaxTokens - a.tokens
	fields["stream"] = true
	fields["stream_options"] = engine.StreamOptions{IncludeUsage: true, ContinuousUsage: true}
	fields["priority"] = -int(a.generation.Priority)
	if a.begun() {
		fields["continue_final_message"] = true
		fields["add_generation_prompt"] = false
	}
	return json.Marshal(fields)
}

// messages returns the caller's messages, and the answer so far.
func (a *answer) messages() (json.RawMessage, error) {
	if !a.begun() {
		return a.generation.Messages, nil
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(a.generation.Messages, &messages); err != nil {
		return nil, fmt.Errorf("decode messages: %w", err)
	}
	content, err := json.Marshal(a.text.String())
	if err != nil {
		return nil, fmt.Errorf("encode answer so far: %w", err)
	}
	last, err := json.Marshal(engine.Message{Role: "assistant", Content: content})
	if err != nil {
		return nil, fmt.Errorf("encode answer so far: %w", err)
	}
	return json.Marshal(append(messages, last))
}
