// Package exchange defines the metadata that requests and responses carry in
// their headers, in terms of the router, and the Codec that reads and writes these
// headers. Each platform implements its own Codec.
package exchange

import (
	"net/http"
	"time"
)

// Segment is a contiguous part of a prompt.
type Segment struct {
	// ID identifies the text of the segment: equal ids stand for equal text.
	ID string
	// Tokens is the length of the segment.
	Tokens int64
}

// Generation describes a request to a model engine.
type Generation struct {
	Model string
	// PromptTokens is the length of the prompt, and MaxOutputTokens the maximum
	// length of the response.
	PromptTokens    int64
	MaxOutputTokens int64
	// OutputTokensHint is an estimate of the length of the response, or 0 without one.
	OutputTokensHint int64
	// Segments make up the prompt, in order. The last segment belongs to this
	// request or its session; the ones before it can occur in other prompts, too.
	Segments []Segment
}

// MaxTokens returns the most tokens that the request can consume.
func (g Generation) MaxTokens() int64 { return g.PromptTokens + g.MaxOutputTokens }

// SharedSegments returns the segments that can occur in other prompts, too: all but
// the last. It returns nil if g is nil.
func (g *Generation) SharedSegments() []Segment {
	if g == nil || len(g.Segments) == 0 {
		return nil
	}
	return g.Segments[:len(g.Segments)-1]
}

// Request is the metadata of a caller's request.
type Request struct {
	// ID is unique to this attempt of the caller: a retry by the caller has
	// another id.
	ID string
	// Key is the caller's API key; empty if none was sent.
	Key string
	// Timeout is how long the caller waits for the response, counted from when it
	// sent the request; 0 if the request does not state it.
	Timeout time.Duration
	// Generation is nil for requests to plain services.
	Generation *Generation
	// ResumeAfter is the id of the last event that the caller has received of a
	// stream that it resumes; empty for other requests.
	ResumeAfter string
}

// ForwardMetadata is the metadata that the router adds to a request that it
// forwards to an endpoint.
type ForwardMetadata struct {
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// Endpoint is the id of the endpoint that the request is meant for. Another
	// endpoint at the same address must not execute the request.
	Endpoint string
	// Workspace is the name of the workspace of the caller's key; empty on routes
	// that need no key.
	Workspace string
	// ResumeAfter is the id of the last event that the caller has received of a
	// stream that is to be resumed; empty otherwise.
	ResumeAfter string
}

// Load is the load that an endpoint reports in a response: numbers of requests
// that it executes, that wait at it, and that it can execute at once.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the endpoint's machine at this moment, in
	// percent of usual; 0 if the endpoint does not report it.
	Slowness float64
}

// Response is the metadata of an endpoint's response.
type Response struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// Signed is set if the response carries an endpoint's signature.
	Signed bool
	// NotExecuted is set if the endpoint did not and will not execute the request.
	NotExecuted bool
	// WrongInstance is set if another endpoint than the intended one received the
	// request, since it now has the address.
	WrongInstance bool
	// Leaving is set if the endpoint stops soon and wants no further requests.
	Leaving bool
	// Load is nil if the endpoint does not report its load, or an invalid one.
	Load *Load
	// InvalidLoad is the beginning of a reported load that is invalid, for logs; else
	// empty.
	InvalidLoad string
	// RefusedFor is how long the endpoint wants no further requests of this router, or 0
	// if it does not say so. Only refusals state it.
	RefusedFor time.Duration
	// ColdFor is how long the endpoint is still cold, or 0 if it does not say so.
	ColdFor time.Duration
	// RateLimit is the number of requests a second that the endpoint takes from all
	// routers together, or 0 if it states none.
	RateLimit float64
	// InvalidRateLimit is the stated limit if that is no limit, for logs; else empty.
	InvalidRateLimit string
}

// Codec reads and writes the headers that carry metadata. Implementations must be
// safe for concurrent use.
type Codec interface {
	// DecodeRequest reads the headers of a caller's request. The error names the
	// invalid header.
	DecodeRequest(h http.Header) (Request, error)
	// ForwardHeader returns the headers of a request to an endpoint: those of the
	// caller, without hop-by-hop headers and headers that only the router may
	// set, and those for f.
	ForwardHeader(caller http.Header, f ForwardMetadata) http.Header
	// DecodeResponse reads the status and headers of an endpoint's response.
	DecodeResponse(status int, h http.Header) Response
	// ResponseHeader returns the headers of an endpoint's response without
	// hop-by-hop headers.
	ResponseHeader(h http.Header) http.Header
	// SetRetryAfter sets the header that tells a caller after which delay to
	// retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID sets the header that names the request in a response that the
	// router itself creates.
	SetRequestID(h http.Header, id string)
}
