// Package engine defines the protocol between routers and model engines: the chat
// completions API that is common to model servers, with extensions for request ids,
// priorities, resumption and usage in each chunk, and with paths for load reports,
// prefix cache events and orders. Plain services serve load reports and orders, too.
package engine

import (
	"encoding/json"
	"time"
)

// Paths that an engine serves.
const (
	PathChat        = "/v1/chat/completions"
	PathModels      = "/v1/models"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache_events"
	PathOrders      = "/v1/orders"
)

// RequestIDHeader is the request header that carries the id of the attempt.
const RequestIDHeader = "X-Request-Id"

// ResponseIDPrefix precedes the id of the attempt in the id of each chunk.
const ResponseIDPrefix = "chatcmpl-"

// BlockTokens is the number of prompt tokens that count as one block of the prefix
// cache.
const BlockTokens = 16

// Message is one chat message. Content is a string or a list of content parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// StreamOptions selects what the chunks of a stream carry besides text.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// ContinuousUsage puts the usage up to this point on every chunk.
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

// ChatRequest is the body of a request to PathChat.
type ChatRequest struct {
	Model         string         `json:"model"`
	Messages      []Message      `json:"messages"`
	MaxTokens     int64          `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// Priority orders the requests that wait at the engine; lower values are
	// admitted first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage makes the engine continue the final message, which is
	// the assistant's, instead of starting a new one. Routers use it to resume a
	// response at another engine.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
	// AddGenerationPrompt makes the engine start a new assistant message. It is
	// false if ContinueFinalMessage is true.
	AddGenerationPrompt bool `json:"add_generation_prompt"`
}

// Usage is the number of tokens of a request and its response.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Delta is the text that a chunk adds, or the message of a complete response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one alternative of a response. Routers request a single one. A chunk of a
// stream has a Delta, a complete response a Message.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Message      *Delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a stream, or a complete response that is not streamed.
// Created is in seconds since 1970.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Values of Chunk.Object, and the data of the last event of a complete stream.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
	StreamEndMarker  = "[DONE]"
)

// ErrorDetail says why an engine refused a request.
type ErrorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code,omitempty"`
}

// ErrorBody is the body of a response with an error status.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// Model describes one model that an engine serves.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object,omitempty"`
	Created int64  `json:"created,omitempty"`
	OwnedBy string `json:"owned_by,omitempty"`
}

// ModelList is the response to PathModels.
type ModelList struct {
	Object string  `json:"object,omitempty"`
	Data   []Model `json:"data"`
}

// Load is the response to PathLoad: an endpoint's report of its load. Running and
// Waiting are numbers of requests. Slots is the number of requests that the endpoint
// can run at once, or 0 if it does not report one.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Leaving is true if the endpoint asks for no new requests.
	Leaving bool `json:"leaving"`
	// ReportedAt increases from report to report. Routers read reports without it over
	// a new connection each time.
	ReportedAt time.Time `json:"at"`
}

// CacheEvent reports that a prefix block was stored in the engine's cache or, if
// Stored is false, evicted from it. Block is a hash of PrefixBlocks.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is the response to PathCacheEvents. Sequence numbers may be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// LastSeq is the sequence number of the newest event, even if that is not
	// listed. The next request passes it as the parameter since.
	LastSeq int64 `json:"last"`
}

// OrderKind is what an order asks an endpoint to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// DrainCancel is the target of an OrderDrain that cancels an earlier one.
const DrainCancel = "cancel"

// Order asks an endpoint to load something, to change its role or to drain. It is the
// body of a request to PathOrders. An endpoint carries out each ID once.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Target is the model, adapter, version or role, as Kind says.
	Target string `json:"target"`
	// Fencing is the fencing number of the lease under which the order was sent.
	// Endpoints that check fencing refuse an order with an older number.
	Fencing int64 `json:"fencing"`
	// Holder is the router that holds the lease.
	Holder string `json:"holder,omitempty"`
}

// OrderResult is the response to PathOrders.
type OrderResult struct {
	Accepted bool `json:"accepted"`
	// Fencing is the highest fencing number that the endpoint has accepted.
	Fencing int64  `json:"fencing"`
	Message string `json:"message,omitempty"`
}
