package fleetconfig

import (
	"encoding/json"
	"fmt"
	"reflect"

	"daisyslip.dev/daisyslip/internal/catalog"
)

// Diff returns the operations that turn one document into another, list by list.
// New and changed entities come first, in the order of the new document, then
// the deletions.
func Diff(from, to catalog.Document) ([]Op, error) {
	var ops []Op
	var firstErr error
	collect := func(listOps []Op, err error) {
		ops = append(ops, listOps...)
		if firstErr == nil {
			firstErr = err
		}
	}
	collect(diffList(KindWorkspace, from.Workspaces, to.Workspaces, func(w catalog.Workspace) string { return w.Name }))
	collect(diffList(KindPool, from.Pools, to.Pools, func(p catalog.Pool) string { return p.Name }))
	collect(diffList(KindEndpoint, from.Endpoints, to.Endpoints, func(e catalog.Endpoint) string { return e.Name }))
	collect(diffList(KindRule, from.Rules, to.Rules, func(r catalog.Rule) string { return r.Name }))
	return ops, firstErr
}

// diffList returns the operations that turn one list of entities into another.
// name returns the name of an item.
func diffList[T any](kind EntityKind, from, to []T, name func(T) string) ([]Op, error) {
	unmatched := make(map[string]T, len(from))
	for _, item := range from {
		unmatched[name(item)] = item
	}
	var ops []Op
	for _, item := range to {
		previous, found := unmatched[name(item)]
		delete(unmatched, name(item))
		if found && reflect.DeepEqual(previous, item) {
			continue
		}
		data, err := json.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", kind, name(item), err)
		}
		ops = append(ops, Op{Kind: kind, Name: name(item), Put: data})
	}
	for _, item := range from {
		if _, removed := unmatched[name(item)]; removed {
			ops = append(ops, Op{Kind: kind, Name: name(item)})
		}
	}
	return ops, nil
}
