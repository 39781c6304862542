package member

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Store is the part of the platform that membership uses.
type Store interface {
	platform.Table
	platform.VMs
}

// Directory is the state of the fleet as one member sees it, and keeps the row of
// this member. It is safe for concurrent use.
type Directory struct {
	settings Settings
	store    Store
	clock    clock.Clock
	events   event.Recorder

	// heartbeatMu serializes the heartbeats of this member. It is held over
	// calls of the store; only other heartbeats wait for it.
	heartbeatMu sync.Mutex

	mu                    sync.Mutex // guards all below; never held over a call of the store
	self                  bus.Peer
	deregistered          bool  // Deregister was called; there are no more heartbeats
	rowVersion            int64 // of this member's row, 0 while it has none
	heartbeatCount        int64
	lastHeartbeat         time.Time           // start of the last successful write of this member's row
	predecessorReplacedAt time.Time           // when another incarnation's row was overwritten, or zero
	rowPresentSince       time.Time           // end of the write since which the row has always existed
	lastListing           time.Time           // when another member's listing was last merged or found equal
	entries               map[string]*entry   // other members by VM
	vms                   map[string]*vmEntry // by VM
}

// NewDirectory returns an empty directory of the member self. Its row is written
// by Register or by Run.
func NewDirectory(s Settings, self bus.Peer, store Store, c clock.Clock, events event.Recorder) *Directory {
	return &Directory{
		settings: s, self: self, store: store, clock: c, events: events,
		entries: make(map[string]*entry), vms: make(map[string]*vmEntry),
	}
}

// SetAddrs sets the host:port at which this member listens for other members and
// the base URL of its operator API. It is called before Register.
func (d *Directory) SetAddrs(addr, operator string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Addr, d.self.Operator = addr, operator
}

// Register writes this member's row. It overwrites the row of a previous
// incarnation on the same VM.
func (d *Directory) Register(ctx context.Context) error {
	rows, err := d.store.Get(ctx, rowPrefix+d.self.ID.VM)
	if err != nil {
		return fmt.Errorf("register member: %w", err)
	}
	return d.writeRow(ctx, rows[0])
}

// writeRow writes this member's row, on condition that the stored row is still
// old.
func (d *Directory) writeRow(ctx context.Context, old platform.Row) error {
	otherIncarnation, err := d.isOtherIncarnation(old)
	if err != nil {
		return err
	}
	version := old.Version
	d.mu.Lock()
	d.heartbeatCount++
	r := record{Peer: d.self, Heartbeat: d.heartbeatCount}
	d.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	key := rowPrefix + r.Peer.ID.VM
	started := d.clock.Now()
	receipt, err := platform.CommitUntilKnown(ctx, d.store, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write member: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rowVersion == 0 || d.rowVersion != version {
		d.rowPresentSince = d.clock.Now()
	}
	if otherIncarnation {
		d.predecessorReplacedAt = d.clock.Now()
	}
	d.rowVersion, d.lastHeartbeat = receipt.Versions[0], started
	return nil
}

// isOtherIncarnation reports whether a row of this VM exists and belongs to
// another incarnation.
func (d *Directory) isOtherIncarnation(row platform.Row) (bool, error) {
	if row.Version == 0 {
		return false, nil
	}
	r, err := decode(row)
	return r.Peer.ID != d.self.ID, err
}

// Heartbeat writes this member's row, also if other members have removed it. It
// returns ErrSuperseded if the row belongs to another incarnation and this member
// had registered before. It does nothing after Deregister, or if another
// heartbeat that began after this call has been written meanwhile.
func (d *Directory) Heartbeat(ctx context.Context) error {
	requestedAt := d.clock.Now()
	d.heartbeatMu.Lock()
	defer d.heartbeatMu.Unlock()
	if d.isDeregistered() || d.heartbeatWrittenSince(requestedAt) {
		return nil
	}
	rows, err := d.store.Get(ctx, rowPrefix+d.self.ID.VM)
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	if rows[0].Version != 0 && d.isRegistered() {
		r, err := decode(rows[0])
		if err != nil {
			return err
		}
		if r.Peer.ID != d.self.ID {
			return fmt.Errorf("heartbeat: %w: %s", ErrSuperseded, r.Peer.ID)
		}
	}
	return d.writeRow(ctx, rows[0])
}

// heartbeatWrittenSince reports whether a heartbeat whose write began after t
// succeeded.
func (d *Directory) heartbeatWrittenSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rowVersion != 0 && d.lastHeartbeat.After(t)
}

// isDeregistered reports whether Deregister was called.
func (d *Directory) isDeregistered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deregistered
}

