package member

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/platform"
)

// vmEntry is the cached state of one VM of the platform's list.
type vmEntry struct {
	leaving bool
	// missingSince is when the VM was first missing from the list, or zero if
	// the last list contains it.
	missingSince time.Time
}

// mergeVMs updates the cached VMs from the platform's list. VMs that are missing
// are kept for RemoveAfter. The caller holds d.mu.
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

// terminatedLocked reports whether a VM that was listed before has been missing
// for TerminatedAfter. The caller holds d.mu.
func (d *Directory) terminatedLocked(vm string, now time.Time) bool {
	e := d.vms[vm]
	return e != nil && !e.missingSince.IsZero() && now.Sub(e.missingSince) >= d.settings.TerminatedAfter
}

// leavingLocked reports whether a VM is listed as leaving or, having been listed
// before, is missing. The caller holds d.mu.
func (d *Directory) leavingLocked(vm string) bool {
	e := d.vms[vm]
	return e != nil && (e.leaving || !e.missingSince.IsZero())
}

// VMLeaving reports whether a VM, of a member or of an endpoint, is leaving: the
// platform lists it as leaving, or has listed it before and no longer does.
func (d *Directory) VMLeaving(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leavingLocked(vm)
}

// reportUnlessDone calls onError with a non-nil error unless ctx has ended.
func reportUnlessDone(ctx context.Context, err error, onError func(error)) {
	if err != nil && ctx.Err() == nil {
		onError(err)
	}
}
