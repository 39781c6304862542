package ingress

import (
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/routetable"
)

// drain is a planned stop of the router that has begun and ends at the deadline.
type drain struct{ startedAt, deadline time.Time }

// Drain starts a planned stop of the router at the deadline. From now on every
// response closes its connection. Requests that would probably last beyond the
// deadline are refused, and once drainNotice has passed also those that may.
func (h *Handler) Drain(deadline time.Time) {
	h.drain.Store(&drain{startedAt: h.deps.Clock.Now(), deadline: deadline})
}

// drainNotice is how long after the start of a drain requests are accepted
// whatever their timeout. The load balancer in front of the router needs two
// readiness checks, one second apart, to notice the drain, and callers on open
// connections expect their requests to be accepted for 3 s.
const drainNotice = 2800 * time.Millisecond

// outlasts reports whether a request that is sent now and has the given deadline
// is to be refused, since the stop of the router could cut it off. usual is how long such
// requests take, or 0. It returns false on a nil drain.
func (d *drain) outlasts(now, deadline time.Time, usual time.Duration) bool {
	if d == nil || !deadline.After(d.deadline) {
		return false
	}
	return now.Sub(d.startedAt) > drainNotice || now.Add(usual).After(d.deadline)
}

// checkDrain refuses the request if no endpoint has received it and the stop of the router
// could cut it off.
func (q *request) checkDrain() *refusal {
	h := q.handler
	d := h.drain.Load()
	if d == nil || q.executions > 0 || !d.outlasts(h.deps.Clock.Now(), q.deadline, h.durations.usual(q.route)) {
		return nil
	}
	return refuseDraining()
}

// durations estimates, by route, how long requests take from their first byte to the end of
// their response.
type durations struct {
	mu      sync.Mutex // guards byRoute
	byRoute map[string]*durationEstimate
}

// durationEstimate has a running mean and the running mean of the deviations from it.
type durationEstimate struct{ mean, deviation time.Duration }

const (
	// durationWeight and deviationWeight are the weights of a new request in the running
	// means, and usualDeviations is how many mean deviations above the mean are usual.
	durationWeight  = 1.0 / 8
	deviationWeight = 1.0 / 4
	usualDeviations = 2
	// maxRoutes bounds the routes with an estimate.
	maxRoutes = 10_000
)

// record includes a request that was served.
func (s *durations) record(route *routetable.Route, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byRoute[route.Name]
	if e == nil {
		if s.byRoute == nil || len(s.byRoute) >= maxRoutes {
			s.byRoute = make(map[string]*durationEstimate)
		}
		s.byRoute[route.Name] = &durationEstimate{mean: took, deviation: took / 2}
		return
	}
	deviation := (took - e.mean).Abs()
	e.deviation += time.Duration(deviationWeight * float64(deviation-e.deviation))
	e.mean += time.Duration(durationWeight * float64(took-e.mean))
}

// usual returns how long requests of a route take at most, apart from unusual ones. It is
// 0 if none was served.
func (s *durations) usual(route *routetable.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byRoute[route.Name]
	if e == nil {
		return 0
	}
	return e.mean + usualDeviations*e.deviation
}
