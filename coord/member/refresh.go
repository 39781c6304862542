package member

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

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
