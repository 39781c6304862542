package conf

import (
	"encoding/json"
	"fmt"
	"reflect"

	"daisyslip.dev/daisyslip/internal/catalog"
)

// Diff returns the operations that turn one document into another. What is
// new or changed is put in the order of the new document.
func Diff(from, to catalog.Document) ([]Op, error) {
	var ops []Op
	var failed error
	take := func(more []Op, err error) {
		ops = append(ops, more...)
		if failed == nil {
			failed = err
		}
	}
	take(diffList(KindWorkspace, from.Workspaces, to.Workspaces, func(w catalog.Workspace) string { return w.Name }))
	take(diffList(KindPool, from.Pools, to.Pools, func(p catalog.Pool) string { return p.Name }))
	take(diffList(KindEndpoint, from.Endpoints, to.Endpoints, func(e catalog.Endpoint) string { return e.Name }))
	take(diffList(KindRule, from.Rules, to.Rules, func(r catalog.Rule) string { return r.Name }))
	return ops, failed
}

func diffList[T any](kind EntityKind, from, to []T, name func(T) string) ([]Op, error) {
	old := make(map[string]T, len(from))
	for _, item := range from {
		old[name(item)] = item
	}
	var ops []Op
	for _, item := range to {
		before, found := old[name(item)]
		delete(old, name(item))
		if found && reflect.DeepEqual(before, item) {
			continue
		}
		data, err := json.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", kind, name(item), err)
		}
		ops = append(ops, Op{Kind: kind, Name: name(item), Put: data})
	}
	for _, item := range from {
		if _, left := old[name(item)]; left {
			ops = append(ops, Op{Kind: kind, Name: name(item)})
		}
	}
	return ops, nil
}
