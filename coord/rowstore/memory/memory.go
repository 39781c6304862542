// Package memory implements a row store in the memory of one process, with faults
// that can be injected. Tests and stand-in servers use it.
package memory

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// Faults are injected faults of a store. The zero value injects none.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponses is the number of further commits that are applied but report
	// ErrUnknown.
	LoseResponses int
	// DeferCommits is the number of further commits that report ErrUnknown and are
	// kept until ApplyDeferred.
	DeferCommits int
}

// Counts are the numbers of calls that a store has served, by kind. Conflicts are
// included in Commits.
type Counts struct {
	Commits, Conflicts, Reads, ChangeReads int64
}

// Store is a rowstore.Store in memory.
type Store struct {
	mu               sync.Mutex // guards all fields below
	era              int64
	eras             rowstore.Eras // has a lock of its own
	version          int64
	compactedVersion int64 // history has all changes after this version
	rows             map[rowstore.Key]rowstore.Row
	history          []rowstore.Row // in the order of their versions
	deferred         []rowstore.Tx  // kept for ApplyDeferred
	faults           Faults
	counts           Counts
	started          time.Time
	changed          chan struct{} // closed at the next change
}

var _ rowstore.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	s := &Store{era: 1, rows: make(map[rowstore.Key]rowstore.Row), started: time.Now(), changed: make(chan struct{})}
	s.eras.Observe(s.era)
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) { s.SwapFaults(f) }

// SwapFaults replaces the injected faults and returns the previous ones.
func (s *Store) SwapFaults(f Faults) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.faults
	s.faults = f
	return previous
}

// Counts returns the numbers of calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact drops the history of changes, so that feeds from older versions fail with
// ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion, s.history = s.version, nil
}

// Copy is the content of a store at one moment.
type Copy struct {
	version, compactedVersion int64
	rows                      map[rowstore.Key]rowstore.Row
	history                   []rowstore.Row
}

// Copy returns the present content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, compactedVersion: s.compactedVersion, rows: maps.Clone(s.rows), history: slices.Clone(s.history)}
}

// Restore replaces the content by a copy and begins a new era: all later writes are
// lost, and their versions are given out again. Waiting feeds continue.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.compactedVersion = c.version, c.compactedVersion
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	close(s.changed)
	s.changed = make(chan struct{})
	s.eras.Observe(s.era)
}

// Era implements rowstore.Store. All users of the store see a new era at once.
func (s *Store) Era() int64 { return s.eras.Newest() }

// EraEnded implements rowstore.Store.
func (s *Store) EraEnded(era int64) <-chan struct{} { return s.eras.Ended(era) }

// ApplyDeferred applies the transactions that DeferCommits kept, each if its
// expectations hold now, and returns how many were applied.
func (s *Store) ApplyDeferred() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, tx := range s.deferred {
		if s.conflictLocked(tx) == nil {
			s.applyLocked(tx)
			applied++
		}
	}
	s.deferred = nil
	return applied
}

// injectFaults applies the faults that concern every call: a delay and an outage.
func (s *Store) injectFaults(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", rowstore.ErrUnknown, ctx.Err())
		}
	}
	if faults.Outage {
		return fmt.Errorf("injected outage: %w", rowstore.ErrUnavailable)
	}
	return nil
}

// Commit implements rowstore.Store.
func (s *Store) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	if err := s.injectFaults(ctx); err != nil {
		return rowstore.Result{}, fmt.Errorf("commit: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Commits++
	if n := tx.Entries(); n > rowstore.MaxEntries {
		return rowstore.Result{}, fmt.Errorf("commit of %d entries: %w", n, rowstore.ErrInvalid)
	}
	if s.faults.DeferCommits > 0 {
		s.faults.DeferCommits--
		s.deferred = append(s.deferred, tx)
		return rowstore.Result{}, fmt.Errorf("commit: %w", rowstore.ErrUnknown)
	}
	if conflict := s.conflictLocked(tx); conflict != nil {
		s.counts.Conflicts++
		return rowstore.Result{}, conflict
	}
	s.applyLocked(tx)
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return rowstore.Result{}, fmt.Errorf("commit: %w", rowstore.ErrUnknown)
	}
	return rowstore.Result{Version: s.version, Now: time.Since(s.started), Era: s.era}, nil
}

// conflictLocked returns a *rowstore.ConflictError if an expectation of tx does not
// hold, and nil otherwise.
func (s *Store) conflictLocked(tx rowstore.Tx) error {
	conflict := &rowstore.ConflictError{Era: s.era}
	failed := false
	for _, e := range tx.Expect {
		row, found := s.rows[e.Key]
		if !found {
			row = rowstore.Row{Key: e.Key}
		}
		failed = failed || row.Version != e.Version
		conflict.Rows = append(conflict.Rows, row)
	}
	if !failed {
		return nil
	}
	return conflict
}

// applyLocked applies the writes of tx as the next version and wakes waiting feeds.
func (s *Store) applyLocked(tx rowstore.Tx) {
	s.version++
	for _, p := range tx.Put {
		row := rowstore.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version}
		s.rows[p.Key] = row
		s.history = append(s.history, row)
	}
	for _, key := range tx.Remove {
		delete(s.rows, key)
		s.history = append(s.history, rowstore.Row{Key: key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements rowstore.Store.
func (s *Store) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if err := s.injectFaults(ctx); err != nil {
		return rowstore.Snapshot{}, fmt.Errorf("read %s: %w", table, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	snap := rowstore.Snapshot{Version: s.version, Now: time.Since(s.started), Era: s.era}
	for key, row := range s.rows {
		if key.Table == table && key.Part == part {
			snap.Rows = append(snap.Rows, row)
		}
	}
	slices.SortFunc(snap.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	return snap, nil
}

// Changes implements rowstore.Store.
func (s *Store) Changes(ctx context.Context, table string, since int64, wait time.Duration) (rowstore.Snapshot, error) {
	timeout := time.After(wait)
	for {
		if err := s.injectFaults(ctx); err != nil {
			return rowstore.Snapshot{}, fmt.Errorf("read changes of %s: %w", table, err)
		}
		snap, changed, err := s.changesSince(table, since)
		if err != nil || len(snap.Rows) > 0 {
			return snap, err
		}
		select {
		case <-changed:
		case <-timeout:
			return snap, nil
		case <-ctx.Done():
			return rowstore.Snapshot{}, fmt.Errorf("read changes of %s: %w: %w", table, rowstore.ErrUnavailable, ctx.Err())
		}
	}
}

// changesSince returns the changes of a table after a version, and a channel that
// is closed at the store's next change.
func (s *Store) changesSince(table string, since int64) (rowstore.Snapshot, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.ChangeReads++
	if since < s.compactedVersion || since > s.version {
		return rowstore.Snapshot{}, nil, fmt.Errorf("read changes of %s: %w", table, rowstore.ErrCompacted)
	}
	snap := rowstore.Snapshot{Version: s.version, Now: time.Since(s.started), Era: s.era}
	first, _ := slices.BinarySearchFunc(s.history, since+1, func(row rowstore.Row, version int64) int { return cmp.Compare(row.Version, version) })
	for _, row := range s.history[first:] {
		if row.Key.Table == table {
			snap.Rows = append(snap.Rows, row)
		}
	}
	return snap, s.changed, nil
}
