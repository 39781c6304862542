package route

import (
	"slices"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/work"
)

// PoolOfModel names the pool that serves the workspace's work for a model, or
// returns false if none does.
func (r *Router) PoolOfModel(workspace, model string) (string, bool) {
	members := r.deps.Config.Catalog().ForModel(workspace, model)
	if len(members) == 0 {
		return "", false
	}
	return members[0].Pool.Name, true
}

// Hits returns how many leading prefix blocks an endpoint is thought to have
// cached.
func (r *Router) CachedBlocks(endpoint string, prefixes []uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[endpoint]
	if s == nil {
		return 0
	}
	return s.cached.cachedPrefixLen(prefixes)
}

// HasOther reports whether an endpoint besides the current one and those
// tried may serve the generation.
func (r *Router) HasAlternative(g *work.Generation, tried map[string]bool, current string) bool {
	members := r.deps.Config.Catalog().ForModel(g.Workspace, g.Model)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(members, func(m *catalog.Member) bool {
		return m.Name != current && !tried[m.Name] && !r.leavingLocked(m)
	})
}

// TimesOf returns the medians over a pool.
func (r *Router) PoolLatencies(poolName string) Latencies {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[poolName]
	if p == nil {
		return Latencies{}
	}
	return Latencies{FirstToken: seconds(r.medianFirstTokenLocked(p)), Gap: seconds(r.medianGapLocked(p))}
}

// publishSlots tells how many of its requests each pool has room for.
func (r *Router) publishSlots() {
	if r.deps.OnSlots == nil {
		return
	}
	for name, slots := range r.availableSlots() {
		r.deps.OnSlots(name, slots)
	}
}

// slots returns the room for this router's requests in each pool, or 0 where
// no endpoint has told its slots.
func (r *Router) availableSlots() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateIndexLocked()
	slots := make(map[string]int, len(r.pools))
	for name, p := range r.pools {
		slots[name] = r.poolSlotsLocked(p)
	}
	return slots
}

// poolSlotsLocked sums the room at the pool's endpoints. One that has not
// told its slots yet counts as the mean of the others.
func (r *Router) poolSlotsLocked(p *pool) int {
	total, reporting, serving, routers := 0, 0, 0, 1
	if r.deps.Routers != nil {
		routers = max(r.deps.Routers(), 1)
	}
	for _, name := range p.members {
		m, s := r.index.Endpoint(name), r.stateLocked(name)
		if r.leavingLocked(m) || s.health == ejected {
			continue
		}
		serving++
		if available := s.availableSlots(m, routers); available > 0 {
			total += available
			reporting++
		}
	}
	if reporting == 0 {
		return 0
	}
	return total * serving / reporting
}

// room returns how many of this router's requests fit at the endpoint, or 0
// if its slots are unknown. A router's equal share always fits: one that was
// idle finds the others at the full endpoint, and would get no place.
func (s *endpointState) availableSlots(m *catalog.Member, routers int) int {
	slots := s.slots(m)
	if slots == 0 {
		return 0
	}
	otherRequests := max(s.report.Running+s.report.Waiting-s.inFlightAtReport, 0)
	return max(slots-otherRequests, (slots+routers-1)/routers)
}