// isRegistered reports whether this member's row was written.
func (d *Directory) isRegistered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rowVersion != 0
}

// LastHeartbeat returns when the last successful write of this member's row
// began, by this process's clock, or the zero time if there was none.
func (d *Directory) LastHeartbeat() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastHeartbeat
}

// RowPresentSince returns since when this member's row has existed without
// interruption, by this process's clock, or the zero time if it was never written.
func (d *Directory) RowPresentSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rowPresentSince
}

// PredecessorReplacedAt returns when this member overwrote the row of a previous
// incarnation on its VM, or the zero time. Promises that the previous incarnation
// gave to other members may still be valid.
func (d *Directory) PredecessorReplacedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.predecessorReplacedAt
}

// Deregister removes this member's row and stops its heartbeats. The member must
// have stopped accepting work.
func (d *Directory) Deregister(ctx context.Context) error {
	d.mu.Lock()
	key, version := rowPrefix+d.self.ID.VM, d.rowVersion
	d.rowVersion, d.lastHeartbeat, d.deregistered = 0, time.Time{}, true
	d.mu.Unlock()
	if version == 0 {
		return nil
	}
	return d.removeRow(ctx, key, version)
}

// removeRow deletes a member's row if it still has the given version.
func (d *Directory) removeRow(ctx context.Context, key string, version int64) error {
	_, err := platform.CommitUntilKnown(ctx, d.store, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil && !platform.IsConflict(err) {
		return fmt.Errorf("remove member: %w", err)
	}
	return nil
}

// Refresh reads all rows and the platform's VM list.
func (d *Directory) Refresh(ctx context.Context) error {
	if err := d.RefreshRows(ctx); err != nil {
		return err
	}
	return d.RefreshVMs(ctx)
}

// RefreshVMs reads the platform's VM list. It then removes the rows of members
// without a heartbeat for RemoveAfter and of members whose VM is terminated.
func (d *Directory) RefreshVMs(ctx context.Context) error {
	vms, err := d.store.ListVMs(ctx)
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	now := d.clock.Now()
	d.mu.Lock()
	d.mergeVMs(vms, now)
	removable := d.removableRowsLocked(now)
	d.mu.Unlock()
	for _, row := range removable {
		if err := d.removeRow(ctx, row.Key, row.Version); err != nil {
			return err
		}
	}
	return nil
}

// RefreshRows reads all rows. When it returns nil, the directory contains every
// member that had registered before the call.
func (d *Directory) RefreshRows(ctx context.Context) error {
	rows, err := d.readRows(ctx)
	if err != nil {
		return fmt.Errorf("read members: %w", err)
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mergeRows(rows, now)
	return nil
}

// readRows reads the rows of all members, page by page.
func (d *Directory) readRows(ctx context.Context) ([]platform.Row, error) {
	var rows []platform.Row
	from, end := rowPrefix, platform.PrefixEnd(rowPrefix)
	for {
		page, err := d.store.Range(ctx, from, end, rowsPerRead)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rowsPerRead {
			return rows, nil
		}
		from = page[len(page)-1].Key + "\x00"
	}
}

// decode decodes a member's row.
func decode(row platform.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("decode member %s: %w", row.Key, err)
	}
	return r, nil
}

// mergeRows replaces the members by those of the rows. A member that never had a
// row is kept for SilentAfter since it last connected. The caller holds d.mu.
func (d *Directory) mergeRows(rows []platform.Row, now time.Time) {
	registered := make(map[string]bool, len(rows))
	for _, row := range rows {
		r, err := decode(row)
		if err != nil || r.Peer.ID.VM == d.self.ID.VM {
			continue // written by another version of the software, or this member's
		}
		registered[r.Peer.ID.VM] = true
		d.mergeRow(r, row.Version, now)
	}
	for vm, e := range d.entries {
		expired := now.Sub(e.heartbeatSeenAt) > d.settings.SilentAfter
		if !registered[vm] && (e.rowVersion != 0 || expired) {
			delete(d.entries, vm)
			d.recordEvent(event.MemberLeft, e.peer.ID)
		}
	}
}

// mergeRow adds or updates one other member. The caller holds d.mu.
func (d *Directory) mergeRow(r record, version int64, now time.Time) {
	e := d.entries[r.Peer.ID.VM]
	if e == nil || e.peer.ID != r.Peer.ID {
		e = &entry{}
		d.entries[r.Peer.ID.VM] = e
		d.recordEvent(event.MemberJoined, r.Peer.ID)
	}
	if e.rowVersion == 0 || e.heartbeatCount != r.Heartbeat {
		e.heartbeatSeenAt = now
	}
	e.peer, e.rowVersion, e.heartbeatCount = r.Peer, version, r.Heartbeat
}

// removableRowsLocked returns the rows of members that have been silent for
// RemoveAfter or whose VM is terminated. The caller holds d.mu.
func (d *Directory) removableRowsLocked(now time.Time) []platform.Row {
	var removable []platform.Row
	for vm, e := range d.entries {
		if e.rowVersion != 0 && (now.Sub(e.heartbeatSeenAt) > d.settings.RemoveAfter || d.terminatedLocked(vm, now)) {
			removable = append(removable, platform.Row{Key: rowPrefix + vm, Version: e.rowVersion})
		}
	}
	return removable
}

// recordEvent records an event about another member.
func (d *Directory) recordEvent(kind event.Kind, id bus.ID) {
	d.events.Record(event.Event{Component: event.ComponentMember, Kind: kind, Peer: id.String()})
}

// Live lists the other members that are considered alive, in order of VM: those
// that are not suspected, silent or terminated.
func (d *Directory) Live() []bus.Peer {
	var peers []bus.Peer
	for _, s := range d.Members() {
		if !s.Suspected && !s.Silent && !s.Terminated {
			peers = append(peers, s.Peer)
		}
	}
	return peers
}

// Members lists all other members in the directory, in order of VM.
func (d *Directory) Members() []Status {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Status, 0, len(d.entries))
	for vm, e := range d.entries {
		all = append(all, Status{
			Peer:         e.peer,
			Suspected:    now.Before(e.suspectUntil),
			Silent:       now.Sub(e.heartbeatSeenAt) > d.settings.SilentAfter,
			Leaving:      d.leavingLocked(vm),
			Terminated:   d.terminatedLocked(vm, now),
			Unregistered: e.rowVersion == 0,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Peer.ID.VM, b.Peer.ID.VM) })
	return all
}

