// Package platformhttp implements the client and the protocol of the platform's
// table service, object store and VM list: HTTP with JSON bodies.
package platformhttp

import "daisyslip.dev/daisyslip/coord/platform"

// Paths of the platform's services. The name of an object follows PathObjects, and
// its bytes are the body.
const (
	PathGet     = "/v1/table/get"
	PathRange   = "/v1/table/range"
	PathCommit  = "/v1/table/commit"
	PathOutcome = "/v1/table/outcome"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// ClientHeader is the request header with the name of the calling VM, for the
// platform's own records.
const ClientHeader = "Platform-Client"

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// RangeRequest is the body of PathRange: at most Limit rows with keys from From up
// to but not including To.
type RangeRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}

// RowsResponse is the response body of PathGet and PathRange.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}

// OutcomeRequest is the body of PathOutcome, which queries the outcome of the
// transaction with an operation id.
type OutcomeRequest struct {
	OpID string `json:"op_id"`
}

// OutcomeResponse is the response body of PathOutcome. Done reports whether the
// transaction was applied; Receipt is set only then.
type OutcomeResponse struct {
	Done    bool             `json:"done"`
	Receipt platform.Receipt `json:"receipt"`
}

// VMList is the response body of PathVMs.
type VMList struct {
	VMs []platform.VM `json:"vms"`
}

// ErrorBody is the body of every response with a status of 400 or above. Key is the
// key of the row that caused the error, if there is one.
type ErrorBody struct {
	Kind    platform.Kind `json:"kind"`
	Key     string        `json:"key,omitempty"`
	Message string        `json:"message,omitempty"`
}
