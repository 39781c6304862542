// Package routetable holds the routes, pools, keys and limits of one version
// of the configuration, and the version in force.
package routetable

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be done with the requests of a route.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[k]
}

// Target is a pool that serves a share of a route.
type Target struct {
	Pool string
	// Weight is relative to the route's other targets.
	Weight int
}

// Route says how requests below a path of a host are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte within which an answer is on
	// time, and PauseObjective that between events of a stream.
	LatencyObjective, GapObjective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// MaxAttempts is the number of endpoints on which a request may run.
	MaxAttempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Repeatable reports whether requests of the route may run again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target returns the pool for a request, by the weights and the request's id.
func (r *Route) PoolFor(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum == 0 {
		return ""
	}
	n := int(xxhash.Sum64String(requestID) % uint64(sum))
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Pool
		}
	}
	return ""
}

// Pool is a set of endpoints that serve alike.
type Pool struct {
	Name string
	// MaxConns is the number of connections that one endpoint takes from all
	// routers together.
	MaxConns int
	// EventTokens is the most tokens of one event of a stream; 0 if the pool
	// has no model engines.
	MaxEventTokens int64
}

// Workspace is a prepaying customer.
type Workspace struct {
	Name string
	// Prepaid is the total that it may consume, in tokens; nil if unlimited.
	PrepaidTokens *int64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It does not change once built.
type Table struct {
	// Revision orders the versions.
	Revision   int64
	Limits     Limits
	Pools      map[string]Pool
	workspaces map[string]*Workspace // by name
	keys       map[string]*Workspace // by API key
	routes     map[string][]*Route   // by host, longest prefix first
	keyed      bool
}

// New builds a table. Without workspaces no request needs a key.
func New(revision int64, limits Limits, routes []Route, pools []Pool, workspaces map[string][]string, prepaid map[string]int64) *Table {
	t := &Table{
		Revision: revision, Limits: limits, Pools: make(map[string]Pool), keys: make(map[string]*Workspace),
		workspaces: make(map[string]*Workspace), routes: make(map[string][]*Route), keyed: len(workspaces) > 0,
	}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for name, keys := range workspaces {
		w := &Workspace{Name: name}
		if tokens, ok := prepaid[name]; ok {
			w.PrepaidTokens = &tokens
		}
		t.workspaces[name] = w
		for _, key := range keys {
			t.keys[key] = w
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

// Match returns the route for a request, or nil. The path is as it was sent.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return t.keyed }

// Holder returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.keys[key] }

// Workspace returns the workspace of a name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Metered returns the names of the workspaces with a prepaid total.
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

// Routes returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