// Lookup returns the entry of a member, with the address at which it listens, or
// false if this incarnation is not in the directory.
func (d *Directory) Lookup(id bus.ID) (bus.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id.VM]
	if e == nil || e.peer.ID != id {
		return bus.Peer{}, false
	}
	return e.peer, true
}

// MarkReachable is called when a connection with a member is established. It ends
// a suspicion. A member without a row is added, and removed if it does not connect
// again within SilentAfter.
func (d *Directory) MarkReachable(p bus.Peer) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.ID.VM == d.self.ID.VM {
		return
	}
	e := d.entries[p.ID.VM]
	if e == nil || e.rowVersion == 0 && e.peer.ID != p.ID {
		d.entries[p.ID.VM] = &entry{peer: p, heartbeatSeenAt: now}
		d.recordEvent(event.MemberJoined, p.ID)
		return
	}
	if e.peer.ID == p.ID {
		e.suspectUntil = time.Time{}
		if e.rowVersion == 0 {
			e.heartbeatSeenAt = now
		}
	}
}

// Suspect is called when a member could not be reached. Its only effect is that
// Live leaves the member out for SuspectFor.
func (d *Directory) Suspect(id bus.ID) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id.VM]
	if e == nil || e.peer.ID != id {
		return
	}
	if !now.Before(e.suspectUntil) {
		d.recordEvent(event.MemberSuspected, id)
	}
	e.suspectUntil = now.Add(d.settings.SuspectFor)
}

// Run registers this member, writes its heartbeats and refreshes the directory
// until ctx ends; then it returns nil. The table is not read while other members'
// listings are up to date. Run returns ErrSuperseded if a newer incarnation has
// taken over the row; other errors are passed to onError and retried.
func (d *Directory) Run(ctx context.Context, onError func(error)) error {
	nextHeartbeat, nextRead := d.clock.Now(), d.clock.Now()
	for {
		now := d.clock.Now()
		if !now.Before(nextHeartbeat) {
			err := d.withTimeout(ctx, d.Heartbeat)
			if errors.Is(err, ErrSuperseded) {
				return err
			}
			if err == nil {
				nextHeartbeat = now.Add(d.settings.HeartbeatInterval)
			}
			reportUnlessDone(ctx, err, onError)
		}
		interval, skip := d.nextRefresh()
		switch {
		case skip:
		case !now.Before(nextRead):
			reportUnlessDone(ctx, d.withTimeout(ctx, d.Refresh), onError)
			nextRead = now.Add(interval)
		default:
			reportUnlessDone(ctx, d.withTimeout(ctx, d.RefreshVMs), onError)
		}
		if err := clock.Sleep(ctx, d.clock, d.settings.ListInterval); err != nil {
			return nil
		}
	}
}

// withTimeout runs a call of the store for at most HeartbeatInterval.
func (d *Directory) withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.HeartbeatInterval)
	defer cancel()
	return call(ctx)
}
