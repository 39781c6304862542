// Package rowstore defines the interface of a transactional store of rows in tables
// and partitions, with reads of a whole partition and a feed of changes.
//
// Writes carry no operation id. After a lost response, a writer learns whether the
// write was applied by reading a row that only it writes.
//
// A store can come back from a copy that lacks the newest writes, also those that it
// has acknowledged. It then begins a new era. Versions of the lost writes are given
// out again, so a version is comparable only to others of its era.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Key identifies a row. All rows of a transaction have the same Part.
type Key struct {
	Table string
	// Part is the partition; it may be empty.
	Part string
	Name string
}

// String returns table/part/name.
func (k Key) String() string { return k.Table + "/" + k.Part + "/" + k.Name }

// Row is a row of the store.
type Row struct {
	Key   Key
	Value []byte
	// Version is the number of the transaction that wrote the row, from one counter
	// for the whole store, or 0 for an absent row. A row that is put again after a
	// removal has a new, greater version.
	Version int64
	// Removed marks a row that a change feed reports as removed.
	Removed bool
}

// Expect requires that the row at Key has Version; 0 requires that it is absent.
type Expect struct {
	Key     Key
	Version int64
}

// Put writes Value at Key, whether or not the row exists.
type Put struct {
	Key   Key
	Value []byte
}

// Tx is one atomic transaction: if all expectations hold, all writes are applied,
// otherwise none.
type Tx struct {
	Expect []Expect
	Put    []Put
	Remove []Key
}

// MaxEntries is the greatest number of entries that a store accepts in a transaction.
const MaxEntries = 100

// Entries returns the number of entries of the transaction.
func (tx Tx) Entries() int { return len(tx.Expect) + len(tx.Put) + len(tx.Remove) }

// Result describes a transaction that was applied.
type Result struct {
	// Version is the version of all rows that the transaction put.
	Version int64
	// Now is the store's steady clock.
	Now time.Duration
	// Era is the era in which the transaction was applied.
	Era int64
}

// Snapshot is a set of rows as of one moment.
type Snapshot struct {
	// Rows are in ascending order of their keys' names.
	Rows []Row
	// Version is the newest version of the store at that moment, from which a
	// feed continues.
	Version int64
	// Now is the store's steady clock at that moment.
	Now time.Duration
	// Era is the era of the store at that moment.
	Era int64
}

// Store is a transactional store. Implementations are safe for concurrent use.
// Errors wrap one of the errors of this package, or are a *ConflictError.
type Store interface {
	// Commit applies tx, which has at most MaxEntries entries. If an expectation does not hold, it returns a
	// *ConflictError with the current rows of all expectations. ErrUnavailable says
	// that nothing was written. ErrUnknown says that the response was lost: the
	// transaction may have been applied, or may still be applied later if its
	// expectations hold then.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Read returns all rows of a table's partition.
	Read(ctx context.Context, table, part string) (Snapshot, error)
	// Changes returns the rows of a table, in all its partitions, that changed
	// after the version since. It returns as soon as there is one, or without rows
	// once wait has passed. ErrCompacted says that the history since then is not
	// kept, or that the store does not have that version. A caller whose version is
	// from an era before that of the snapshot must read the table again, since the
	// snapshot can lack changes.
	Changes(ctx context.Context, table string, since int64, wait time.Duration) (Snapshot, error)
	// Era returns the newest era that a response of the store carried, or 0 before
	// the first response. Responses to concurrent calls may be from an earlier era.
	Era() int64
	// EraEnded returns a channel that is closed once a response has carried a later
	// era than the given one. Whoever relies on what the store held in that era
	// waits for it.
	EraEnded(era int64) <-chan struct{}
}

// Errors of stores.
var (
	// ErrUnavailable: the store refused the call or was not reached; nothing was
	// written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown: the response was lost, so the outcome is unknown.
	ErrUnknown = errors.New("answer of the store lost")
	// ErrCompacted: the requested history is not kept.
	ErrCompacted = errors.New("history no longer kept")
	// ErrInvalid: the store does not accept the call; a retry does not help.
	ErrInvalid = errors.New("invalid call")
)

// ConflictError says that an expectation of a transaction did not hold, so that
// nothing was written.
type ConflictError struct {
	// Rows are the current rows of all expectations; absent ones have version 0.
	Rows []Row
	// Era is the era of the store that returned the rows.
	Era int64
}

// Error returns a message with the number of expectations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expectations on %d rows do not hold", len(e.Rows))
}

// Row returns the current row at key; an absent one has version 0.
func (e *ConflictError) Row(key Key) Row {
	for _, row := range e.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
