// Package work defines the requests and answers that pass between the duties
// of a router: from the caller API through routing to an endpoint and back.
package work

import (
	"context"
	"net/http"
	"time"
)

// Priority orders work in a queue; higher goes first.
type Priority int

// The priorities that callers can ask for.
const (
	PriorityBatch  Priority = 0
	PriorityNormal Priority = 1
	PriorityUrgent Priority = 2
)

// ParsePriority reads the caller's priority header; an empty one is normal.
func ParsePriority(s string) (Priority, bool) {
	switch s {
	case "", "normal":
		return PriorityNormal, true
	case "batch":
		return PriorityBatch, true
	case "urgent":
		return PriorityUrgent, true
	}
	return 0, false
}

// String returns the name that ParsePriority reads.
func (p Priority) String() string {
	switch p {
	case PriorityBatch:
		return "batch"
	case PriorityUrgent:
		return "urgent"
	}
	return "normal"
}

// Source says on whose behalf work is done.
type RequestInfo struct {
	// RequestID is unique for each request that a router receives.
	RequestID string
	// Workspace and Budget name who pays.
	Workspace string
	Budget    string
	// Key is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Deadline is when the answer must be complete.
	Deadline time.Time
	Priority Priority
}

// Generation is a chat completion to run on a model engine.
type Generation struct {
	RequestInfo
	Model string
	// Messages is the JSON array of chat messages, as the caller sent it.
	Messages []byte
	// Options holds the other fields of the caller's request, such as
	// temperature, as a JSON object that is passed on unchanged.
	Options []byte
	// MaxTokens bounds the tokens generated; always set.
	MaxTokens int64
	// PromptBound is an upper bound of the prompt's tokens.
	MaxPromptTokens int64
	// Prefixes are hashes of the prompt's prefixes, shortest first, one per
	// prefix block.
	PrefixBlocks []uint64
	// Digest identifies the content of the request, for idempotency keys.
	Digest string
}

// Usage is the tokens that an answer used.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Piece is a part of an answer.
type Piece struct {
	// Text is appended to the answer.
	Text string
	// Tokens is the number of tokens in Text.
	Tokens int64
}

// Sink receives the pieces of an answer in order, each once. An error stops
// the generation: the caller has gone.
type Sink func(Piece) error

// Outcome is a complete generation.
type Outcome struct {
	FinishReason string
	Usage        Usage
	// Attempts counts the endpoints that were asked.
	Attempts int
	// Endpoint names the endpoint that ended the answer.
	Endpoint string
}

// Generator runs generations. On an error, the failure's Ran says whether any
// endpoint ran the work, and Outcome.Usage holds what is known to have been
// used.
type Generator interface {
	Generate(ctx context.Context, g *Generation, sink Sink) (Outcome, error)
}

// Call is a request to a plain service.
type Call struct {
	RequestInfo
	Service string
	Method  string
	// Path is the path below the service, with its leading slash, and Query
	// the raw query.
	Path  string
	Query string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
	// Idempotent is true if the call may be sent more than once.
	Idempotent bool
	// Digest identifies the content of the call.
	Digest string
}

// Answer is a plain service's whole answer.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed is true if the answer was stored by an earlier call.
	Replayed bool   `json:"-"`
	Endpoint string `json:"endpoint,omitempty"`
}

// Caller runs calls to plain services. A call that is not idempotent runs at
// most once.
type CallRunner interface {
	Call(ctx context.Context, c *Call) (*Response, error)
}
