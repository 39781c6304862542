// Package catalog defines the configuration that operators write, that is,
// workspaces, pools, endpoints and rules with their labels and selectors. It
// validates a configuration and indexes it for the lookups of the request path.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// GrantPolicy determines how many tokens of a workspace's budgets the routers hold
// in grants when tokens are scarce. An empty policy is equivalent to
// GrantPolicySmallHoldings.
type GrantPolicy string

// The grant policies of a workspace.
const (
	// GrantPolicySmallHoldings keeps grants small, so that few tokens are in
	// doubt after a crash.
	GrantPolicySmallHoldings GrantPolicy = "small_holdings"
	// GrantPolicyServeOutages keeps headroom on each router, so that requests
	// are served during an outage of the platform.
	GrantPolicyServeOutages GrantPolicy = "serve"
)

// AccessKey authorizes callers to act for a workspace. Only the hash of the key is
// stored.
type AccessKey struct {
	// Hash is the result of HashKey for the secret.
	Hash string `json:"hash"`
	// Budget is the name of the budget that requests with the key draw on.
	Budget string `json:"budget"`
}

// DefaultBudget is the name of the budget of keys that are created without one.
const DefaultBudget = "default"

// Workspace is a customer's unit of isolation. It owns access keys and budgets.
type Workspace struct {
	Name        string            `json:"name"`
	Labels      map[string]string `json:"labels,omitempty"`
	Keys        []AccessKey       `json:"keys,omitempty"`
	GrantPolicy GrantPolicy       `json:"lean,omitempty"`
	// Disabled is true if routers refuse the requests of the workspace's callers.
	Disabled bool `json:"disabled,omitempty"`
}

// PoolKind is the kind of the endpoints of a pool.
type PoolKind string

// The kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a set of endpoints under one policy. An endpoint belongs to the first pool
// of its kind, in the order of names, whose selector matches its labels.
type Pool struct {
	Name     string            `json:"name"`
	Kind     PoolKind          `json:"kind"`
	Labels   map[string]string `json:"labels,omitempty"`
	Selector string            `json:"selector"`
}

// Endpoint is a model engine or an instance of a plain service: it has either
// Models or a Service.
type Endpoint struct {
	Name   string            `json:"name"`
	URL    string            `json:"url"`
	Labels map[string]string `json:"labels,omitempty"`
	// VM and Domain are the VM and the failure domain in which the endpoint
	// runs.
	VM     string `json:"vm,omitempty"`
	Domain string `json:"domain,omitempty"`
	// Models lists the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service that this is an instance of.
	Service string `json:"service,omitempty"`
	// Slots bounds the requests in flight at the endpoint; 0 means no bound.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is true if the endpoint refuses orders with a fencing number
	// lower than one that it has already accepted.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving is true if the endpoint gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Rule restricts where requests go: requests of the matching workspaces for the
// listed models or services go only to matching endpoints. All rules that match a
// request apply, so an additional rule can only reduce the allowed endpoints.
type Rule struct {
	Name string `json:"name"`
	// Workspaces is a label selector for workspaces; empty selects all.
	Workspaces string `json:"workspaces,omitempty"`
	// Models and Services list the requests that the rule covers. If both are
	// empty, it covers all requests.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Endpoints is a label selector for the allowed endpoints.
	Endpoints string `json:"endpoints"`
}

// Document is the complete configuration at one revision.
type Document struct {
	Revision   int64       `json:"revision"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Endpoints  []Endpoint  `json:"endpoints,omitempty"`
	Rules      []Rule      `json:"rules,omitempty"`
}

// HashKey returns the SHA-256 of a caller's secret in hex. The secrets are long
// random strings, so a fast hash is sufficient.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
