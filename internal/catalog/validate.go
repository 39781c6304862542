package catalog

import (
	"fmt"
	"regexp"

	"k8s.io/apimachinery/pkg/labels"

	"daisyslip.dev/daisyslip/internal/check"
)

// nameWant describes namePattern in error messages.
const nameWant = "1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Validate checks the whole document and adds every problem to l.
func (d *Document) Validate(l *check.List) {
	validateEach(l, "workspaces", d.Workspaces, func(w Workspace) string { return w.Name }, validateWorkspace)
	d.validateRest(l)
	d.validateKeys(l)
}

// validateRest checks all but the workspaces.
func (d *Document) validateRest(l *check.List) {
	validateEach(l, "pools", d.Pools, func(p Pool) string { return p.Name }, validatePool)
	validateEach(l, "endpoints", d.Endpoints, func(e Endpoint) string { return e.Name }, validateEndpoint)
	validateEach(l, "rules", d.Rules, func(r Rule) string { return r.Name }, validateRule)
}

func validateName(l *check.List, path, name string) {
	if !namePattern.MatchString(name) {
		l.Add(path+".name", name, nameWant)
	}
}

// validateEach checks the names of a list and each of its items.
func validateEach[T any](l *check.List, path string, items []T, name func(T) string, validate func(*check.List, string, T)) {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		at := fmt.Sprintf("%s[%d]", path, i)
		n := name(item)
		validateName(l, at, n)
		if seen[n] {
			l.Add(at+".name", n, "a name that no other of the "+path+" has")
		}
		seen[n] = true
		validate(l, at, item)
	}
}

func validateWorkspace(l *check.List, path string, w Workspace) {
	validateLabels(l, path+".labels", w.Labels)
	l.OneOf(path+".lean", string(w.GrantPolicy), "", string(GrantPolicySmallHoldings), string(GrantPolicyServeOutages))
	for i, key := range w.Keys {
		at := fmt.Sprintf("%s.keys[%d]", path, i)
		if len(key.Hash) != len(HashKey("")) {
			l.Add(at+".hash", key.Hash, "the hex SHA-256 of the key")
		}
		if !namePattern.MatchString(key.Budget) {
			l.Add(at+".budget", key.Budget, nameWant)
		}
	}
}

func validatePool(l *check.List, path string, p Pool) {
	l.OneOf(path+".kind", string(p.Kind), string(PoolModel), string(PoolService))
	validateLabels(l, path+".labels", p.Labels)
	validateSelector(l, path+".selector", p.Selector)
}

func validateEndpoint(l *check.List, path string, e Endpoint) {
	l.URL(path+".url", e.URL)
	validateLabels(l, path+".labels", e.Labels)
	if len(e.Models) == 0 && e.Service == "" {
		l.Add(path, e.Name, "models for an engine or service for a plain service")
	}
	if len(e.Models) > 0 && e.Service != "" {
		l.Add(path+".service", e.Service, "no service on an endpoint with models")
	}
	if e.Slots < 0 {
		l.Add(path+".slots", e.Slots, "0 or more")
	}
}

func validateRule(l *check.List, path string, r Rule) {
	validateSelector(l, path+".workspaces", r.Workspaces)
	validateSelector(l, path+".endpoints", r.Endpoints)
}

func validateLabels(l *check.List, path string, set map[string]string) {
	if _, err := labels.ValidatedSelectorFromSet(set); err != nil {
		l.Add(path, set, "label names and values of letters, digits, '-', '_' and '.': "+err.Error())
	}
}

func validateSelector(l *check.List, path, selector string) {
	if _, err := labels.Parse(selector); err != nil {
		l.Add(path, selector, `a selector such as "tier=gold,zone in (a,b),!old": `+err.Error())
	}
}

// takenKeyWant describes what a key should be that the owner has already.
func takenKeyWant(owner string) string { return "a key that workspace " + owner + " does not have" }

// validateKeys requires that one key acts for one workspace.
func (d *Document) validateKeys(l *check.List) {
	owner := make(map[string]string)
	for i, w := range d.Workspaces {
		for j, key := range w.Keys {
			if first, taken := owner[key.Hash]; taken {
				l.Add(fmt.Sprintf("workspaces[%d].keys[%d].hash", i, j), key.Hash, takenKeyWant(first))
			}
			owner[key.Hash] = w.Name
		}
	}
}
