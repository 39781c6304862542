// Package memory implements package platform in the memory of one process, with
// faults that can be injected. Tests and the stand-in servers use it.
package memory

import (
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Faults are the faults that a Client injects. The zero value injects none.
type Faults struct {
	// Outage makes every call fail with KindUnavailable and without effect.
	Outage bool `json:"outage"`
	// Delay is added to every call. In JSON it is in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of next commits that take effect and then
	// return KindUnknown; -1 means all, until the faults are replaced.
	LoseResponses int `json:"lose_replies"`
	// LoseRequests is the number of next commits that return KindUnknown
	// without effect; -1 means all, until the faults are replaced.
	LoseRequests int `json:"lose_requests"`
}

// Counts are the numbers of calls and rows that a store has served.
type Counts struct {
	Commits     int64 `json:"commits"`
	Conflicts   int64 `json:"conflicts"`
	RowsWritten int64 `json:"rows_written"`
	RowsRead    int64 `json:"rows_read"`
	Reads       int64 `json:"reads"`
}

// Store is the state of the platform, which all clients share. Each of them uses
// its own Client, so that faults can be injected for each one separately. Store is
// safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu       sync.Mutex // guards all below
	rows     map[string]platform.Row
	keys     []string // sorted keys of rows that exist
	objects  map[string][]byte
	vms      []platform.VM
	receipts map[string]platform.Receipt
	counts   Counts
}

// NewStore returns an empty store. Injected delays are timed by c.
func NewStore(c clock.Clock) *Store {
	return &Store{
		clock:    c,
		rows:     make(map[string]platform.Row),
		objects:  make(map[string][]byte),
		receipts: make(map[string]platform.Receipt),
	}
}

// NewClient returns a new client of the store, without faults.
func (s *Store) NewClient() *Client { return &Client{store: s} }

// Counts returns the calls and rows served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// ForgetOpIDs forgets the results of all operation ids, as a service does after
// some time.
func (s *Store) ForgetOpIDs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.receipts)
}

// get reads the rows at keys; see platform.Table.
func (s *Store) get(keys []string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.readLocked(key)
	}
	s.counts.Reads++
	s.counts.RowsRead += int64(len(keys))
	return rows
}

// readLocked returns the row at key. A deleted row keeps its version in s.rows, so
// that the version numbers continue, but reads as absent. The caller holds s.mu.
func (s *Store) readLocked(key string) platform.Row {
	row := s.rows[key]
	if row.Value == nil {
		return platform.Row{Key: key}
	}
	row.Value = slices.Clone(row.Value)
	return row
}

// scan reads a range of rows; see platform.Table.Range.
func (s *Store) scan(from, to string, limit int) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for i := sort.SearchStrings(s.keys, from); i < len(s.keys) && len(rows) < limit; i++ {
		if to != "" && s.keys[i] >= to {
			break
		}
		rows = append(rows, s.readLocked(s.keys[i]))
	}
	s.counts.Reads++
	s.counts.RowsRead += int64(len(rows))
	return rows
}

// commit applies a transaction or returns a conflict. A repeated operation id
// returns the first receipt.
func (s *Store) commit(txn platform.Txn) (platform.Receipt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Commits++
	if receipt, done := s.receipts[txn.OpID]; done {
		return receipt, nil
	}
	for _, cond := range txn.Conds {
		if s.readLocked(cond.Key).Version != cond.Version {
			s.counts.Conflicts++
			return platform.Receipt{}, &platform.Error{Kind: platform.KindConflict, Step: "commit", Key: cond.Key}
		}
	}
	var receipt platform.Receipt
	for _, write := range txn.Writes {
		receipt.Versions = append(receipt.Versions, s.writeLocked(write))
	}
	s.receipts[txn.OpID] = receipt
	return receipt, nil
}

// writeLocked applies one write and returns the new version of the row. The caller
// holds s.mu.
func (s *Store) writeLocked(write platform.Write) int64 {
	old := s.rows[write.Key]
	row := platform.Row{Key: write.Key, Version: old.Version + 1}
	if !write.Delete {
		row.Value = append([]byte{}, write.Value...)
	}
	s.rows[write.Key] = row
	s.counts.RowsWritten++
	s.indexLocked(write.Key, old.Value != nil, row.Value != nil)
	return row.Version
}

