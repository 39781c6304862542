package balancer

import (
	"slices"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/requests"
)

// PoolOfModel returns the name of the pool that serves a model to a workspace.
// It returns false if no pool does.
func (b *Balancer) PoolOfModel(workspace, model string) (string, bool) {
	members := b.deps.Config.Catalog().ForModel(workspace, model)
	if len(members) == 0 {
		return "", false
	}
	return members[0].Pool.Name, true
}

// CachedBlocks returns how many of the leading prefix blocks are estimated to be
// in the endpoint's cache. It returns 0 for an unknown endpoint.
func (b *Balancer) CachedBlocks(endpoint string, promptBlocks []uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[endpoint]
	if s == nil {
		return 0
	}
	return s.cached.cachedPrefixLen(promptBlocks)
}

// HasAlternative reports whether any endpoint other than the current one and
// those in tried may serve the generation. It does not check whether such an
// endpoint is ejected or busy.
func (b *Balancer) HasAlternative(g *requests.Generation, tried map[string]bool, current string) bool {
	members := b.deps.Config.Catalog().ForModel(g.Workspace, g.Model)
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(members, func(m *catalog.Member) bool {
		return m.Name != current && !tried[m.Name] && !b.leavingLocked(m)
	})
}

// PoolLatencies returns the median latencies over the endpoints of a pool. They
// are zero for an unknown pool.
func (b *Balancer) PoolLatencies(poolName string) Latencies {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[poolName]
	if p == nil {
		return Latencies{}
	}
	return Latencies{FirstToken: seconds(b.medianFirstTokenLocked(p)), Gap: seconds(b.medianGapLocked(p))}
}

// publishSlots calls OnSlots for each pool with the number of this router's
// requests that can run there at once.
func (b *Balancer) publishSlots() {
	if b.deps.OnSlots == nil {
		return
	}
	for name, slots := range b.availableSlots() {
		b.deps.OnSlots(name, slots)
	}
}

// availableSlots returns, by pool name, how many of this router's requests can
// run there at once. The value is 0 for a pool whose endpoints have not reported
// any slots.
func (b *Balancer) availableSlots() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateIndexLocked()
	slots := make(map[string]int, len(b.pools))
	for name, p := range b.pools {
		slots[name] = b.poolSlotsLocked(p)
	}
	return slots
}

// poolSlotsLocked sums the available slots of the pool's endpoints that are
// neither leaving nor ejected. An endpoint that has not reported its slots yet
// counts as the mean of the others.
func (b *Balancer) poolSlotsLocked(p *pool) int {
	total, reporting, serving, routers := 0, 0, 0, 1
	if b.deps.Routers != nil {
		routers = max(b.deps.Routers(), 1)
	}
	for _, name := range p.members {
		m, s := b.index.Endpoint(name), b.stateLocked(name)
		if b.leavingLocked(m) || s.health == ejected {
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

// availableSlots returns how many of this router's requests can run at the
// endpoint at once, or 0 if its slots are unknown. The result is never less than
// an equal share of the slots: otherwise a router that was idle while others
// filled the endpoint would get no slots at all.
func (s *endpointState) availableSlots(m *catalog.Member, routers int) int {
	slots := s.slots(m)
	if slots == 0 {
		return 0
	}
	otherRequests := max(s.report.Running+s.report.Waiting-s.inFlightAtReport, 0)
	return max(slots-otherRequests, (slots+routers-1)/routers)
}
