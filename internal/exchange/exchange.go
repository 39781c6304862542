// Package exchange holds what requests and answers say beside their bytes, in
// the terms of the product, and the codec that reads and writes it. Codecs
// belong to a platform.
package exchange

import (
	"net/http"
	"time"
)

// Part is one part of a prompt, in the order of the prompt.
type Segment struct {
	// ID identifies the part's text.
	ID string
	// Tokens is the length of the part.
	Tokens int64
}

// Generation describes a request to a model engine.
type Generation struct {
	Model string
	// PromptTokens is the length of the prompt, and MaxOutputTokens the most
	// that the answer may have.
	PromptTokens    int64
	MaxOutputTokens int64
	// Parts are the parts of the prompt; the last belongs to this request or
	// its session, the ones before it are shared.
	Segments []Segment
}

// MostTokens is the most that the request can consume.
func (g Generation) MaxTokens() int64 { return g.PromptTokens + g.MaxOutputTokens }

// Request is what a caller says of its request.
type Request struct {
	// ID is unique to this attempt of the caller.
	ID string
	// Key is the caller's API key; empty if none was sent.
	Key string
	// Patience is how long the caller waits, from its sending; 0 if unsaid.
	Timeout time.Duration
	// Generation is nil for requests to plain services.
	Generation *Generation
	// ResumeAfter is the id of the last event that the caller has of a stream
	// that it resumes; empty otherwise.
	ResumeAfter string
}

// Forward is what the router says to the endpoint.
type Forward struct {
	// Left is how much longer the caller waits.
	Remaining time.Duration
	// Endpoint is the instance that the request is meant for.
	Endpoint string
	// Workspace is the holder of the caller's key; empty on public routes.
	Workspace string
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// Load is what an endpoint says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what an endpoint says of its answer.
type Response struct {
	// ID is that of the request which is answered.
	ID string
	// Signed says that the endpoint's signature is there.
	Signed bool
	// NotRun says that the endpoint did not and will not run the request.
	NotExecuted bool
	// OtherInstance says that the address belongs to another endpoint.
	WrongInstance bool
	// Load is nil if the endpoint does not tell.
	Load *Load
}

// Codec reads and writes headers.
type Codec interface {
	// DecodeRequest reads a caller's headers. The error says which is wrong.
	DecodeRequest(h http.Header) (Request, error)
	// ForwardHeader returns the headers for an endpoint: the caller's, without
	// those of one connection and those that only the router may set, and
	// what f says.
	ForwardHeader(caller http.Header, f Forward) http.Header
	// DecodeAnswer reads an endpoint's headers.
	DecodeResponse(status int, h http.Header) Response
	// AnswerHeader returns an endpoint's headers without those of one
	// connection.
	ResponseHeader(h http.Header) http.Header
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID names the request in an answer of the router's own.
	SetRequestID(h http.Header, id string)
}
