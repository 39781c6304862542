package endpoints

import "time"

// snapshot is a result of Usable. It holds until the state of the registry changes, and
// at most until validUntil, when the result changes by the passing of time.
type snapshot struct {
	list       []Endpoint
	changes    uint64
	validUntil time.Time // zero if time does not change the result
}

// Usable returns the endpoints of a pool that may get requests now, sorted by id.
// Endpoints with stale entries are left out, unless fewer than half would remain:
// then the cause is more likely a failure to write entries than failures of the
// endpoints. The same slice is returned until the result changes, so it must not be
// modified.
//
// Whatever changes the state that usableLocked reads must increase r.changes.
func (r *Registry) Usable(pool string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s, found := r.snapshots[pool]
	if found && s.changes == r.changes && (s.validUntil.IsZero() || now.Before(s.validUntil)) {
		return s.list
	}
	s = snapshot{list: r.usableLocked(pool, now), changes: r.changes, validUntil: r.nextChangeLocked(pool, now)}
	r.snapshots[pool] = s
	return s.list
}

// nextChangeLocked returns the first time after now at which an endpoint of a pool becomes
// stale or a removed one stops being usable, or zero if there is none.
func (r *Registry) nextChangeLocked(pool string, now time.Time) time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, e := range r.entries {
		if e.endpoint.Pool != pool {
			continue
		}
		if e.removed {
			consider(e.usableUntil)
		}
		if !r.listUnreadable {
			consider(r.staleAfterLocked(e).Add(1)) // staleLocked holds later than that time
		}
	}
	return next
}
