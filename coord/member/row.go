package member

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/platform"
)

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
