// Package lease gives one holder at a time the use of a name, with a fencing
// number that grows with each new holder.
//
// A holder measures its time from before it asked for the lease or its
// renewal, by its own monotonic clock, and gives the lease up a margin before
// the end. A contender measures the whole time again, from after it has read
// the row, before it takes over; no two machines' wall clocks are compared.
// A holder that is paused between a check and an act may still act late, as
// with any lease; the fencing number lets whoever receives the act refuse it.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// rowPrefix starts the key of every lease's row.
const rowPrefix = "lease/"

// driftShare is the largest rate by which two machines' monotonic clocks are
// taken to differ, as a share of the time that passes.
const maxClockDriftShare = 0.01

// Settings are the settings of leases. All users of a table share them.
type Settings struct {
	// Duration is the time for which a lease is held without renewal.
	Duration time.Duration `json:"duration"`
	// Margin is how long before the end the holder gives the lease up.
	Margin time.Duration `json:"margin"`
	// PollInterval is the time between two looks at a lease held by another.
	PollInterval time.Duration `json:"poll_interval"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Duration: 10 * time.Second, Margin: time.Second, PollInterval: 500 * time.Millisecond}
}

// Validate returns an error that names the settings that contradict each
// other.
func (s Settings) Validate() error {
	switch {
	case s.Duration < 100*time.Millisecond:
		return errors.New("lease duration is below 100ms")
	case s.Margin < time.Duration(2*maxClockDriftShare*float64(s.Duration)) || s.Margin > s.Duration/2:
		return errors.New("lease margin is not between 2% and half of the duration")
	case s.PollInterval <= 0 || s.PollInterval > s.Duration:
		return errors.New("lease poll interval is not between 0 and the duration")
	}
	return nil
}

// ErrLost says that the lease is no longer held.
var ErrLost = errors.New("lease lost")

// Lessor gives leases.
type Lessor interface {
	// Acquire waits until the lease on name is held or ctx ends.
	Acquire(ctx context.Context, name string) (*Lease, error)
}

// row is the content of a lease's row. The row stays when the lease is
// released, so that the fencing number goes on.
type row struct {
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// DurationMS is the holder's, which the contender waits for.
	DurationMS int64 `json:"duration_ms"`
	// Beat makes each renewal change the row.
	Renewals int64 `json:"beat"`
	Released bool  `json:"released,omitempty"`
	// Op identifies the acquisition.
	AcquisitionID string `json:"op"`
}

// Table is a Lessor over the platform's table. It is safe for concurrent use.
type Table struct {
	settings Settings
	table    platform.Table
	clock    clock.Clock
	holder   string
	events   event.Recorder
}

var _ Lessor = (*Table)(nil)

// NewTable returns the lessor of one holder, such as a router's incarnation.
func NewTable(s Settings, table platform.Table, c clock.Clock, holder string, events event.Recorder) *Table {
	return &Table{settings: s, table: table, clock: c, holder: holder, events: events}
}

// seen is a held row and when it was first seen unchanged.
type observedRow struct {
	version        int64
	unchangedSince time.Time
}

// Acquire implements Lessor.
func (t *Table) Acquire(ctx context.Context, name string) (*Lease, error) {
	var observed observedRow
	for {
		l, err := t.tryAcquire(ctx, name, &observed)
		if l != nil {
			return l, nil
		}
		if err != nil && platform.KindOf(err) != platform.KindConflict {
			return nil, fmt.Errorf("acquire lease %s: %w", name, err)
		}
		if err := clock.Sleep(ctx, t.clock, t.settings.PollInterval); err != nil {
			return nil, fmt.Errorf("acquire lease %s: %w", name, err)
		}
	}
}

// TryAcquire takes the lease if it is free, and returns nil if it is held.
func (t *Table) TryAcquire(ctx context.Context, name string) (*Lease, error) {
	var held observedRow
	l, err := t.tryAcquire(ctx, name, &held)
	if platform.IsConflict(err) {
		return nil, nil
	}
	return l, err
}

// try takes the lease if it is free or if its holder's time has surely
// passed. Otherwise it notes in held since when the row is unchanged.
func (t *Table) tryAcquire(ctx context.Context, name string, observed *observedRow) (*Lease, error) {
	rows, err := t.table.Get(ctx, rowPrefix+name)
	if err != nil {
		return nil, err
	}
	var old row
	if rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &old); err != nil {
			return nil, fmt.Errorf("decode lease %s: %w", name, err)
		}
	}
	if rows[0].Version != 0 && !old.Released && !t.expired(rows[0].Version, old, observed) {
		return nil, nil
	}
	return t.writeAcquired(ctx, name, rows[0].Version, old.Fencing+1)
}

// passed reports whether the holder's time has passed since the row was first
// seen unchanged. Only the monotonic clock counts: a jump must not end the
// wait early.
func (t *Table) expired(version int64, old row, observed *observedRow) bool {
	now := t.clock.Now()
	if observed.version != version {
		*observed = observedRow{version: version, unchangedSince: now}
		return false
	}
	duration := time.Duration(old.DurationMS) * time.Millisecond
	return now.Sub(observed.unchangedSince) > duration+time.Duration(maxClockDriftShare*float64(duration))
}

// take writes the row over the version given.
func (t *Table) writeAcquired(ctx context.Context, name string, version, fencing int64) (*Lease, error) {
	l := &Lease{table: t, name: name, fencing: fencing, row: row{
		Holder: t.holder, Fencing: fencing, DurationMS: t.settings.Duration.Milliseconds(), AcquisitionID: uuid.NewString(),
	}}
	if err := l.write(ctx, version, l.row); err != nil {
		return nil, err
	}
	l.recordEvent(event.LeaseAcquired)
	return l, nil
}

// Lease is a lease that was acquired. It is safe for concurrent use.
type Lease struct {
	table   *Table
	name    string
	fencing int64

	writeMu sync.Mutex // held over a write of the row: one at a time

	mu      sync.Mutex // guards all below; never held over a call of the table
	row     row
	version int64
	// since is the start of the last successful write: the holder's time
	// counts from there.
	renewedAt time.Time
	ended     bool
}

// Fencing returns the number that acts under this lease carry.
func (l *Lease) Fencing() int64 { return l.fencing }

// Holder returns the name under which the lease is held.
func (l *Lease) Holder() string { return l.table.holder }

// Remaining returns the time for which the lease may still be used; 0 or less
// means that it may not.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0
	}
	s := l.table.settings
	return s.Duration - s.Margin - clock.Elapsed(l.renewedAt, l.table.clock.Now())
}

// Valid reports whether the lease may be used now.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Renew writes the row again, which proves that the lease was still held and
// starts its time anew. After ErrLost another may hold it.
func (l *Lease) Renew(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if !l.Valid() {
		return l.markLost()
	}
	err := l.renewOnce(ctx)
	if platform.IsConflict(err) && l.reloadOwnRow(ctx) {
		err = l.renewOnce(ctx)
	}
	if platform.IsConflict(err) {
		return l.markLost()
	}
	if err != nil {
		return fmt.Errorf("renew lease %s: %w", l.name, err)
	}
	return nil
}

func (l *Lease) renewOnce(ctx context.Context) error {
	l.mu.Lock()
	next, version := l.row, l.version
	l.mu.Unlock()
	next.Renewals++
	return l.write(ctx, version, next)
}

// adopt takes over the row's version if the row is still this lease's: an
// earlier renewal may have been written without its reply coming back. The
// holder's time does not start anew by it.
func (l *Lease) reloadOwnRow(ctx context.Context) bool {
	rows, err := l.table.table.Get(ctx, rowPrefix+l.name)
	if err != nil {
		return false
	}
	var now row
	if json.Unmarshal(rows[0].Value, &now) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.AcquisitionID != l.row.AcquisitionID || now.Released {
		return false
	}
	l.row, l.version = now, rows[0].Version
	return true
}

// write puts the row over the version given. A conflict after a lost reply
// is settled by reading the row.
func (l *Lease) write(ctx context.Context, version int64, next row) error {
	key := rowPrefix + l.name
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", l.name, err)
	}
	started := l.table.clock.Now()
	receipt, err := platform.CommitUntilKnown(ctx, l.table.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	var written int64
	switch {
	case err == nil:
		written = receipt.Versions[0]
	case platform.KindOf(err) == platform.KindUnknown && ctx.Err() == nil:
		if written, err = l.resolveWrite(ctx, key, next); err != nil {
			return err
		}
	default:
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row, l.version, l.renewedAt = next, written, started
	return nil
}

// settle reads back whether the row is the one written.
func (l *Lease) resolveWrite(ctx context.Context, key string, next row) (int64, error) {
	rows, err := l.table.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var now row
	if err := json.Unmarshal(rows[0].Value, &now); err != nil {
		return 0, fmt.Errorf("decode lease %s: %w", l.name, err)
	}
	if now != next {
		return 0, &platform.Error{Kind: platform.KindConflict, Step: "commit", Key: key}
	}
	return rows[0].Version, nil
}

// lose ends the lease.
func (l *Lease) markLost() error {
	l.mu.Lock()
	newlyEnded := !l.ended
	l.ended = true
	l.mu.Unlock()
	if newlyEnded {
		l.recordEvent(event.LeaseLost)
	}
	return fmt.Errorf("lease %s: %w", l.name, ErrLost)
}

// Release gives the lease back, so that the next holder need not wait. All
// acts under it must have ended.
func (l *Lease) Release(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	next, version, ended := l.row, l.version, l.ended
	l.ended = true
	l.mu.Unlock()
	if ended {
		return nil
	}
	next.Released = true
	if err := l.write(ctx, version, next); err != nil && !platform.IsConflict(err) {
		return fmt.Errorf("release lease %s: %w", l.name, err)
	}
	l.recordEvent(event.LeaseReleased)
	return nil
}

// Keep renews the lease until ctx ends or it is lost; then it returns
// ErrLost, at the latest when the holder's time is over.
func (l *Lease) Keep(ctx context.Context) error {
	interval := l.table.settings.Duration / 3
	for {
		remaining := l.Remaining()
		if remaining <= 0 {
			return l.markLost()
		}
		if clock.Sleep(ctx, l.table.clock, min(interval, remaining)) != nil {
			return nil
		}
		renewCtx, cancel := context.WithTimeout(ctx, interval)
		err := l.Renew(renewCtx)
		cancel()
		if errors.Is(err, ErrLost) {
			return err
		}
	}
}

func (l *Lease) recordEvent(kind event.Kind) {
	l.table.events.Record(event.Event{Component: event.ComponentLease, Kind: kind, Detail: fmt.Sprintf("%s, fencing number %d", l.name, l.fencing)})
}
