package route

import (
	"slices"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/work"
)

// PoolOfModel names the pool that serves the workspace's work for a model, or
// returns false if none does.
func (r *Router) PoolOfModel(workspace, model string) (string, bool) {
	members := r.duties.Config.Catalog().ForModel(workspace, model)
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
	return s.cached.hits(prefixes)
}

// HasOther reports whether an endpoint besides the current one and those
// tried may serve the generation.
func (r *Router) HasAlternative(g *work.Generation, tried map[string]bool, current string) bool {
	members := r.duties.Config.Catalog().ForModel(g.Workspace, g.Model)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(members, func(m *catalog.Member) bool {
		return m.Name != current && !tried[m.Name] && !r.leavingLocked(m)
	})
}

// TimesOf returns the medians over a pool.
func (r *Router) PoolLatencies(name string) Latencies {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		return Latencies{}
	}
	return Latencies{FirstToken: seconds(r.medianFirstLocked(p)), Gap: seconds(r.medianGapLocked(p))}
}

// publishSlots tells how many of its requests each pool has room for.
func (r *Router) publishSlots() {
	if r.duties.OnSlots == nil {
		return
	}
	for name, slots := range r.slots() {
		r.duties.OnSlots(name, slots)
	}
}

// slots returns the room for this router's requests in each pool, or 0 where
// no endpoint has told its slots.
func (r *Router) slots() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.indexLocked()
	slots := make(map[string]int, len(r.pools))
	for name, p := range r.pools {
		slots[name] = r.poolSlotsLocked(p)
	}
	return slots
}

// poolSlotsLocked sums the room at the pool's endpoints. One that has not
// told its slots yet counts as the mean of the others.
func (r *Router) poolSlotsLocked(p *pool) int {
	sum, known, serving, routers := 0, 0, 0, 1
	if r.duties.Routers != nil {
		routers = max(r.duties.Routers(), 1)
	}
	for _, name := range p.members {
		m, s := r.index.Endpoint(name), r.stateLocked(name)
		if r.leavingLocked(m) || s.health == ejected {
			continue
		}
		serving++
		if room := s.room(m, routers); room > 0 {
			sum += room
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum * serving / known
}

// room returns how many of this router's requests fit at the endpoint, or 0
// if its slots are unknown. A router's equal share always fits: one that was
// idle finds the others at the full endpoint, and would get no place.
func (s *state) room(m *catalog.Member, routers int) int {
	slots := s.slots(m)
	if slots == 0 {
		return 0
	}
	others := max(s.report.Running+s.report.Waiting-s.ownAtReport, 0)
	return max(slots-others, (slots+routers-1)/routers)
}
