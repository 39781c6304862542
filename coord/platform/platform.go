// Package platform defines the interfaces of the platform that a fleet runs on: a
// transactional table, an object store and a list of VMs.
//
// The interfaces are narrow, so that the adapter of another platform is small.
// Every write can be retried safely, because a transaction has an operation id,
// chosen by the client, and at least one condition. While the service remembers
// the operation id, a retry returns the result of the first send. After that, the
// conditions no longer hold and a retry conflicts, so a transaction is never
// applied twice.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Row is a row of the table.
type Row struct {
	Key string `json:"key"`
	// Version is the number of writes to the key, deletions included. An
	// absent row has version 0.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Cond is the condition that the row at Key has Version; 0 means that the row is
// absent.
type Cond struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets the row at Key to Value, or deletes it. A row that is written again
// after a deletion continues its version numbers.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is one atomic transaction: all writes are applied if all conditions hold, and
// none otherwise.
type Txn struct {
	// OpID is the operation id. It is unique for this transaction, and the same
	// each time that the transaction is sent.
	OpID   string  `json:"op_id"`
	Conds  []Cond  `json:"conds"`
	Writes []Write `json:"writes"`
}

// Validate returns an error for a transaction that could not be retried safely.
func (t Txn) Validate() error {
	if t.OpID == "" {
		return errors.New("transaction without operation id")
	}
	if len(t.Conds) == 0 {
		return errors.New("transaction without condition")
	}
	return nil
}

// Receipt is the result of an applied transaction.
type Receipt struct {
	// Versions holds the new version of each written row, in the order of
	// Txn.Writes.
	Versions []int64 `json:"versions"`
}

// Table is the transactional table service. Implementations are safe for
// concurrent use. Errors are of type *Error.
type Table interface {
	// Get reads the rows at keys. The result has one row per key, in the same
	// order; an absent row has version 0. Reads are linearizable.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Range reads up to limit rows with from <= key < to, in key order. An
	// empty to means no upper bound.
	Range(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit applies txn or returns an error. Its Kind says whether txn was
	// applied: KindConflict and KindUnavailable mean that it was not, and
	// KindUnknown that it may have been; then the caller sends it again or
	// calls Outcome.
	Commit(ctx context.Context, txn Txn) (Receipt, error)
	// Outcome reports whether the operation was applied, and its receipt. It
	// returns false after the service has forgotten the operation id.
	Outcome(ctx context.Context, opID string) (Receipt, bool, error)
}

// Objects is the object store. Errors are of type *Error.
type Objects interface {
	// PutObject stores data under name and replaces an existing object.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the object, or an error of KindNotFound if it does not
	// exist.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM according to the platform.
type VMState string

// The states of a VM.
const (
	VMRunning VMState = "running"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs. The list lags behind the real state
// of the VMs.
type VM struct {
	ID     string  `json:"id"`
	Domain string  `json:"domain"`
	State  VMState `json:"state"`
	// Since is when the VM entered the state, by the platform's clock.
	Since time.Time `json:"since"`
}

// VMs lists the VMs of the platform.
type VMs interface {
	// ListVMs returns the current list. Errors are of type *Error.
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform combines all interfaces that a router uses.
type Platform interface {
	Table
	Objects
	VMs
}

// Kind classifies platform errors by what is known about the effect of the call.
type Kind string

// The kinds of platform errors.
const (
	// KindConflict: a condition did not hold; nothing was written.
	KindConflict Kind = "conflict"
	// KindUnavailable: the service refused the call or could not be reached;
	// nothing was written.
	KindUnavailable Kind = "unavailable"
	// KindUnknown: the response was lost; the write may have been applied.
	KindUnknown Kind = "unknown"
	// KindNotFound: the object does not exist.
	KindNotFound Kind = "not_found"
	// KindInvalid: the call was malformed; a retry does not help.
	KindInvalid Kind = "invalid"
)

// Error is the error of a failed call of the platform.
type Error struct {
	Kind Kind
	// Step names the call, such as "commit".
	Step string
	// Key is the key of the first row whose condition did not hold, for
	// KindConflict, or the name of the object, for KindNotFound.
	Key string
	Err error
}

// Error returns the step, the kind, the key and the cause.
func (e *Error) Error() string {
	msg := fmt.Sprintf("platform %s: %s", e.Step, e.Kind)
	if e.Key != "" {
		msg += " on " + e.Key
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first platform error in err's chain, or "" if there
// is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// IsConflict reports whether err is a platform error of KindConflict.
func IsConflict(err error) bool { return KindOf(err) == KindConflict }

// PrefixEnd returns the smallest key above all keys that start with prefix, for use
// as the end of a Range. It returns "", no upper bound, if there is none.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return ""
}
