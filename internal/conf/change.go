package conf

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/revlog"
)

// EntityKind names a list of the document.
type EntityKind string

// The kinds of entities.
const (
	KindWorkspace EntityKind = "workspace"
	KindPool      EntityKind = "pool"
	KindEndpoint  EntityKind = "endpoint"
	KindRule      EntityKind = "rule"
)

// Op puts or deletes one entity of the document.
type Op struct {
	Kind EntityKind `json:"kind"`
	Name string     `json:"name"`
	// Put is the whole new entity as JSON; null deletes it.
	Put json.RawMessage `json:"put,omitempty"`
}

// Change is an operator's change of the configuration.
type Change struct {
	// ID identifies the change; one that is tried again with the same ID is
	// made once. Empty means a fresh one.
	ID string `json:"id,omitempty"`
	// Base is the revision against which the change was made.
	Base   int64  `json:"base"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	Ops    []Op   `json:"ops"`
}

// Result says how far a change has come.
type RevisionStatus struct {
	Revision int64 `json:"revision"`
	// Accepted is true once every live router has the revision in force.
	Accepted bool `json:"accepted"`
	// WaitingFor names the routers that have not acknowledged it.
	WaitingFor []string `json:"waiting_for,omitempty"`
}

// Revision is one entry of the history.
type Revision struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	At       time.Time `json:"at"`
	Ops      []Op      `json:"ops"`
}

// ConflictError says that other changes came first. Nothing was written.
type ConflictError struct {
	// Others are the changes since the base, oldest first.
	Others []Revision
}

// Error names each of the changes that came first.
func (e *ConflictError) Error() string {
	if len(e.Others) == 0 {
		return "the change was not made against the newest revision; read it and try again"
	}
	var b strings.Builder
	b.WriteString("other changes came first; read the newest revision and try again:")
	for i, r := range e.Others {
		if i == maxNamed {
			fmt.Fprintf(&b, " and %d more", len(e.Others)-i)
			break
		}
		fmt.Fprintf(&b, " revision %d by %q (%s)", r.Revision, r.Author, summary(r.Ops))
	}
	return b.String()
}

// maxNamed bounds what a message names.
const maxNamed = 3

// summary names the entities that operations touch.
func summary(ops []Op) string {
	var names []string
	for i, op := range ops {
		if i == maxNamed {
			names = append(names, fmt.Sprintf("and %d more", len(ops)-i))
			break
		}
		names = append(names, string(op.Kind)+" "+op.Name)
	}
	return strings.Join(names, ", ")
}

// decodeEntry reads a revision of the log.
func decodeEntry(e revlog.Entry) (Revision, error) {
	r := Revision{Revision: e.Revision, Author: e.Author, Note: e.Note, At: e.At}
	return r, json.Unmarshal(e.Delta, &r.Ops)
}

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
