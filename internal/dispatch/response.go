package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/requests"
)

// response tracks the part of a generation's response that has been forwarded to
// the caller, over all attempts. Its fields change only in the goroutine that reads
// the stream.
type response struct {
	generation *requests.Generation
	sink       requests.Sink

	text         strings.Builder
	tokens       int64 // number of tokens in text
	promptTokens int64 // tokens of the prompt as counted by an engine; 0 if not counted yet
	finishReason string
}

// unresumableOptions are the options under which an engine cannot continue a
// response from its text alone: the engine keeps other state as well, or its
// response holds more than text.
var unresumableOptions = []string{
	"tools", "functions", "response_format", "logprobs",
	"guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs",
}

// usage returns the tokens used: the prompt once and each forwarded token once. If
// no engine has counted the prompt of a response that has started, the prompt's
// upper bound is used, so that a prompt is never free of charge.
func (r *response) usage() requests.Usage {
	prompt := r.promptTokens
	if prompt == 0 && r.tokens > 0 {
		prompt = r.generation.MaxPromptTokens
	}
	return requests.Usage{PromptTokens: prompt, CompletionTokens: r.tokens, TotalTokens: prompt + r.tokens}
}

// forward sends a piece to the caller and, if that succeeds, counts it.
func (r *response) forward(p requests.Piece) error {
	if err := r.sink(p); err != nil {
		return err
	}
	r.text.WriteString(p.Text)
	r.tokens += p.Tokens
	return nil
}

// started reports whether any text has been forwarded to the caller.
func (r *response) started() bool { return r.text.Len() > 0 }

// reachedMaxTokens reports whether the caller has received as many tokens as it
// requested at most.
func (r *response) reachedMaxTokens() bool { return r.tokens >= r.generation.MaxTokens }

// resumable reports whether another endpoint can resume the response after it has
// started.
func (r *response) resumable() bool {
	var options map[string]json.RawMessage
	if json.Unmarshal(r.generation.Options, &options) != nil {
		return len(r.generation.Options) == 0
	}
	for _, name := range unresumableOptions {
		if value, found := options[name]; found && string(value) != "null" && string(value) != "false" {
			return false
		}
	}
	return true
}

// requestBody encodes the request to the engine: the caller's options and the
// fields that the router sets itself. If the response has started, its text is
// sent as the final message, which the engine continues.
func (r *response) requestBody() ([]byte, error) {
	fields := make(map[string]any)
	if len(r.generation.Options) > 0 {
		if err := json.Unmarshal(r.generation.Options, &fields); err != nil {
			return nil, fmt.Errorf("decode options: %w", err)
		}
	}
	messages, err := r.messages()
	if err != nil {
		return nil, err
	}
	fields["model"] = r.generation.Model
	fields["messages"] = messages
	fields["max_tokens"] = r.generation.MaxTokens - r.tokens
	fields["stream"] = true
	fields["stream_options"] = engine.StreamOptions{IncludeUsage: true, ContinuousUsage: true}
	fields["priority"] = -int(r.generation.Priority)
	if r.started() {
		fields["continue_final_message"] = true
		fields["add_generation_prompt"] = false
	}
	return json.Marshal(fields)
}

// messages returns the caller's messages, followed by the partial response as an
// assistant message if the response has started.
func (r *response) messages() (json.RawMessage, error) {
	if !r.started() {
		return r.generation.Messages, nil
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(r.generation.Messages, &messages); err != nil {
		return nil, fmt.Errorf("decode messages: %w", err)
	}
	content, err := json.Marshal(r.text.String())
	if err != nil {
		return nil, fmt.Errorf("encode answer so far: %w", err)
	}
	partial, err := json.Marshal(engine.Message{Role: "assistant", Content: content})
	if err != nil {
		return nil, fmt.Errorf("encode answer so far: %w", err)
	}
	return json.Marshal(append(messages, partial))
}
