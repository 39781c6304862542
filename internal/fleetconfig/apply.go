package fleetconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// errNothingToDelete is returned when an operation deletes an entity that does
// not exist.
var errNothingToDelete = errors.New("there is none to delete")

// applyOps applies the operations to d in order. A list that changes is copied
// first, so that other documents that share it are not modified. On an error d
// is unchanged.
func applyOps(d *catalog.Document, ops []Op) error {
	e := editor{
		workspaces: entityList[catalog.Workspace]{items: d.Workspaces, name: func(w *catalog.Workspace) *string { return &w.Name }},
		pools:      entityList[catalog.Pool]{items: d.Pools, name: func(p *catalog.Pool) *string { return &p.Name }},
		endpoints:  entityList[catalog.Endpoint]{items: d.Endpoints, name: func(e *catalog.Endpoint) *string { return &e.Name }},
		rules:      entityList[catalog.Rule]{items: d.Rules, name: func(r *catalog.Rule) *string { return &r.Name }},
	}
	for i, op := range ops {
		if err := e.apply(op); err != nil {
			return failure.Wrap(failure.BadRequest, fmt.Sprintf("apply ops[%d] to %s %q", i, op.Kind, op.Name), "", err)
		}
	}
	d.Workspaces, d.Pools, d.Endpoints, d.Rules = e.workspaces.result(), e.pools.result(), e.endpoints.result(), e.rules.result()
	return nil
}

// changeSetOf returns the set of entities that the operations may change.
func changeSetOf(ops []Op) catalog.ChangeSet {
	var changed catalog.ChangeSet
	for _, op := range ops {
		if op.Kind == KindWorkspace {
			changed.Workspaces = append(changed.Workspaces, op.Name)
			continue
		}
		changed.OtherKinds = true
	}
	return changed
}

// editor applies operations to the lists of one document.
type editor struct {
	workspaces entityList[catalog.Workspace]
	pools      entityList[catalog.Pool]
	endpoints  entityList[catalog.Endpoint]
	rules      entityList[catalog.Rule]
}

// apply applies op to the list that its kind selects.
func (e *editor) apply(op Op) error {
	switch op.Kind {
	case KindWorkspace:
		return e.workspaces.apply(op)
	case KindPool:
		return e.pools.apply(op)
	case KindEndpoint:
		return e.endpoints.apply(op)
	case KindRule:
		return e.rules.apply(op)
	}
	return fmt.Errorf("unknown kind %q", op.Kind)
}

// entityList edits one list of entities, such as the pools of a document. The
// first change copies the list; later changes modify that copy.
type entityList[T any] struct {
	items     []T
	name      func(*T) *string // returns a pointer to the name of an item
	positions map[string]int   // positions in items by name; nil until the first change
	deleted   map[int]bool     // positions of deleted items
}

// apply puts or deletes the item that op names. A put item replaces the one of
// the same name or is appended.
func (l *entityList[T]) apply(op Op) error {
	if l.positions == nil {
		l.cloneForEdit()
	}
	position, found := l.positions[op.Name]
	if len(op.Put) == 0 || string(op.Put) == "null" {
		if !found {
			return errNothingToDelete
		}
		delete(l.positions, op.Name)
		l.deleted[position] = true
		return nil
	}
	item, err := decodeStrictly[T](op.Put)
	if err != nil {
		return err
	}
	*l.name(&item) = op.Name
	if found {
		l.items[position] = item
		return nil
	}
	l.positions[op.Name] = len(l.items)
	l.items = append(l.items, item)
	return nil
}

// cloneForEdit copies the items and builds the index of positions.
func (l *entityList[T]) cloneForEdit() {
	l.items = slices.Clone(l.items)
	l.positions = make(map[string]int, len(l.items))
	l.deleted = make(map[int]bool)
	for i := range l.items {
		l.positions[*l.name(&l.items[i])] = i
	}
}

// result returns the list without the deleted items.
func (l *entityList[T]) result() []T {
	if len(l.deleted) == 0 {
		return l.items
	}
	remaining := l.items[:0]
	for i, item := range l.items {
		if !l.deleted[i] {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

// decodeStrictly decodes JSON into a T and rejects unknown fields.
func decodeStrictly[T any](data []byte) (item T, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return item, decoder.Decode(&item)
}
