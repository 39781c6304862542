package catalog

import (
	"fmt"
	"maps"

	"daisyslip.dev/daisyslip/internal/check"
)

// ChangeSet lists the entities in which two documents may differ.
type ChangeSet struct {
	// Workspaces lists the names of the workspaces that were put or deleted.
	Workspaces []string
	// OtherKinds is true if a pool, an endpoint or a rule was put or deleted.
	OtherKinds bool
}

// Next validates and indexes d, which may differ from the document of x only in the
// changed entities. Only those are validated and indexed again, and everything else is
// shared with x, so that the workspaces that stay add little to the cost of a change.
func (x *Index) Next(d Document, changed ChangeSet) (*Index, error) {
	next := *x
	next.Revision, next.document = d.Revision, d
	var problems check.List
	if len(changed.Workspaces) > 0 {
		next.workspaces, next.keys = maps.Clone(x.workspaces), maps.Clone(x.keys)
		next.reindexWorkspaces(changed.Workspaces, &problems)
	}
	if changed.OtherKinds {
		d.validateOtherKinds(&problems)
	}
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("index revision %d: %w", d.Revision, err)
	}
	if changed.OtherKinds {
		next.addOtherKinds()
	}
	return &next, nil
}

// reindexWorkspaces replaces the changed workspaces and their keys in the index and
// adds what is invalid in them to problems.
func (x *Index) reindexWorkspaces(changed []string, problems *check.List) {
	isChanged := make(map[string]bool, len(changed))
	for _, name := range changed {
		isChanged[name] = true
		if old := x.workspaces[name]; old != nil {
			x.removeWorkspace(old)
		}
	}
	for i, w := range x.document.Workspaces {
		if !isChanged[w.Name] {
			continue
		}
		path := fmt.Sprintf("workspaces[%d]", i)
		validateName(problems, path, w.Name)
		validateWorkspace(problems, path, w)
		for j, key := range w.Keys {
			if principal, taken := x.keys[key.Hash]; taken {
				problems.Add(fmt.Sprintf("%s.keys[%d].hash", path, j), key.Hash, uniqueKeyRequirement(principal.Workspace.Name))
			}
		}
		x.addWorkspace(w)
	}
}

// removeWorkspace removes a workspace and its keys from the index.
func (x *Index) removeWorkspace(w *Workspace) {
	delete(x.workspaces, w.Name)
	for _, key := range w.Keys {
		delete(x.keys, key.Hash)
	}
}
