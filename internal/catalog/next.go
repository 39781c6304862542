package catalog

import (
	"fmt"
	"maps"

	"daisyslip.dev/daisyslip/internal/check"
)

// Touched says what may differ between two documents.
type ChangeSet struct {
	// Workspaces names the workspaces that were put or deleted.
	Workspaces []string
	// Rest is true if a pool, an endpoint or a rule was put or deleted.
	OtherKinds bool
}

// Next indexes d, which differs from the document of x by what t says. It
// checks and indexes only that, and shares the rest with x, so that its cost
// does not grow with the workspaces that stay.
func (x *Index) Next(d Document, t ChangeSet) (*Index, error) {
	next := *x
	next.Revision, next.document = d.Revision, d
	var problems check.List
	if len(t.Workspaces) > 0 {
		next.workspaces, next.keys = maps.Clone(x.workspaces), maps.Clone(x.keys)
		next.renewWorkspaces(t.Workspaces, &problems)
	}
	if t.OtherKinds {
		d.validateRest(&problems)
	}
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("index revision %d: %w", d.Revision, err)
	}
	if t.OtherKinds {
		next.addRest()
	}
	return &next, nil
}

// renewWorkspaces replaces the named workspaces and their keys.
func (x *Index) renewWorkspaces(names []string, problems *check.List) {
	touched := make(map[string]bool, len(names))
	for _, name := range names {
		touched[name] = true
		if old := x.workspaces[name]; old != nil {
			x.dropWorkspace(old)
		}
	}
	for i, w := range x.document.Workspaces {
		if !touched[w.Name] {
			continue
		}
		at := fmt.Sprintf("workspaces[%d]", i)
		validateName(problems, at, w.Name)
		validateWorkspace(problems, at, w)
		for j, key := range w.Keys {
			if owner, taken := x.keys[key.Hash]; taken {
				problems.Add(fmt.Sprintf("%s.keys[%d].hash", at, j), key.Hash, takenKeyWant(owner.Workspace.Name))
			}
		}
		x.addWorkspace(w)
	}
}

func (x *Index) dropWorkspace(w *Workspace) {
	delete(x.workspaces, w.Name)
	for _, key := range w.Keys {
		delete(x.keys, key.Hash)
	}
}
