// Package engine defines the protocol of model engines as routers use it: the
// chat completions API that is common to model servers, with the usual
// extensions for request ids, priorities, resumption and usage per chunk.
package engine

import (
	"encoding/json"
	"time"
)

// The paths of an engine.
const (
	PathChat        = "/v1/chat/completions"
	PathModels      = "/v1/models"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache_events"
	PathOrders      = "/v1/orders"
)

// RequestIDHeader carries the attempt's id to the engine.
const RequestIDHeader = "X-Request-Id"

// ResponseIDPrefix stands before the attempt's id in the id of each chunk.
const ResponseIDPrefix = "chatcmpl-"

// BlockTokens is the number of prompt tokens in a block of the prefix cache.
const BlockTokens = 16

// Message is one chat message.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// StreamOptions selects what a stream carries besides text.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// ContinuousUsage puts the usage so far on every chunk.
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

// ChatRequest is the body of PathChat.
type ChatRequest struct {
	Model         string         `json:"model"`
	Messages      []Message      `json:"messages"`
	MaxTokens     int64          `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// Priority orders waiting requests; lower goes first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage makes the engine go on where the final message,
	// which is the assistant's, ends.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
	AddGenerationPrompt  bool `json:"add_generation_prompt"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Delta is the new text of a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one alternative of an answer; routers ask for one.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Message      *Delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a stream, or a whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// The object names of answers, and the end marker of a stream.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
	StreamEndMarker  = "[DONE]"
)

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code,omitempty"`
}

// ErrorBody is the body of an engine's refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// Model is an entry of ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object,omitempty"`
	Created int64  `json:"created,omitempty"`
	OwnedBy string `json:"owned_by,omitempty"`
}

// ModelList is the answer to PathModels.
type ModelList struct {
	Object string  `json:"object,omitempty"`
	Data   []Model `json:"data"`
}

// Load is an endpoint's report of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Leaving is true if the endpoint wants no new work.
	Leaving    bool      `json:"leaving"`
	ReportedAt time.Time `json:"at"`
}

// CacheEvent says that a prefix block entered or left the engine's cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is the answer to PathCacheEvents. Numbers may be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Last is the newest event's number, also if it is not listed.
	LastSeq int64 `json:"last"`
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// DrainCancel is the target of an OrderDrain that ends an earlier one.
const DrainCancel = "cancel"

// Order asks an endpoint to change.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Target is the model, adapter, version or role.
	Target string `json:"target"`
	// Fencing is the number of the lease under which the order is given.
	Fencing int64 `json:"fencing"`
	// Holder names the router that holds the lease.
	Holder string `json:"holder,omitempty"`
}

// OrderResult is the answer to PathOrders.
type OrderResult struct {
	Accepted bool `json:"accepted"`
	// Fencing is the highest number that the endpoint has seen.
	Fencing int64  `json:"fencing"`
	Message string `json:"message,omitempty"`
}
