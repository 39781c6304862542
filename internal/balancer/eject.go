package balancer

import (
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// checkSpeedLocked ejects an endpoint whose mean gap between tokens exceeds
// SlowFactor times its pool's median: an overheated engine slows down before it
// fails.
func (r *Router) checkSpeedLocked(m *catalog.Member, s *endpointState) {
	if s.health == ejected || s.gapSamples < r.settings.SlowSamples {
		return
	}
	median := r.medianGapLocked(r.poolLocked(m))
	if s.meanGap <= r.settings.SlowFactor*median {
		return
	}
	r.ejectLocked(m, s, fmt.Sprintf("gap between tokens is %.1f times the median", s.meanGap/median))
}

// ejectLocked takes an endpoint out of service for EjectTime, unless it is
// ejected already or too many endpoints of its pool are. The reason is recorded
// with the event.
func (r *Router) ejectLocked(m *catalog.Member, s *endpointState, reason string) {
	if s.health == ejected || !r.mayEjectLocked(m) {
		return
	}
	s.health = ejected
	s.ejectTime = r.settings.EjectTime
	s.probeAt = r.deps.Clock.Now().Add(s.ejectTime)
	r.metrics.ejections.Inc()
	r.recordLocked(m, event.EndpointEjected, reason)
}

// mayEjectLocked reports whether one more endpoint of m's pool may be ejected:
// at least one must remain, and the ejected share must not exceed MaxEjected.
// Endpoints that are leaving do not count.
func (r *Router) mayEjectLocked(m *catalog.Member) bool {
	r.updateIndexLocked()
	serving, ejectedCount := 0, 0
	for _, name := range r.poolLocked(m).members {
		member := r.index.Endpoint(name)
		if member == nil || r.leavingLocked(member) {
			continue
		}
		serving++
		if r.stateLocked(name).health == ejected {
			ejectedCount++
		}
	}
	return ejectedCount+1 < serving && float64(ejectedCount+1) <= r.settings.MaxEjected*float64(serving)
}

// handleProbeResult reinstates an ejected endpoint whose probe succeeded and was
// not slow compared with its pool. Otherwise the endpoint stays ejected for
// twice as long as before, up to EjectMax. The gap is 0 for a plain service.
func (r *Router) handleProbeResult(m *catalog.Member, gap time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stateLocked(m.Name)
	if s.health != ejected {
		return
	}
	median := r.medianGapLocked(r.poolLocked(m))
	if err != nil || median > 0 && gap.Seconds() > r.settings.SlowFactor*median {
		s.ejectTime = min(2*s.ejectTime, r.settings.EjectMax)
		s.probeAt = r.deps.Clock.Now().Add(s.ejectTime)
		return
	}
	s.health, s.consecutiveFailures = healthy, 0
	s.meanGap, s.gapSamples = 0, 0
	r.metrics.reinstatements.Inc()
	r.recordLocked(m, event.EndpointReinstated, "a probe succeeded")
}

// recordLocked records an event about an endpoint.
func (r *Router) recordLocked(m *catalog.Member, kind event.Kind, detail string) {
	r.deps.Events.Record(event.Event{Component: event.ComponentRoute, Kind: kind, Endpoint: m.Name, Detail: detail})
}
