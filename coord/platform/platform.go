// Package platform describes what the fleet needs from the platform it runs
// on: a transactional table, an object store and a list of VMs.
//
// The interfaces are narrow so that another platform needs one small adapter.
// Every write is safe to send again: a transaction has an operation id chosen
// by the client and at least one condition. Within the service's memory of
// operation ids, a second send answers the first result; past it, the
// conditions no longer hold and the send conflicts, so it is never applied
// twice.
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
	// Version counts the writes to the key; an absent row has version 0.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Cond requires that the row at Key has Version; 0 requires that it is absent.
type Cond struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write puts Value at Key, or deletes the row. A row that is put again after
// a deletion continues its version numbers.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is one atomic transaction: if all conditions hold, all writes happen.
type Txn struct {
	// OpID is unique for this transaction and the same on every send of it.
	OpID   string  `json:"op_id"`
	Conds  []Cond  `json:"conds"`
	Writes []Write `json:"writes"`
}

// Validate reports a transaction that would not be safe to send again.
func (t Txn) Validate() error {
	if t.OpID == "" {
		return errors.New("transaction without operation id")
	}
	if len(t.Conds) == 0 {
		return errors.New("transaction without condition")
	}
	return nil
}

// Receipt is the result of a transaction that was applied.
type Receipt struct {
	// Versions holds the new version of each written row, in the order of
	// Txn.Writes.
	Versions []int64 `json:"versions"`
}

// Table is the transactional table service. Implementations are safe for
// concurrent use. Errors are of type *Error.
type Table interface {
	// Get reads rows; the result has one row per key, in order, with version
	// 0 for an absent one. Reads are linearizable.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Range reads up to limit rows with from <= key < to, in key order.
	Range(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit applies txn or returns an error whose Kind says whether it
	// happened: KindConflict (did not), KindUnavailable (did not) or
	// KindUnknown (may have; send again, or read back with Outcome).
	Commit(ctx context.Context, txn Txn) (Receipt, error)
	// Outcome reads back whether the operation was applied. It answers false
	// once the service has forgotten the operation id.
	Outcome(ctx context.Context, opID string) (Receipt, bool, error)
}

// Objects is the object store. Errors are of type *Error.
type Objects interface {
	// PutObject stores data under name, replacing what was there.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the object, or an error of KindNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the platform's view of a VM.
type VMState string

// The states of a VM.
const (
	VMRunning VMState = "running"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list, which lags behind the truth.
type VM struct {
	ID     string  `json:"id"`
	Domain string  `json:"domain"`
	State  VMState `json:"state"`
	// Since is when the VM entered the state, by the platform's clock.
	Since time.Time `json:"since"`
}

// VMs lists the VMs of the platform.
type VMs interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform is everything a router needs from the platform.
type Platform interface {
	Table
	Objects
	VMs
}

// Kind classes platform errors by what is known of the effect.
type Kind string

// The kinds of platform errors.
const (
	// KindConflict: a condition did not hold; nothing was written.
	KindConflict Kind = "conflict"
	// KindUnavailable: the service refused or was not reached; nothing was
	// written.
	KindUnavailable Kind = "unavailable"
	// KindUnknown: the reply was lost; the write may have happened.
	KindUnknown Kind = "unknown"
	// KindNotFound: the object does not exist.
	KindNotFound Kind = "not_found"
	// KindInvalid: the call was malformed; sending it again does not help.
	KindInvalid Kind = "invalid"
)

// Error is a failed call of the platform.
type Error struct {
	Kind Kind
	// Step names the call, such as "commit".
	Step string
	// Key is the first row whose condition failed, for KindConflict.
	Key string
	Err error
}

// Error formats the step, the kind and the cause.
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

// KindOf returns the kind of the platform error in err's chain, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// IsConflict reports whether err says that a condition did not hold.
func IsConflict(err error) bool { return KindOf(err) == KindConflict }

// PrefixEnd returns the end of the key range that starts with prefix.
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