// indexLocked updates the sorted key list after a write of key. existed and exists
// say whether the row was there before and after the write. The caller holds s.mu.
func (s *Store) indexLocked(key string, existed, exists bool) {
	if existed == exists {
		return
	}
	i := sort.SearchStrings(s.keys, key)
	if exists {
		s.keys = slices.Insert(s.keys, i, key)
		return
	}
	s.keys = slices.Delete(s.keys, i, i+1)
}

// outcome returns the receipt of an operation id, or false.
func (s *Store) outcome(opID string) (platform.Receipt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	receipt, done := s.receipts[opID]
	s.counts.Reads++
	s.counts.RowsRead++
	return receipt, done
}

// Client is one client of a Store, with faults of its own. It implements
// platform.Platform.
type Client struct {
	store *Store

	mu     sync.Mutex // guards faults
	faults Faults
}

var _ platform.Platform = (*Client)(nil)

// SetFaults replaces the faults of this client.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// errOutage is the cause of errors during an injected outage.
var errOutage = errors.New("outage")

// beforeCall applies the injected delay and outage to a call. It returns an error
// if the call must fail.
func (c *Client) beforeCall(ctx context.Context, step string) error {
	c.mu.Lock()
	delay := c.faults.Delay
	c.mu.Unlock()
	if delay > 0 {
		if err := clock.Sleep(ctx, c.store.clock, delay); err != nil {
			return &platform.Error{Kind: platform.KindUnavailable, Step: step, Err: err}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Outage {
		return &platform.Error{Kind: platform.KindUnavailable, Step: step, Err: errOutage}
	}
	if err := ctx.Err(); err != nil {
		return &platform.Error{Kind: platform.KindUnavailable, Step: step, Err: err}
	}
	return nil
}

// consumeFault reports whether a counted fault applies now, and decrements its
// count unless that is negative.
func (c *Client) consumeFault(count func(*Faults) *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := count(&c.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := c.beforeCall(ctx, "get"); err != nil {
		return nil, err
	}
	return c.store.get(keys), nil
}

// Range implements platform.Table.
func (c *Client) Range(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	if err := c.beforeCall(ctx, "range"); err != nil {
		return nil, err
	}
	return c.store.scan(from, to, limit), nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (platform.Receipt, error) {
	if err := txn.Validate(); err != nil {
		return platform.Receipt{}, &platform.Error{Kind: platform.KindInvalid, Step: "commit", Err: err}
	}
	if err := c.beforeCall(ctx, "commit"); err != nil {
		return platform.Receipt{}, err
	}
	responseLost := &platform.Error{Kind: platform.KindUnknown, Step: "commit", Err: errors.New("reply lost")}
	if c.consumeFault(func(f *Faults) *int { return &f.LoseRequests }) {
		return platform.Receipt{}, responseLost
	}
	receipt, err := c.store.commit(txn)
	if c.consumeFault(func(f *Faults) *int { return &f.LoseResponses }) {
		return platform.Receipt{}, responseLost
	}
	return receipt, err
}

// Outcome implements platform.Table.
func (c *Client) Outcome(ctx context.Context, opID string) (platform.Receipt, bool, error) {
	if err := c.beforeCall(ctx, "outcome"); err != nil {
		return platform.Receipt{}, false, err
	}
	receipt, done := c.store.outcome(opID)
	return receipt, done, nil
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	if err := c.beforeCall(ctx, "put object"); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.objects[name] = slices.Clone(data)
	return nil
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := c.beforeCall(ctx, "get object"); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	data, found := c.store.objects[name]
	if !found {
		return nil, &platform.Error{Kind: platform.KindNotFound, Step: "get object", Key: name}
	}
	return slices.Clone(data), nil
}

// ListVMs implements platform.VMs.
func (c *Client) ListVMs(ctx context.Context) ([]platform.VM, error) {
	if err := c.beforeCall(ctx, "list VMs"); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return slices.Clone(c.store.vms), nil
}

// Dump returns the rows whose keys start with prefix, without injected faults. Tests
// use it to check invariants.
func (s *Store) Dump(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for _, key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, s.readLocked(key))
		}
	}
	return rows
}
