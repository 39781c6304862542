package fleetconfig

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/revlog"
)

// EntityKind names one of the kinds of entities in a catalog.Document, which has a
// list for each kind.
type EntityKind string

// The kinds of entities.
const (
	KindWorkspace EntityKind = "workspace"
	KindPool      EntityKind = "pool"
	KindEndpoint  EntityKind = "endpoint"
	KindRule      EntityKind = "rule"
)

// Op creates, replaces or deletes one entity of the document.
type Op struct {
	Kind EntityKind `json:"kind"`
	Name string     `json:"name"`
	// Put is the complete new entity as JSON. If it is empty or null, the
	// entity is deleted.
	Put json.RawMessage `json:"put,omitempty"`
}

// Change is a change of the configuration that an operator requests.
type Change struct {
	// ID makes the change idempotent: a retry with the same ID is applied only
	// once. If it is empty, Commit generates one.
	ID string `json:"id,omitempty"`
	// Base is the revision that the operator's change was based on. The change
	// is committed only if Base is still the newest revision.
	Base   int64  `json:"base"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	Ops    []Op   `json:"ops"`
}

// RevisionStatus is the acceptance status of a committed revision.
type RevisionStatus struct {
	Revision int64 `json:"revision"`
	// Accepted is true once no live router serves an earlier revision.
	Accepted bool `json:"accepted"`
	// WaitingFor lists the VMs of the routers that have not acknowledged the
	// revision, or "platform" if the members could not be read.
	WaitingFor []string `json:"waiting_for,omitempty"`
}

// Revision is one committed change in the history of the configuration.
type Revision struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	At       time.Time `json:"at"`
	Ops      []Op      `json:"ops"`
}

// ConflictError reports that a change was not based on the newest revision.
// Nothing was written.
type ConflictError struct {
	// Others are the revisions committed since the base, oldest first.
	Others []Revision
}

// Error lists the revisions committed since the base, at most maxListed of them.
func (e *ConflictError) Error() string {
	if len(e.Others) == 0 {
		return "the change was not made against the newest revision; read it and try again"
	}
	var b strings.Builder
	b.WriteString("other changes came first; read the newest revision and try again:")
	for i, r := range e.Others {
		if i == maxListed {
			fmt.Fprintf(&b, " and %d more", len(e.Others)-i)
			break
		}
		fmt.Fprintf(&b, " revision %d by %q (%s)", r.Revision, r.Author, summarizeOps(r.Ops))
	}
	return b.String()
}

// maxListed bounds the revisions, and the entities of each revision, that the
// message of a ConflictError lists.
const maxListed = 3

// summarizeOps lists the kinds and names of the entities that the operations
// change.
func summarizeOps(ops []Op) string {
	var names []string
	for i, op := range ops {
		if i == maxListed {
			names = append(names, fmt.Sprintf("and %d more", len(ops)-i))
			break
		}
		names = append(names, string(op.Kind)+" "+op.Name)
	}
	return strings.Join(names, ", ")
}

// decodeEntry decodes one entry of the revision log.
func decodeEntry(e revlog.Entry) (Revision, error) {
	r := Revision{Revision: e.Revision, Author: e.Author, Note: e.Note, At: e.At}
	return r, json.Unmarshal(e.Delta, &r.Ops)
}

// decodeEntries decodes entries of the revision log, in order.
func decodeEntries(entries []revlog.Entry) ([]Revision, error) {
	revisions := make([]Revision, 0, len(entries))
	for _, e := range entries {
		r, err := decodeEntry(e)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, r)
	}
	return revisions, nil
}
