package catalog

import (
	"fmt"
	"slices"
	"sort"

	"k8s.io/apimachinery/pkg/labels"

	"daisyslip.dev/daisyslip/internal/check"
)

// Index is a document prepared for lookups. It is immutable.
type Index struct {
	Revision   int64
	document   Document
	workspaces map[string]*Workspace
	keys       map[string]Principal
	endpoints  map[string]*Member
	models     map[string][]*Member
	services   map[string][]*Member
	rules      []compiledRule
}

// Principal is who a key acts for.
type Principal struct {
	Workspace *Workspace
	Budget    string
}

// Member is an endpoint with the pool it belongs to.
type Member struct {
	Endpoint
	Pool *Pool
}

type compiledRule struct {
	Rule
	workspaces labels.Selector
	endpoints  labels.Selector
}

// NewIndex validates and indexes a document, which must not change after.
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

// addRest indexes the pools, endpoints and rules anew.
func (x *Index) addOtherKinds() {
	x.rules = nil
	x.endpoints = make(map[string]*Member, len(x.document.Endpoints))
	x.models = make(map[string][]*Member)
	x.services = make(map[string][]*Member)
	x.addRules()
	x.addEndpoints()
}

// addRules compiles the selectors, which Validate has parsed before.
func (x *Index) addRules() {
	for _, r := range x.document.Rules {
		x.rules = append(x.rules, compiledRule{Rule: r, workspaces: mustParseSelector(r.Workspaces), endpoints: mustParseSelector(r.Endpoints)})
	}
}

func mustParseSelector(selector string) labels.Selector {
	s, err := labels.Parse(selector)
	if err != nil {
		panic("selector passed validation: " + err.Error())
	}
	return s
}

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

func kindOf(e Endpoint) PoolKind {
	if e.Service != "" {
		return PoolService
	}
	return PoolModel
}

func (x *Index) addMember(m *Member) {
	x.endpoints[m.Name] = m
	for _, model := range m.Models {
		x.models[model] = append(x.models[model], m)
	}
	if m.Service != "" {
		x.services[m.Service] = append(x.services[m.Service], m)
	}
}

// Document returns the indexed document; it must not be changed.
func (x *Index) Document() Document { return x.document }

// Authenticate returns who the key with this hash acts for.
func (x *Index) Authenticate(hash string) (Principal, bool) {
	p, found := x.keys[hash]
	return p, found
}

// Workspace returns a workspace by name, or nil.
func (x *Index) Workspace(name string) *Workspace { return x.workspaces[name] }

// Endpoint returns an endpoint that belongs to a pool, or nil.
func (x *Index) Endpoint(name string) *Member { return x.endpoints[name] }

// Members returns all endpoints that belong to a pool, in no order.
func (x *Index) Members() []*Member {
	members := make([]*Member, 0, len(x.endpoints))
	for _, m := range x.endpoints {
		members = append(members, m)
	}
	return members
}

// Models returns the names of all models that a pool serves, sorted.
func (x *Index) Models() []string {
	names := make([]string, 0, len(x.models))
	for name := range x.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasService reports whether any endpoint is an instance of the service.
func (x *Index) HasService(service string) bool { return len(x.services[service]) > 0 }

// ForModel returns the endpoints to which the workspace's work for the model
// may go, leaving ones included.
func (x *Index) ForModel(workspace, model string) []*Member {
	return x.allowed(workspace, x.models[model], func(r *compiledRule) bool {
		return r.coversAll() || slices.Contains(r.Models, model)
	})
}

// ForService returns the endpoints to which the workspace's calls of the
// service may go, leaving ones included.
func (x *Index) ForService(workspace, service string) []*Member {
	return x.allowed(workspace, x.services[service], func(r *compiledRule) bool {
		return r.coversAll() || slices.Contains(r.Services, service)
	})
}

func (r *compiledRule) coversAll() bool { return len(r.Models) == 0 && len(r.Services) == 0 }

// allowed keeps the members that every rule covering the work admits.
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

func filterByLabels(members []*Member, selector labels.Selector) []*Member {
	var kept []*Member
	for _, m := range members {
		if selector.Matches(labels.Set(m.Labels)) {
			kept = append(kept, m)
		}
	}
	return kept
}
