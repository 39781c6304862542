// Package catalog defines the configuration that operators write: workspaces,
// pools, endpoints and rules, with labels and selectors.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// Lean says which way a workspace's budgets lean when tokens are scarce.
type GrantPolicy string

// The leans of a workspace.
const (
	// LeanSmall keeps little out on grant, so that little is in doubt after
	// a crash.
	GrantPolicySmallHoldings GrantPolicy = "small_holdings"
	// LeanServe keeps a stock on each router, so that requests are served
	// during an outage of the platform.
	GrantPolicyServeOutages GrantPolicy = "serve"
)

// AccessKey lets callers act for a workspace. Only its hash is stored.
type AccessKey struct {
	// Hash is HashKey of the secret.
	Hash string `json:"hash"`
	// Budget names the budget that the key draws on.
	Budget string `json:"budget"`
}

// DefaultBudget is the budget of keys that name none.
const DefaultBudget = "default"

// Workspace is a customer's unit of isolation.
type Workspace struct {
	Name        string            `json:"name"`
	Labels      map[string]string `json:"labels,omitempty"`
	Keys        []AccessKey       `json:"keys,omitempty"`
	GrantPolicy GrantPolicy       `json:"lean,omitempty"`
	Disabled    bool              `json:"disabled,omitempty"`
}

// PoolKind says what the endpoints of a pool are.
type PoolKind string

// The kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a set of endpoints under one policy. An endpoint belongs to the
// first pool, by name, whose selector matches its labels.
type Pool struct {
	Name     string            `json:"name"`
	Kind     PoolKind          `json:"kind"`
	Labels   map[string]string `json:"labels,omitempty"`
	Selector string            `json:"selector"`
}

// Endpoint is a model engine or an instance of a plain service.
type Endpoint struct {
	Name   string            `json:"name"`
	URL    string            `json:"url"`
	Labels map[string]string `json:"labels,omitempty"`
	// VM and Domain say where the endpoint runs.
	VM     string `json:"vm,omitempty"`
	Domain string `json:"domain,omitempty"`
	// Models lists the models of an engine.
	Models []string `json:"models,omitempty"`
	// Service names the plain service of which this is an instance.
	Service string `json:"service,omitempty"`
	// Slots bounds the requests in flight at the endpoint; 0 is no bound.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is true if the endpoint refuses orders with an old
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving stops new work to the endpoint.
	Leaving bool `json:"leaving,omitempty"`
}

// Rule confines work: requests of the matching workspaces, for the listed
// models or services, go only to matching endpoints. All rules that match a
// request must hold, so adding a rule only narrows.
type Rule struct {
	Name string `json:"name"`
	// Workspaces selects workspaces by label; empty selects all.
	Workspaces string `json:"workspaces,omitempty"`
	// Models and Services list the work; when both are empty, all work.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Endpoints selects endpoints by label.
	Endpoints string `json:"endpoints"`
}

// Document is the whole configuration at one revision.
type Document struct {
	Revision   int64       `json:"revision"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Endpoints  []Endpoint  `json:"endpoints,omitempty"`
	Rules      []Rule      `json:"rules,omitempty"`
}

// HashKey returns the hex SHA-256 of a caller's secret. The secrets are long
// random strings, so a fast hash is enough.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
