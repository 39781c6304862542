// Package requests defines the requests and responses that the components of a router
// exchange: from the caller API through routing to an endpoint, and back.
package requests

import (
	"context"
	"net/http"
	"time"
)

// Priority orders requests in a queue; a higher value goes first.
type Priority int

// The priorities that a caller can request.
const (
	PriorityBatch  Priority = 0
	PriorityNormal Priority = 1
	PriorityUrgent Priority = 2
)

// ParsePriority parses the value of the caller's priority header. An empty value is
// PriorityNormal; the result is false for an unknown value.
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

// String returns the name that ParsePriority accepts.
func (p Priority) String() string {
	switch p {
	case PriorityBatch:
		return "batch"
	case PriorityUrgent:
		return "urgent"
	}
	return "normal"
}

// RequestInfo identifies a caller's request, the budget that pays for it, its
// deadline and its priority.
type RequestInfo struct {
	// RequestID is a UUID assigned by the router that received the request.
	RequestID string
	// Workspace and Budget name the workspace that pays and its budget.
	Workspace string
	Budget    string
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	Priority Priority
}

// Generation is a request to generate a chat completion on a model engine.
type Generation struct {
	RequestInfo
	Model string
	// Messages is the JSON array of chat messages, as the caller sent it.
	Messages []byte
	// Options holds the other fields of the caller's request, such as
	// temperature, as a JSON object that is forwarded unchanged.
	Options []byte
	// MaxTokens is the maximum number of tokens to generate; it is always set.
	MaxTokens int64
	// MaxPromptTokens is an upper bound on the number of tokens in the prompt.
	MaxPromptTokens int64
	// PrefixBlocks holds one hash per block of the prompt, in order. Each hash
	// covers the whole prefix up to the end of its block.
	PrefixBlocks []uint64
	// Digest is the hex SHA-256 hash of the request's body. It detects the reuse
	// of an idempotency key for a different request.
	Digest string
}

// Usage is the number of tokens that a request used, in its prompt and in the
// generated response.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Piece is a part of a streamed response.
type Piece struct {
	// Text is appended to the response's text.
	Text string
	// Tokens is the number of tokens in Text.
	Tokens int64
}

// Sink receives the pieces of a response in order, each once. An error means that
// the caller has disconnected, and stops the generation.
type Sink func(Piece) error

// Outcome describes how a generation ended, whether it completed or failed.
type Outcome struct {
	FinishReason string
	Usage        Usage
	// Attempts is the number of attempts that were started.
	Attempts int
	// Endpoint names the endpoint of the last attempt.
	Endpoint string
}

// Generator executes generations. On an error, the failure's Ran states whether any
// endpoint executed the request, and Outcome.Usage holds the tokens that are known
// to have been used.
type Generator interface {
	Generate(ctx context.Context, g *Generation, sink Sink) (Outcome, error)
}

// Call is a request to a plain service.
type Call struct {
	RequestInfo
	Service string
	Method  string
	// Path is the escaped path below the service, with a leading slash, and
	// Query the raw query.
	Path  string
	Query string
	// Header holds the headers that are forwarded to the service.
	Header http.Header
	Body   []byte
	// Idempotent is true if the call may be sent more than once.
	Idempotent bool
	// Digest is a hash of the call's content. It detects the reuse of an
	// idempotency key for a different call.
	Digest string
}

// Response is a plain service's complete response. It is stored as JSON so that it
// can be replayed to a retry.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed is true if the response was stored by an earlier call under the
	// same idempotency key.
	Replayed bool   `json:"-"`
	Endpoint string `json:"endpoint,omitempty"`
}

// CallRunner executes calls to plain services. A call that is not idempotent is
// executed at most once.
type CallRunner interface {
	Call(ctx context.Context, c *Call) (*Response, error)
}
