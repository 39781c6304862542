// Package platformhttp reaches the platform's table service, object store and
// VM list over HTTP with JSON bodies.
package platformhttp

import "daisyslip.dev/daisyslip/coord/platform"

// The paths of the platform's services.
const (
	PathGet     = "/v1/table/get"
	PathRange   = "/v1/table/range"
	PathCommit  = "/v1/table/commit"
	PathOutcome = "/v1/table/outcome"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// ClientHeader names the VM that calls, for the platform's own records.
const ClientHeader = "Platform-Client"

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// RangeRequest is the body of PathRange.
type RangeRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}

// Rows is the answer to PathGet and PathRange.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}

// OutcomeRequest is the body of PathOutcome.
type OutcomeRequest struct {
	OpID string `json:"op_id"`
}

// Outcome is the answer to PathOutcome.
type OutcomeResponse struct {
	Done    bool             `json:"done"`
	Receipt platform.Receipt `json:"receipt"`
}

// VMList is the answer to PathVMs.
type VMList struct {
	VMs []platform.VM `json:"vms"`
}

// ErrorBody is the body of every answer with a status of 400 or above.
type ErrorBody struct {
	Kind    platform.Kind `json:"kind"`
	Key     string        `json:"key,omitempty"`
	Message string        `json:"message,omitempty"`
}
