// Package lease grants leases on names in the platform's table: at most one
// holder at a time has the lease on a name, and a fencing number grows with each
// acquisition.
//
// A holder measures the duration of its lease by its own clock, from before it
// sent the request to acquire or renew it, and stops using the lease a margin
// before the end. A contender measures the whole duration again from after it has
// read the row, and only then takes the lease over. The wall clocks of two
// machines are never compared. As with any lease, a holder that is paused between
// checking its lease and acting under it can still act late; the fencing number
// lets the receiver of the action refuse it.
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

// rowPrefix is the key prefix of the leases' rows; the name follows.
const rowPrefix = "lease/"

// maxClockDriftShare is the largest assumed difference between the rates of two
// machines' monotonic clocks, as a share of the elapsed time.
const maxClockDriftShare = 0.01

// Settings configure leases. All processes that use leases of one table must have
// the same settings.
type Settings struct {
	// Duration is the time after which a lease that is not renewed expires.
	Duration time.Duration `json:"duration"`
	// Margin is how long before the end of the lease the holder stops using it.
	Margin time.Duration `json:"margin"`
	// PollInterval is the time between two reads of a lease that another
	// holder has.
	PollInterval time.Duration `json:"poll_interval"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Duration: 10 * time.Second, Margin: time.Second, PollInterval: 500 * time.Millisecond}
}

// Validate returns an error that names the first setting that is invalid or
// contradicts another one.
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

// ErrLost is returned if the lease is no longer held.
var ErrLost = errors.New("lease lost")

// Lessor grants leases.
type Lessor interface {
	// Acquire waits until the lease on name is acquired or ctx ends.
	Acquire(ctx context.Context, name string) (*Lease, error)
}

// row is the content of a lease's row. The row is kept when the lease is
// released, so that the fencing number never restarts.
type row struct {
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// DurationMS is the holder's Settings.Duration in milliseconds. A contender
	// waits for this duration and not for its own.
	DurationMS int64 `json:"duration_ms"`
	// Renewals counts the renewals, so that each one changes the row.
	Renewals int64 `json:"beat"`
	Released bool  `json:"released,omitempty"`
	// AcquisitionID is unique for each acquisition.
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

// NewTable returns a lessor for one holder, such as an incarnation of a router.
// All leases that it acquires are held under this name.
func NewTable(s Settings, table platform.Table, c clock.Clock, holder string, events event.Recorder) *Table {
	return &Table{settings: s, table: table, clock: c, holder: holder, events: events}
}

// observedRow is the version of another holder's row and the time at which this
// version was first read.
type observedRow struct {
	version        int64
	unchangedSince time.Time
}

// Acquire implements Lessor. Conflicts are retried; any other error of the table
// is returned.
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

// TryAcquire acquires the lease if it is free. It returns nil and no error if
// the lease is held.
func (t *Table) TryAcquire(ctx context.Context, name string) (*Lease, error) {
	var observed observedRow
	l, err := t.tryAcquire(ctx, name, &observed)
	if platform.IsConflict(err) {
		return nil, nil
	}
	return l, err
}

// tryAcquire acquires the lease if it is free or has certainly expired. Otherwise
// it returns nil and notes in observed since when the row has been unchanged.
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

// expired reports whether the holder's duration, plus the possible clock drift,
// has elapsed since this version of the row was first read. Only the monotonic
// clock is used, because a jump of the wall clock must not end the wait early.
func (t *Table) expired(version int64, old row, observed *observedRow) bool {
	now := t.clock.Now()
	if observed.version != version {
		*observed = observedRow{version: version, unchangedSince: now}
		return false
	}
	duration := time.Duration(old.DurationMS) * time.Millisecond
	return now.Sub(observed.unchangedSince) > duration+time.Duration(maxClockDriftShare*float64(duration))
}

// writeAcquired writes the row of a new acquisition, on condition that the stored
// row still has the given version.
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

	writeMu sync.Mutex // held over a write of the row, which serializes the writes

	mu      sync.Mutex // guards all below; never held over a call of the table
	row     row
	version int64
	// renewedAt is the start of the last successful write of the row, from
	// which the duration is measured.
	renewedAt time.Time
	ended     bool // released or lost
}

// Fencing returns the fencing number, which every action under this lease must
// carry.
func (l *Lease) Fencing() int64 { return l.fencing }

// Holder returns the name of the holder.
func (l *Lease) Holder() string { return l.table.holder }

// Remaining returns how long the lease may still be used without a renewal. If it
// is 0 or less, the lease must not be used.
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

// Renew writes the row again. If it succeeds, the lease was still held, and its
// duration counts from the start of this write. If it returns ErrLost, another
// holder may have the lease; after any other error Renew may be called again.
func (l *Lease) Renew(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if !l.Valid() {
		return l.markLost()
	}
	err := l.renewOnce(ctx)
	if platform.IsConflict(err) && l.reloadRow(ctx) {
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

// renewOnce writes the row with the next renewal number.
func (l *Lease) renewOnce(ctx context.Context) error {
	l.mu.Lock()
	next, version := l.row, l.version
	l.mu.Unlock()
	next.Renewals++
	return l.write(ctx, version, next)
}

// reloadOwnRow reads the row and reports whether it still belongs to this lease;
// if so, it stores the row's version for the next write. The version differs if
// an earlier renewal was written and its response was lost. That renewal does not
// extend the lease, since renewedAt is not changed.
func (l *Lease) reloadRow(ctx context.Context) bool {
	rows, err := l.table.table.Get(ctx, rowPrefix+l.name)
	if err != nil {
		return false
	}
	var stored row
	if json.Unmarshal(rows[0].Value, &stored) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if stored.AcquisitionID != l.row.AcquisitionID || stored.Released {
		return false
	}
	l.row, l.version = stored, rows[0].Version
	return true
}

// write writes the row on condition that the stored one has the given version. If
// the outcome stays unknown, because a response was lost, it is resolved by
// reading the row.
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

// resolveWrite reads the row after a write with an unknown outcome. If the row's
// content is next, the write took effect and the row's version is returned. If it is
// not, the error has KindConflict.
func (l *Lease) resolveWrite(ctx context.Context, key string, next row) (int64, error) {
	rows, err := l.table.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var stored row
	if err := json.Unmarshal(rows[0].Value, &stored); err != nil {
		return 0, fmt.Errorf("decode lease %s: %w", l.name, err)
	}
	if stored != next {
		return 0, &platform.Error{Kind: platform.KindConflict, Step: "commit", Key: key}
	}
	return rows[0].Version, nil
}

// markLost ends the lease and returns ErrLost. It records the loss once.
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

// Release ends the lease, so that the next holder need not wait until it expires.
// All actions under the lease must have ended.
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

// Keep renews the lease until ctx ends, and then returns nil. If the lease is
// lost, it returns ErrLost, at the latest when Remaining reaches 0.
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

// recordEvent records an event about the lease.
func (l *Lease) recordEvent(kind event.Kind) {
	l.table.events.Record(event.Event{Component: event.ComponentLease, Kind: kind, Detail: fmt.Sprintf("%s, fencing number %d", l.name, l.fencing)})
}
