package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// errAbsent says that an operation deletes what is not there.
var errAbsent = errors.New("there is none to delete")

// apply carries out the operations on a document, in order. The lists of the
// document that was handed in stay as they are; those that change are copied.
func apply(d *catalog.Document, ops []Op) error {
	e := editor{
		workspaces: list[catalog.Workspace]{items: d.Workspaces, name: func(w *catalog.Workspace) *string { return &w.Name }},
		pools:      list[catalog.Pool]{items: d.Pools, name: func(p *catalog.Pool) *string { return &p.Name }},
		endpoints:  list[catalog.Endpoint]{items: d.Endpoints, name: func(e *catalog.Endpoint) *string { return &e.Name }},
		rules:      list[catalog.Rule]{items: d.Rules, name: func(r *catalog.Rule) *string { return &r.Name }},
	}
	for i, op := range ops {
		if err := e.apply(op); err != nil {
			return failure.Wrap(failure.BadRequest, fmt.Sprintf("apply ops[%d] to %s %q", i, op.Kind, op.Name), "", err)
		}
	}
	d.Workspaces, d.Pools, d.Endpoints, d.Rules = e.workspaces.done(), e.pools.done(), e.endpoints.done(), e.rules.done()
	return nil
}

// touchedBy says what operations may change.
func touchedBy(ops []Op) catalog.ChangeSet {
	var t catalog.ChangeSet
	for _, op := range ops {
		if op.Kind == KindWorkspace {
			t.Workspaces = append(t.Workspaces, op.Name)
			continue
		}
		t.OtherKinds = true
	}
	return t
}

// editor changes the lists of a document.
type editor struct {
	workspaces list[catalog.Workspace]
	pools      list[catalog.Pool]
	endpoints  list[catalog.Endpoint]
	rules      list[catalog.Rule]
}

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

// list changes one list of entities, of which it makes one copy.
type list[T any] struct {
	items   []T
	name    func(*T) *string
	at      map[string]int // positions by name; nil until the first change
	deleted map[int]bool
}

func (l *list[T]) apply(op Op) error {
	if l.at == nil {
		l.open()
	}
	at, found := l.at[op.Name]
	if len(op.Put) == 0 || string(op.Put) == "null" {
		if !found {
			return errAbsent
		}
		delete(l.at, op.Name)
		l.deleted[at] = true
		return nil
	}
	item, err := decodeStrictly[T](op.Put)
	if err != nil {
		return err
	}
	*l.name(&item) = op.Name
	if found {
		l.items[at] = item
		return nil
	}
	l.at[op.Name] = len(l.items)
	l.items = append(l.items, item)
	return nil
}

func (l *list[T]) open() {
	l.items = slices.Clone(l.items)
	l.at = make(map[string]int, len(l.items))
	l.deleted = make(map[int]bool)
	for i := range l.items {
		l.at[*l.name(&l.items[i])] = i
	}
}

// done returns the list without what was deleted.
func (l *list[T]) done() []T {
	if len(l.deleted) == 0 {
		return l.items
	}
	kept := l.items[:0]
	for i, item := range l.items {
		if !l.deleted[i] {
			kept = append(kept, item)
		}
	}
	return kept
}

func decodeStrictly[T any](data []byte) (item T, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return item, decoder.Decode(&item)
}
