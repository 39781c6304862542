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
func (b *Balancer) checkSpeedLocked(m *catalog.Member, s *endpointState) {
	if s.health == ejected || s.gapSamples < b.settings.SlowSamples {
		return
	}
	median := b.medianGapLocked(b.poolLocked(m))
	if s.meanGap <= b.settings.SlowFactor*median {
		return
	}
	b.ejectLocked(m, s, fmt.Sprintf("gap between tokens is %.1f times the median", s.meanGap/median))
}

// ejectLocked takes an endpoint out of service for EjectTime, unless it is
// ejected already or too many endpoints of its pool are. The reason is recorded
// with the event.
func (b *Balancer) ejectLocked(m *catalog.Member, s *endpointState, reason string) {
	if s.health == ejected || !b.mayEjectLocked(m) {
		return
	}
	s.health = ejected
	s.ejectTime = b.settings.EjectTime
	s.probeAt = b.deps.Clock.Now().Add(s.ejectTime)
	b.metrics.ejections.Inc()
	b.recordLocked(m, event.EndpointEjected, reason)
}

// mayEjectLocked reports whether one more endpoint of m's pool may be ejected:
// at least one must remain, and the ejected share must not exceed MaxEjected.
// Endpoints that are leaving do not count.
func (b *Balancer) mayEjectLocked(m *catalog.Member) bool {
	b.updateIndexLocked()
	serving, ejectedCount := 0, 0
	for _, name := range b.poolLocked(m).members {
		member := b.index.Endpoint(name)
		if member == nil || b.leavingLocked(member) {
			continue
		}
		serving++
		if b.stateLocked(name).health == ejected {
			ejectedCount++
		}
	}
	return ejectedCount+1 < serving && float64(ejectedCount+1) <= b.settings.MaxEjected*float64(serving)
}

// handleProbeResult reinstates an ejected endpoint whose probe succeeded and was
// not slow compared with its pool. Otherwise the endpoint stays ejected for
// twice as long as before, up to EjectMax. The gap is the probe's mean time between
// tokens, or 0 for a plain service.
func (b *Balancer) handleProbeResult(m *catalog.Member, gap time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(m.Name)
	if s.health != ejected {
		return
	}
	median := b.medianGapLocked(b.poolLocked(m))
	if err != nil || median > 0 && gap.Seconds() > b.settings.SlowFactor*median {
		s.ejectTime = min(2*s.ejectTime, b.settings.EjectMax)
		s.probeAt = b.deps.Clock.Now().Add(s.ejectTime)
		return
	}
	s.health, s.consecutiveFailures = healthy, 0
	s.meanGap, s.gapSamples = 0, 0
	b.metrics.reinstatements.Inc()
	b.recordLocked(m, event.EndpointReinstated, "a probe succeeded")
}

// recordLocked records an event about an endpoint.
func (b *Balancer) recordLocked(m *catalog.Member, kind event.Kind, detail string) {
	b.deps.Events.Record(event.Event{Component: event.ComponentRoute, Kind: kind, Endpoint: m.Name, Detail: detail})
}
