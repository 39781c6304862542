// Package routetable holds the routes, pools, keys and limits of one revision of
// the configuration in a Table, and the applied table in Current.
package routetable

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether the requests of a route may be executed more than once,
// and whether their responses are streams.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests get a stream of events as response. They are executed at
	// most once unless the route is resumable.
	Streaming
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[k]
}

// Target is a pool that serves a share of the requests of a route.
type Target struct {
	Pool string
	// Weight determines the share, relative to the route's other targets.
	Weight int
}

// Route determines how requests to a host with a path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Resumable is set if a broken stream may be resumed at another endpoint.
	Resumable bool
	// Timeout is how long a caller waits for the complete response at most; 0 if
	// the route sets no limit.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the first byte of a
	// response, and GapObjective that for the time between two events of a
	// stream.
	LatencyObjective, GapObjective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints that may execute a request.
	MaxAttempts int
	// Public routes need no API key.
	Public  bool
	Targets []Target
}

// Retryable reports whether requests of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PoolFor returns the name of the pool for a request. Pools are selected by a hash
// of the request's id, in proportion to their weights. A single target is selected
// whatever its weight. The result is "" if the weights add up to 0.
func (r *Route) PoolFor(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	if totalWeight == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(requestID) % uint64(totalWeight))
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Pool
		}
	}
	return ""
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name string
	// MaxConns is the maximum number of connections that one endpoint accepts
	// from all routers together.
	MaxConns int
	// MaxEventTokens is the maximum number of tokens in one event of a stream; 0
	// if the pool has no model engines.
	MaxEventTokens int64
	// ColdStart is how long an endpoint is cold after its start, and ColdPerSecond the rate
	// of requests from all routers together that it tolerates then. Either is 0 if cold
	// endpoints have no such limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Workspace is the owner of a set of API keys.
type Workspace struct {
	Name string
	// PrepaidTokens is the total number of tokens that the workspace may consume;
	// nil if it is unlimited.
	PrepaidTokens *int64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one revision of the configuration. It is immutable.
type Table struct {
	// Revision increases with each change of the configuration.
	Revision int64
	// Digest tells tables of the same revision with other content apart.
	Digest       uint64
	Limits       Limits
	Pools        map[string]Pool
	workspaces   map[string]*Workspace // by name
	keys         map[string]*Workspace // by API key
	routes       map[string][]*Route   // by host, longest prefix first
	requiresKeys bool
}

// New returns a table. It takes the API keys and the prepaid tokens by name of the
// workspace; a workspace without an entry in the latter is unlimited. Without
// workspaces no request needs a key. The table keeps a reference to routes.
func New(revision int64, limits Limits, routes []Route, pools []Pool, keysByWorkspace map[string][]string, prepaidTokens map[string]int64) *Table {
	t := &Table{
		Revision: revision, Limits: limits, Pools: make(map[string]Pool), keys: make(map[string]*Workspace),
		workspaces: make(map[string]*Workspace), routes: make(map[string][]*Route), requiresKeys: len(keysByWorkspace) > 0,
	}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for name, keys := range keysByWorkspace {
		workspace := &Workspace{Name: name}
		if tokens, ok := prepaidTokens[name]; ok {
			workspace.PrepaidTokens = &tokens
		}
		t.workspaces[name] = workspace
		for _, key := range keys {
			t.keys[key] = workspace
		}
	}
	for i := range routes {
		host := hostOf(routes[i].Host)
		t.routes[host] = append(t.routes[host], &routes[i])
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route with the longest matching prefix for a request, or nil.
// The path is compared as it was sent, without decoding.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether routes that are not public need an API key.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// WorkspaceByKey returns the workspace that an API key belongs to, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.keys[key] }

// Workspace returns the workspace with a name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// PrepaidWorkspaces returns the sorted names of the workspaces with a prepaid
// total.
func (t *Table) PrepaidWorkspaces() []string {
	var names []string
	for name, w := range t.workspaces {
		if w.PrepaidTokens != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// PoolsWithColdStart returns the sorted names of the pools whose endpoints are cold after
// their start.
func (t *Table) PoolsWithColdStart() []string {
	var names []string
	for name, p := range t.Pools {
		if p.ColdStart > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}

// hostOf returns a host in lower case without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
