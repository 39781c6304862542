package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/work"
)

// messageOverhead bounds the tokens that frame one message of a prompt.
const messageOverhead = 16

// maxMessages bounds the messages of one prompt.
const maxMessages = 4096

// chatRequest is a decoded body of a chat completion.
type chatRequest struct {
	generation work.Generation
	stream     bool
	// includeUsage asks for the usage chunk at the end of a stream.
	includeUsage bool
}

// chatFields are the fields that the router reads; all others are options
// that pass on to the engine.
type chatFields struct {
	Model               string                `json:"model"`
	Messages            []engine.Message      `json:"messages"`
	MaxTokens           *int64                `json:"max_tokens"`
	MaxCompletionTokens *int64                `json:"max_completion_tokens"`
	Stream              bool                  `json:"stream"`
	StreamOptions       *engine.StreamOptions `json:"stream_options"`
	N                   *int64                `json:"n"`
}

// routerFields are removed from the options that pass on to the engine:
// the router sets them, or they would change what it checks.
var routerFields = []string{
	"model", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n",
	"priority", "continue_final_message", "add_generation_prompt", "request_id",
}

// refusedFields make an engine read or generate more than the router can
// bound, or answer with more than text, which the router does not pass on.
var refusedFields = []string{
	"best_of", "use_beam_search", "chat_template",
	"tools", "functions", "logprobs", "top_logprobs", "audio", "modalities",
}

// checkOptions refuses fields that would get past the router's bounds: some
// servers match field names without regard to case.
func checkOptions(options map[string]json.RawMessage) error {
	for name, value := range options {
		lower := strings.ToLower(name)
		if slices.Contains(refusedFields, lower) && string(value) != "null" {
			return badField(name, "is not served")
		}
		if name != lower && slices.Contains(routerFields, lower) {
			return badField(name, "write it as "+lower)
		}
	}
	return nil
}

// decodeChat reads and checks the body of a chat completion.
func (s Settings) decodeChat(body []byte) (*chatRequest, error) {
	var fields chatFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badField("", "the body is no chat completion request: "+err.Error())
	}
	options := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &options); err != nil {
		return nil, badField("", "the body is no JSON object: "+err.Error())
	}
	if err := checkOptions(options); err != nil {
		return nil, err
	}
	if err := s.checkChat(&fields); err != nil {
		return nil, err
	}
	messages := options["messages"]
	maps.DeleteFunc(options, func(name string, _ json.RawMessage) bool { return slices.Contains(routerFields, name) })
	passed, err := json.Marshal(options)
	if err != nil {
		return nil, badField("", err.Error())
	}
	digest := sha256.Sum256(body)
	return &chatRequest{
		generation: work.Generation{
			Model:           fields.Model,
			Messages:        messages,
			Options:         passed,
			MaxTokens:       s.answerTokens(&fields),
			MaxPromptTokens: s.promptBound(len(messages)+len(passed), len(fields.Messages)),
			PrefixBlocks:    engine.PrefixBlocks(fields.Model, engine.PromptBytes(fields.Messages), engine.BlockBytes, engine.MaxBlocks),
			Digest:          hex.EncodeToString(digest[:]),
		},
		stream:       fields.Stream,
		includeUsage: true,
	}, nil
}

// badField returns the refusal of a wrong field.
func badField(field, message string) error {
	if field != "" {
		message = field + ": " + message
	}
	return failure.New(failure.BadRequest, "decode request", "", message)
}

// checkChat checks the fields of a request.
func (s Settings) checkChat(f *chatFields) error {
	if f.Model == "" {
		return badField("model", "name a model; GET /v1/models lists them")
	}
	if len(f.Messages) == 0 || len(f.Messages) > maxMessages {
		return badField("messages", fmt.Sprintf("send 1 to %d messages", maxMessages))
	}
	for i, m := range f.Messages {
		if err := checkMessage(m); err != nil {
			return badField(fmt.Sprintf("messages[%d]", i), err.Error())
		}
	}
	if f.MaxTokens != nil && f.MaxCompletionTokens != nil && *f.MaxTokens != *f.MaxCompletionTokens {
		return badField("max_completion_tokens", "max_tokens says otherwise; send one of them")
	}
	if tokens := s.answerTokens(f); tokens <= 0 || tokens > s.MaxTokens {
		return badField("max_tokens", fmt.Sprintf("%d is not from 1 to %d", tokens, s.MaxTokens))
	}
	if f.N != nil && *f.N != 1 {
		return badField("n", "only one choice is served")
	}
	return nil
}

// checkMessage requires a role and content that is text.
func checkMessage(m engine.Message) error {
	if m.Role == "" {
		return fmt.Errorf("role is missing")
	}
	content := bytes.TrimSpace(m.Content)
	if len(content) == 0 || string(content) == "null" {
		return nil // an assistant's message that only calls tools
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal(content, &parts); err != nil {
		return fmt.Errorf("content must be a string or a list of parts")
	}
	for i, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content[%d]: parts of type %q are not served", i, part.Type)
		}
	}
	return nil
}

// answerTokens returns the longest answer that the request allows.
func (s Settings) answerTokens(f *chatFields) int64 {
	switch {
	case f.MaxCompletionTokens != nil:
		return *f.MaxCompletionTokens
	case f.MaxTokens != nil:
		return *f.MaxTokens
	}
	return s.DefaultMaxTokens
}

// promptBound bounds the prompt's tokens from its size.
func (s Settings) promptBound(size, messages int) int64 {
	return int64(size)/s.PromptBytesPerToken + int64(messages*messageOverhead)
}
