package member

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/platform"
)

// vmEntry is what the platform's list said of one VM.
type vmEntry struct {
	leaving bool
	// missingSince is when the list was first seen without the VM.
	missingSince time.Time
}

// mergeVMs takes over the platform's list.
func (d *Directory) mergeVMs(vms []platform.VM, now time.Time) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		d.vms[vm.ID] = &vmEntry{leaving: vm.State == platform.VMLeaving}
	}
	for id, e := range d.vms {
		if listed[id] {
			continue
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		if now.Sub(e.missingSince) > d.settings.RemoveAfter {
			delete(d.vms, id)
		}
	}
}

// goneLocked reports whether the list lacks a VM that it had.
func (d *Directory) terminatedLocked(vm string, now time.Time) bool {
	e := d.vms[vm]
	return e != nil && !e.missingSince.IsZero() && now.Sub(e.missingSince) >= d.settings.TerminatedAfter
}

func (d *Directory) leavingLocked(vm string) bool {
	e := d.vms[vm]
	return e != nil && (e.leaving || !e.missingSince.IsZero())
}

// VMLeaving reports whether the platform's list says that the VM, of a member
// or of an endpoint, is leaving or has left.
func (d *Directory) VMLeaving(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leavingLocked(vm)
}

// report hands an error to failed unless the run is ending.
func reportUnlessDone(ctx context.Context, err error, onError func(error)) {
	if err != nil && ctx.Err() == nil {
		onError(err)
	}
}
