package caller_test

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/dev"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/standin"
)

// startFleet starts a development fleet with one router, whose workspace has the
// given number of tokens. The test closes it at its end.
func startFleet(t *testing.T, tokens int64) *dev.Fleet {
	t.Helper()
	options := dev.DefaultOptions()
	options.Routers, options.BudgetTokens = 1, tokens
	fleet, err := dev.Start(t.Context(), options, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, fleet.Close()) })
	return fleet
}

// newOpenAIClient returns the official OpenAI client, configured for the fleet's
// first router and without retries.
func newOpenAIClient(fleet *dev.Fleet, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(fleet.Info().Routers[0]+"/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

// chatParams returns the parameters of a completion with one user message.
func chatParams(prompt string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     dev.ModelName,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	}
}

// wantCompletion returns the text that the stand-in engines generate for a prompt.
func wantCompletion(t *testing.T, prompt string, maxTokens int) string {
	t.Helper()
	content, err := json.Marshal(prompt)
	assert.NilError(t, err)
	return standin.ResponseText([]engine.Message{{Role: "user", Content: content}}, maxTokens)
}

// TestOpenAIClientNonStreaming guards against a response of one JSON object that the
// official client cannot read, or that lacks a part of the text or the usage.
func TestOpenAIClientNonStreaming(t *testing.T) {
	client := newOpenAIClient(startFleet(t, 100_000), dev.WorkspaceKey)
	completion, err := client.Chat.Completions.New(t.Context(), chatParams("How is bin 4?", 40))
	assert.NilError(t, err)
	want := wantCompletion(t, "How is bin 4?", 40)
	assert.Equal(t, completion.Choices[0].Message.Content, want)
	assert.Equal(t, completion.Usage.CompletionTokens, int64(len(strings.Fields(want))))
	assert.Assert(t, completion.Usage.PromptTokens > 0)
}

// TestOpenAIClientStreaming guards against a stream whose chunks the official client
// cannot put together, or that lacks the finish reason or the usage.
func TestOpenAIClientStreaming(t *testing.T) {
	client := newOpenAIClient(startFleet(t, 100_000), dev.WorkspaceKey)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("Draft the rota.", 60))
	var accumulator openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, accumulator.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, accumulator.Choices[0].Message.Content, wantCompletion(t, "Draft the rota.", 60))
	assert.Assert(t, accumulator.Choices[0].FinishReason != "")
	assert.Assert(t, accumulator.Usage.TotalTokens > 0)
}

// TestOpenAIClientModels guards against model endpoints of the API that the official
// client cannot read.
func TestOpenAIClientModels(t *testing.T) {
	client := newOpenAIClient(startFleet(t, 1000), dev.WorkspaceKey)
	page, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(page.Data), 1)
	assert.Equal(t, page.Data[0].ID, dev.ModelName)
	model, err := client.Models.Get(t.Context(), dev.ModelName)
	assert.NilError(t, err)
	assert.Equal(t, model.ID, dev.ModelName)
}

// TestOpenAIClientRefusals guards against refusals whose status, code or message the
// official client cannot read, and against refused requests that reach an engine.
func TestOpenAIClientRefusals(t *testing.T) {
	fleet := startFleet(t, 500)
	cases := []struct {
		name   string
		key    string
		model  string
		tokens int64
		status int
		code   string
	}{
		{"unknown key", "wrong", dev.ModelName, 5, 401, "unauthorized"},
		{"unknown model", dev.WorkspaceKey, "no-such-model", 5, 404, "not_found"},
		{"budget too small", dev.WorkspaceKey, dev.ModelName, 600, 402, "budget_exhausted"},
		{"maximum negative", dev.WorkspaceKey, dev.ModelName, -1, 400, "bad_request"},
		{"maximum huge", dev.WorkspaceKey, dev.ModelName, 1 << 40, 400, "bad_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newOpenAIClient(fleet, c.key)
			params := chatParams("Hello", c.tokens)
			params.Model = c.model
			_, err := client.Chat.Completions.New(t.Context(), params)
			var refusal *openai.Error
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.StatusCode, c.status)
			assert.Equal(t, refusal.Code, c.code)
			assert.Equal(t, refusal.Response.Header.Get("Daisyslip-Ran"), "no")
			assert.Assert(t, refusal.Message != "")
		})
	}
	for _, e := range fleet.Engines {
		assert.Equal(t, len(e.Records()), 0)
	}
}
