package endpoints

import (
	"maps"
	"slices"
)

// SetEvacuated replaces the set of evacuated failure domains. Their endpoints get no
// requests until they are left out of a later call, after which they count as cold. The
// set stays in force while the list of endpoints cannot be read. It returns the endpoints of
// the domains whose evacuation has ended.
func (r *Registry) SetEvacuated(domains []string) (returned []Endpoint) {
	evacuated := make(map[string]bool, len(domains))
	for _, d := range domains {
		evacuated[d] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.evacuated
	if maps.Equal(old, evacuated) {
		return nil
	}
	r.evacuated = evacuated
	r.changes++
	for _, d := range slices.Sorted(maps.Keys(evacuated)) {
		if !old[d] {
			r.log.Info("evacuation of a failure domain begins", "domain", d, "endpoints", r.countInLocked(d))
		}
	}
	for _, d := range slices.Sorted(maps.Keys(old)) {
		if !evacuated[d] {
			r.log.Info("evacuation of a failure domain ends", "domain", d, "endpoints", r.countInLocked(d))
			returned = append(returned, r.returnLocked(d)...)
		}
	}
	return returned
}

// returnLocked makes the endpoints of a failure domain count as cold after its evacuation.
// They have had no requests and may have been restarted.
func (r *Registry) returnLocked(domain string) (returned []Endpoint) {
	now := r.observedColdLocked()
	for _, e := range r.entries {
		if e.endpoint.Domain == domain {
			e.cold.startedAt = now
			returned = append(returned, e.endpoint)
		}
	}
	return returned
}

// countInLocked returns the number of endpoints of a failure domain that could get
// requests if it were not evacuated.
func (r *Registry) countInLocked(domain string) int {
	n, now := 0, r.clock.Now()
	for _, e := range r.entries {
		if e.endpoint.Domain == domain && e.usable(now) {
			n++
		}
	}
	return n
}

// EvacuatedDomains returns the number of evacuated failure domains.
func (r *Registry) EvacuatedDomains() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.evacuated)
}

// PoolEvacuated reports whether the pool has endpoints that could get requests, and all
// of them are in evacuated failure domains.
func (r *Registry) PoolEvacuated(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.evacuated) == 0 {
		return false
	}
	found, now := false, r.clock.Now()
	for _, e := range r.entries {
		if e.endpoint.Pool != pool || !e.usable(now) {
			continue
		}
		if !r.evacuated[e.endpoint.Domain] {
			return false
		}
		found = true
	}
	return found
}

// HasDomain reports whether an endpoint of the failure domain is known, or was until
// recently.
func (r *Registry) HasDomain(domain string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.endpoint.Domain == domain {
			return true
		}
	}
	return false
}
