package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// apply carries out the operations on a document, in order.
func apply(d *catalog.Document, ops []Op) error {
	for i, op := range ops {
		if err := applyOne(d, op); err != nil {
			return failure.Wrap(failure.BadRequest, fmt.Sprintf("apply ops[%d] to %s %q", i, op.Kind, op.Name), "", err)
		}
	}
	return nil
}

func applyOne(d *catalog.Document, op Op) (err error) {
	switch op.Kind {
	case KindWorkspace:
		d.Workspaces, err = putOrDelete(d.Workspaces, op, func(w *catalog.Workspace) *string { return &w.Name })
	case KindPool:
		d.Pools, err = putOrDelete(d.Pools, op, func(p *catalog.Pool) *string { return &p.Name })
	case KindEndpoint:
		d.Endpoints, err = putOrDelete(d.Endpoints, op, func(e *catalog.Endpoint) *string { return &e.Name })
	case KindRule:
		d.Rules, err = putOrDelete(d.Rules, op, func(r *catalog.Rule) *string { return &r.Name })
	default:
		err = fmt.Errorf("unknown kind %q", op.Kind)
	}
	return err
}

// putOrDelete returns a copy of items with the operation done.
func putOrDelete[T any](items []T, op Op, name func(*T) *string) ([]T, error) {
	at := slices.IndexFunc(items, func(item T) bool { return *name(&item) == op.Name })
	items = slices.Clone(items)
	if len(op.Put) == 0 || string(op.Put) == "null" {
		if at < 0 {
			return nil, fmt.Errorf("there is none to delete")
		}
		return slices.Delete(items, at, at+1), nil
	}
	var item T
	decoder := json.NewDecoder(bytes.NewReader(op.Put))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		return nil, err
	}
	*name(&item) = op.Name
	if at < 0 {
		return append(items, item), nil
	}
	items[at] = item
	return items, nil
}
