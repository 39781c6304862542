package catalog

import (
	"fmt"
	"slices"
	"sort"

	"k8s.io/apimachinery/pkg/labels"

	"daisyslip.dev/daisyslip/internal/check"
)

// Index is a document prepared for lookups. It is immutable and safe for concurrent
// use.
type Index struct {
	Revision   int64
	document   Document
	workspaces map[string]*Workspace // by name
	keys       map[string]Principal  // by key hash
	endpoints  map[string]*Member    // by name; only endpoints that belong to a pool
	models     map[string][]*Member  // by model
	services   map[string][]*Member  // by service
	rules      []compiledRule
}

// Principal is the workspace that an access key acts for, and the budget that its
// requests draw on.
type Principal struct {
	Workspace *Workspace
	Budget    string
}

// Member is an endpoint together with the pool that it belongs to.
type Member struct {
	Endpoint
	Pool *Pool
}

// compiledRule is a rule with its parsed selectors.
type compiledRule struct {
	Rule
	workspaces labels.Selector
	endpoints  labels.Selector
}

// NewIndex validates and indexes a document. The document must not be modified
// afterwards.
func NewIndex(d Document) (*Index, error) {
	var problems check.List
	d.Validate(&problems)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("index revision %d: %w", d.Revision, err)
	}
	x := &Index{
		Revision:   d.Revision,
		document:   d,
		workspaces: make(map[string]*Workspace, len(d.Workspaces)),
		keys:       make(map[string]Principal),
	}
	for _, w := range d.Workspaces {
		x.addWorkspace(w)
	}
	x.addOtherKinds()
	return x, nil
}

// addWorkspace indexes a copy of a workspace: a pointer into the document's
// list would keep the whole list of an old revision in memory.
func (x *Index) addWorkspace(w Workspace) {
	x.workspaces[w.Name] = &w
	for _, key := range w.Keys {
		x.keys[key.Hash] = Principal{Workspace: &w, Budget: key.Budget}
	}
}

// addOtherKinds rebuilds the index of the pools, endpoints and rules, that is, of
// everything except workspaces.
func (x *Index) addOtherKinds() {
	x.rules = nil
	x.endpoints = make(map[string]*Member, len(x.document.Endpoints))
	x.models = make(map[string][]*Member)
	x.services = make(map[string][]*Member)
	x.addRules()
	x.addEndpoints()
}

// addRules indexes the rules. Their selectors are known to parse, since the
// document was validated.
func (x *Index) addRules() {
	for _, r := range x.document.Rules {
		x.rules = append(x.rules, compiledRule{Rule: r, workspaces: mustParseSelector(r.Workspaces), endpoints: mustParseSelector(r.Endpoints)})
	}
}

// mustParseSelector parses a selector that has passed validation.
func mustParseSelector(selector string) labels.Selector {
	s, err := labels.Parse(selector)
	if err != nil {
		panic("selector passed validation: " + err.Error())
	}
	return s
}

// addEndpoints assigns each endpoint to the first pool, in the order of names, that
// has its kind and whose selector matches. An endpoint that no pool matches is not
// indexed.
func (x *Index) addEndpoints() {
	pools := make([]*Pool, len(x.document.Pools))
	for i := range x.document.Pools {
		pools[i] = &x.document.Pools[i]
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	selectors := make([]labels.Selector, len(pools))
	for i, p := range pools {
		selectors[i] = mustParseSelector(p.Selector)
	}
	for _, e := range x.document.Endpoints {
		for i, p := range pools {
			if kindOf(e) != p.Kind || !selectors[i].Matches(labels.Set(e.Labels)) {
				continue
			}
			x.addMember(&Member{Endpoint: e, Pool: p})
			break
		}
	}
}

// kindOf returns the kind of pool that the endpoint can belong to.
func kindOf(e Endpoint) PoolKind {
	if e.Service != "" {
		return PoolService
	}
	return PoolModel
}

// addMember indexes a pool member by name and by its models or service.
func (x *Index) addMember(m *Member) {
	x.endpoints[m.Name] = m
	for _, model := range m.Models {
		x.models[model] = append(x.models[model], m)
	}
	if m.Service != "" {
		x.services[m.Service] = append(x.services[m.Service], m)
	}
}

// Document returns the indexed document. It must not be modified.
func (x *Index) Document() Document { return x.document }

// Authenticate returns the principal of the key with this hash, or false if no
// workspace has such a key.
func (x *Index) Authenticate(hash string) (Principal, bool) {
	p, found := x.keys[hash]
	return p, found
}

// Workspace returns the workspace with this name, or nil.
func (x *Index) Workspace(name string) *Workspace { return x.workspaces[name] }

// Endpoint returns the endpoint with this name if it belongs to a pool, or nil.
func (x *Index) Endpoint(name string) *Member { return x.endpoints[name] }

// Members returns all endpoints that belong to a pool, in no particular order.
func (x *Index) Members() []*Member {
	members := make([]*Member, 0, len(x.endpoints))
	for _, m := range x.endpoints {
		members = append(members, m)
	}
	return members
}

// Models returns the sorted names of all models that a pool member serves.
func (x *Index) Models() []string {
	names := make([]string, 0, len(x.models))
	for name := range x.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasService reports whether any pool member is an instance of the service.
func (x *Index) HasService(service string) bool { return len(x.services[service]) > 0 }

// ForModel returns the endpoints to which the workspace's requests for the model
// may go, including leaving ones. The result must not be modified.
func (x *Index) ForModel(workspace, model string) []*Member {
	return x.allowed(workspace, x.models[model], func(r *compiledRule) bool {
		return r.coversAll() || slices.Contains(r.Models, model)
	})
}

// ForService returns the endpoints to which the workspace's calls of the service
// may go, including leaving ones. The result must not be modified.
func (x *Index) ForService(workspace, service string) []*Member {
	return x.allowed(workspace, x.services[service], func(r *compiledRule) bool {
		return r.coversAll() || slices.Contains(r.Services, service)
	})
}

// coversAll reports whether the rule covers all models and services.
func (r *compiledRule) coversAll() bool { return len(r.Models) == 0 && len(r.Services) == 0 }

// allowed returns the members that are allowed by every rule that covers the
// request and matches the workspace. An unknown workspace is allowed none.
func (x *Index) allowed(workspace string, members []*Member, covers func(*compiledRule) bool) []*Member {
	w := x.workspaces[workspace]
	if w == nil {
		return nil
	}
	allowed := members
	for i := range x.rules {
		r := &x.rules[i]
		if !covers(r) || !r.workspaces.Matches(labels.Set(w.Labels)) {
			continue
		}
		allowed = filterByLabels(allowed, r.endpoints)
	}
	return allowed
}

// filterByLabels returns the members whose labels the selector matches.
func filterByLabels(members []*Member, selector labels.Selector) []*Member {
	var kept []*Member
	for _, m := range members {
		if selector.Matches(labels.Set(m.Labels)) {
			kept = append(kept, m)
		}
	}
	return kept
}
