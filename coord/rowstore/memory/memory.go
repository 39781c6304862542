// Package memory implements a row store in the memory of one process, with
// faults that can be switched on. Tests and stand-in servers use it.
package memory

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// Faults are the faults of a store. The zero value is healthy.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers makes the next commits take effect and then report
	// ErrUnknown, this many times.
	LoseResponses int
	// ApplyLate makes the next commits report ErrUnknown and keeps them for
	// ApplyHeld, this many times.
	DeferCommits int
}

// Counts are the calls that a store has served.
type Counts struct {
	Commits, Conflicts, Reads, ChangeReads int64
}

// Store is a rowstore.Store in memory.
type Store struct {
	mu      sync.Mutex // guards all below
	version int64
	oldest  int64 // the history after this version is kept
	rows    map[rowstore.Key]rowstore.Row
	log     []rowstore.Row
	held    []rowstore.Tx
	faults  Faults
	counts  Counts
	started time.Time
	changed chan struct{} // closed at the next change
}

var _ rowstore.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{rows: make(map[rowstore.Key]rowstore.Row), started: time.Now(), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) { s.SwapFaults(f) }

// SwapFaults replaces the faults and returns those before.
func (s *Store) SwapFaults(f Faults) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults
	s.faults = f
	return before
}

// Counts returns the calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.log = s.version, nil
}

// ApplyHeld applies the transactions that ApplyLate kept, each if its
// expectations hold now, and returns how many were applied.
func (s *Store) ApplyDeferred() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, tx := range s.held {
		if s.conflictLocked(tx) == nil {
			s.applyLocked(tx)
			applied++
		}
	}
	s.held = nil
	return applied
}

func (s *Store) begin(ctx context.Context) error {
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
		return fmt.Errorf("outage: %w", rowstore.ErrUnavailable)
	}
	return nil
}

// Commit implements rowstore.Store.
func (s *Store) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	if err := s.begin(ctx); err != nil {
		return rowstore.Result{}, fmt.Errorf("commit: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Commits++
	if s.faults.DeferCommits > 0 {
		s.faults.DeferCommits--
		s.held = append(s.held, tx)
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
	return rowstore.Result{Version: s.version, Now: time.Since(s.started)}, nil
}

func (s *Store) conflictLocked(tx rowstore.Tx) error {
	conflict := &rowstore.ConflictError{}
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

func (s *Store) applyLocked(tx rowstore.Tx) {
	s.version++
	for _, p := range tx.Put {
		row := rowstore.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version}
		s.rows[p.Key] = row
		s.log = append(s.log, row)
	}
	for _, key := range tx.Remove {
		delete(s.rows, key)
		s.log = append(s.log, rowstore.Row{Key: key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements rowstore.Store.
func (s *Store) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if err := s.begin(ctx); err != nil {
		return rowstore.Snapshot{}, fmt.Errorf("read %s: %w", table, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	snap := rowstore.Snapshot{Version: s.version, Now: time.Since(s.started)}
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
		if err := s.begin(ctx); err != nil {
			return rowstore.Snapshot{}, fmt.Errorf("follow %s: %w", table, err)
		}
		snap, changed, err := s.changes(table, since)
		if err != nil || len(snap.Rows) > 0 {
			return snap, err
		}
		select {
		case <-changed:
		case <-timeout:
			return snap, nil
		case <-ctx.Done():
			return rowstore.Snapshot{}, fmt.Errorf("follow %s: %w: %w", table, rowstore.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) changes(table string, since int64) (rowstore.Snapshot, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.ChangeReads++
	if since < s.oldest {
		return rowstore.Snapshot{}, nil, fmt.Errorf("follow %s: %w", table, rowstore.ErrCompacted)
	}
	snap := rowstore.Snapshot{Version: s.version, Now: time.Since(s.started)}
	first, _ := slices.BinarySearchFunc(s.log, since+1, func(row rowstore.Row, version int64) int { return cmp.Compare(row.Version, version) })
	for _, row := range s.log[first:] {
		if row.Key.Table == table {
			snap.Rows = append(snap.Rows, row)
		}
	}
	return snap, s.changed, nil
}
