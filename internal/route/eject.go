package route

import (
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// checkSpeedLocked ejects an endpoint whose gap between tokens is far above
// its pool's median: heat slows engines down before they fail.
func (r *Router) checkSpeedLocked(m *catalog.Member, s *state) {
	if s.health == ejected || s.gaps < r.settings.SlowSamples {
		return
	}
	median := r.medianGapLocked(r.poolLocked(m))
	if s.gap <= r.settings.SlowFactor*median {
		return
	}
	r.ejectLocked(m, s, fmt.Sprintf("gap between tokens is %.1f times the median", s.gap/median))
}

// ejectLocked takes an endpoint out, unless too much of its pool is out.
func (r *Router) ejectLocked(m *catalog.Member, s *state, reason string) {
	if s.health == ejected || !r.mayEjectLocked(m) {
		return
	}
	s.health = ejected
	s.ejectedFor = r.settings.EjectTime
	s.probeAt = r.duties.Clock.Now().Add(s.ejectedFor)
	r.metrics.ejections.Inc()
	r.recordLocked(m, event.EndpointEjected, reason)
}

// mayEjectLocked reports whether one more endpoint of the pool may be out.
func (r *Router) mayEjectLocked(m *catalog.Member) bool {
	r.indexLocked()
	serving, out := 0, 0
	for _, name := range r.poolLocked(m).members {
		member := r.index.Endpoint(name)
		if member == nil || r.leavingLocked(member) {
			continue
		}
		serving++
		if r.stateLocked(name).health == ejected {
			out++
		}
	}
	return out+1 < serving && float64(out+1) <= r.settings.MaxEjected*float64(serving)
}

// probed takes the result of a probe: an endpoint that is as fast as its pool
// returns, any other stays out for longer.
func (r *Router) probed(m *catalog.Member, gap time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stateLocked(m.Name)
	if s.health != ejected {
		return
	}
	median := r.medianGapLocked(r.poolLocked(m))
	if err != nil || median > 0 && gap.Seconds() > r.settings.SlowFactor*median {
		s.ejectedFor = min(2*s.ejectedFor, r.settings.EjectMax)
		s.probeAt = r.duties.Clock.Now().Add(s.ejectedFor)
		return
	}
	s.health, s.failures = healthy, 0
	s.gap, s.gaps = 0, 0
	r.metrics.returns.Inc()
	r.recordLocked(m, event.EndpointReturned, "a probe succeeded")
}

func (r *Router) recordLocked(m *catalog.Member, kind event.Kind, detail string) {
	r.duties.Events.Record(event.Event{Duty: event.DutyRoute, Kind: kind, Endpoint: m.Name, Detail: detail})
}
