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
	"daisyslip.dev/daisyslip/internal/requests"
)

// messageOverheadTokens is an upper bound on the number of tokens that an engine's
// chat template adds around one message of a prompt.
const messageOverheadTokens = 16

// maxMessages is the largest number of messages in one prompt.
const maxMessages = 4096

// chatRequest is the decoded and checked body of a chat completion request.
type chatRequest struct {
	generation requests.Generation
	stream     bool
	// includeUsage is true if a stream ends with a usage chunk.
	includeUsage bool
}

// chatFields are the fields that the router reads; all others are options that
// are forwarded to the engine.
type chatFields struct {
	Model               string                `json:"model"`
	Messages            []engine.Message      `json:"messages"`
	MaxTokens           *int64                `json:"max_tokens"`
	MaxCompletionTokens *int64                `json:"max_completion_tokens"`
	Stream              bool                  `json:"stream"`
	StreamOptions       *engine.StreamOptions `json:"stream_options"`
	N                   *int64                `json:"n"`
}

// routerControlledFields are removed from the options that are forwarded to the
// engine: the router sets them itself, or they would bypass its checks.
var routerControlledFields = []string{
	"model", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n",
	"priority", "continue_final_message", "add_generation_prompt", "request_id",
}

// unsupportedFields are refused: they make an engine read or generate more than
// the router can bound, or respond with more than text, which the router does not
// forward.
var unsupportedFields = []string{
	"best_of", "use_beam_search", "chat_template",
	"tools", "functions", "logprobs", "top_logprobs", "audio", "modalities",
}

// checkOptions refuses fields that would bypass the router's bounds. It ignores
// case, because some servers match field names regardless of case.
func checkOptions(options map[string]json.RawMessage) error {
	for name, value := range options {
		lower := strings.ToLower(name)
		if slices.Contains(unsupportedFields, lower) && string(value) != "null" {
			return badField(name, "is not served")
		}
		if name != lower && slices.Contains(routerControlledFields, lower) {
			return badField(name, "write it as "+lower)
		}
	}
	return nil
}

// decodeChat decodes and checks the body of a chat completion request. Every error
// is a *failure.Error with the code BadRequest.
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
	maps.DeleteFunc(options, func(name string, _ json.RawMessage) bool { return slices.Contains(routerControlledFields, name) })
	forwarded, err := json.Marshal(options)
	if err != nil {
		return nil, badField("", err.Error())
	}
	digest := sha256.Sum256(body)
	return &chatRequest{
		generation: requests.Generation{
			Model:           fields.Model,
			Messages:        messages,
			Options:         forwarded,
			MaxTokens:       s.maxResponseTokens(&fields),
			MaxPromptTokens: s.maxPromptTokens(len(messages)+len(forwarded), len(fields.Messages)),
			PrefixBlocks:    engine.PrefixBlocks(fields.Model, engine.PromptBytes(fields.Messages), engine.BlockBytes, engine.MaxBlocks),
			Digest:          hex.EncodeToString(digest[:]),
		},
		stream:       fields.Stream,
		includeUsage: true,
	}, nil
}

// badField returns the failure for an invalid field; an empty field stands for the
// whole body.
func badField(field, message string) error {
	if field != "" {
		message = field + ": " + message
	}
	return failure.New(failure.BadRequest, "decode request", "", message)
}

// checkChat checks the fields that the router reads.
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
	if tokens := s.maxResponseTokens(f); tokens <= 0 || tokens > s.MaxTokens {
		return badField("max_tokens", fmt.Sprintf("%d is not from 1 to %d", tokens, s.MaxTokens))
	}
	if f.N != nil && *f.N != 1 {
		return badField("n", "only one choice is served")
	}
	return nil
}

// checkMessage requires a role and, if there is content, that it is text.
func checkMessage(m engine.Message) error {
	if m.Role == "" {
		return fmt.Errorf("role is missing")
	}
	content := bytes.TrimSpace(m.Content)
	if len(content) == 0 || string(content) == "null" {
		return nil // an assistant message with only tool calls has no content
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

// maxResponseTokens returns the largest number of tokens that the request allows to
// be generated, or DefaultMaxTokens if it sets no limit.
func (s Settings) maxResponseTokens(f *chatFields) int64 {
	switch {
	case f.MaxCompletionTokens != nil:
		return *f.MaxCompletionTokens
	case f.MaxTokens != nil:
		return *f.MaxTokens
	}
	return s.DefaultMaxTokens
}

// maxPromptTokens returns an upper bound on the number of tokens in the prompt, given
// its size in bytes and its number of messages.
func (s Settings) maxPromptTokens(size, messages int) int64 {
	return int64(size)/s.PromptBytesPerToken + int64(messages*messageOverheadTokens)
}
