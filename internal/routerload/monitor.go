// Package routerload decides whether a router is overloaded by its own callers: whether the
// work that they bring exceeds what its link and its processor can do. An overloaded router
// withdraws its readiness and closes the connections of callers after their responses, so that
// callers move to other routers, and does not take its own failures for those of others.
//
// Next, Withdrawal and Quota are the decision, without network, clock or goroutines. Monitor
// takes the samples and keeps the state.
package routerload

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

const (
	// sampleInterval is the time between two samples. It is short beside the 300 ms that a
	// request is in flight.
	sampleInterval = 50 * time.Millisecond
	// doubtAfter is how long after an overload failures still count as the router's own:
	// timeouts of what was sent during the overload.
	doubtAfter = time.Second
)

// Options are what a Monitor uses.
type Options struct {
	Settings Settings
	Capacity Capacity
	// Self and Domain name the router and its failure domain.
	Self   bus.ID
	Domain string
	// Fleet returns the members that are known.
	Fleet func() Fleet
	// Serving reports whether the router is in rotation but for its load: it has started and
	// does not stop. Nil stands for a router that always is.
	Serving func() bool
	// Publish tells the other routers of a change.
	Publish func(Notice)
	Clock   clock.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Monitor observes the load of this router. It is safe for concurrent use, and a nil Monitor
// is that of a router that is never overloaded.
type Monitor struct {
	options Options
	// Traffic counts the bytes of callers and endpoints.
	Traffic Traffic

	started, ended            atomic.Int64 // requests
	servedBytes, servedWrites atomic.Int64 // of those that ended
	overloaded                atomic.Bool
	withdrawn                 atomic.Bool
	doubtUntil                atomic.Int64 // Unix nanoseconds, while not overloaded

	mu         sync.Mutex // guards the fields below
	quota      *Quota
	state      State
	withdrawal Withdrawal
	denied     string // why readiness is not withdrawn; "" if it may be
	changes    *metrics.Counter
	withdraws  *metrics.Counter
	notAllowed *metrics.Counter
}

// New returns a Monitor that registers its metrics. It does nothing if it is disabled or the
// capacity is not known.
func New(o Options) *Monitor {
	m := &Monitor{
		options: o, quota: NewQuota(o.Self, o.Domain),
		changes:    o.Metrics.NewCounter("daisyslip_router_overloads_total"),
		withdraws:  o.Metrics.NewCounter("daisyslip_router_withdrawals_total"),
		notAllowed: o.Metrics.NewCounter("daisyslip_router_withdrawals_denied_total"),
	}
	m.quota.shortest = o.Settings.MinWithdrawn
	o.Metrics.NewGauge("daisyslip_router_overloaded", func() float64 { return gauge(m.Overloaded()) })
	o.Metrics.NewGauge("daisyslip_router_withdrawn", func() float64 { return gauge(m.Withdrawn()) })
	for r := range resources {
		o.Metrics.NewGauge(`daisyslip_router_pressure_seconds{resource="`+r.String()+`"}`, func() float64 { return m.State().Uses[r].Pressure })
	}
	o.Metrics.NewGauge("daisyslip_router_timer_lateness_seconds", func() float64 { return m.State().Late.Seconds() })
	return m
}

func gauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Begin records that a request has begun.
func (m *Monitor) Begin() {
	if m != nil {
		m.started.Add(1)
	}
}

// End records that a request has ended, with the bytes of its body and of the response that was
// written to the caller, in a number of writes.
func (m *Monitor) End(bytes, writes int64) {
	if m != nil {
		m.servedBytes.Add(bytes)
		m.servedWrites.Add(writes)
		m.ended.Add(1)
	}
}

// Overloaded reports whether the router is overloaded.
func (m *Monitor) Overloaded() bool { return m != nil && m.overloaded.Load() }

// Withdrawn reports whether the readiness of the router is withdrawn.
func (m *Monitor) Withdrawn() bool { return m != nil && m.withdrawn.Load() }

// Doubtful reports whether a timeout or a failed dial is probably the router's own fault: it
// is overloaded, or was a moment ago.
func (m *Monitor) Doubtful() bool {
	return m != nil && (m.overloaded.Load() || m.options.Clock.Now().UnixNano() < m.doubtUntil.Load())
}

// State returns the state of the decision.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Receive takes in the notice of another router that was made at a time.
func (m *Monitor) Receive(origin bus.ID, n Notice, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quota.Record(origin, n, at)
}

// counts are the counters at the time of a sample.
type counts struct {
	at                             time.Time
	started, ended, in, out, calls int64
	servedBytes, servedWrites      int64
}

func (m *Monitor) counts() counts {
	ended := m.ended.Load() // before started, so that no request in flight is negative
	return counts{m.options.Clock.Now(), m.started.Load(), ended, m.Traffic.in.Load(), m.Traffic.out.Load(), m.Traffic.calls.Load(), m.servedBytes.Load(), m.servedWrites.Load()}
}

// Run takes samples until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	if !m.options.Settings.Enabled || !m.options.Capacity.known() {
		return
	}
	last := m.counts()
	for clock.Sleep(ctx, m.options.Clock, sampleInterval) == nil {
		next := m.counts()
		interval := next.at.Sub(last.at)
		m.take(next.at, Sample{
			Interval: interval, InFlight: next.started - next.ended, Started: next.started - last.started, Ended: next.ended - last.ended,
			BytesIn: next.in - last.in, BytesOut: next.out - last.out, Calls: next.calls - last.calls,
			ServedBytes: next.servedBytes - last.servedBytes, ServedWrites: next.servedWrites - last.servedWrites, Late: interval - sampleInterval,
		})
		last = next
	}
}

// take decides by a sample.
func (m *Monitor) take(now time.Time, sample Sample) {
	m.mu.Lock()
	old := m.state.Level
	m.state = Next(m.options.Settings, m.options.Capacity, m.state, sample)
	allowed, denied := true, ""
	var fleet Fleet
	if m.state.Level == Overloaded || m.withdrawal.Withdrawn {
		fleet = m.options.Fleet()
		allowed, denied = m.quota.Allows(now, m.withdrawal, fleet)
	}
	if m.options.Serving != nil && !m.options.Serving() {
		allowed, denied = false, "" // there is no readiness to withdraw
		if !m.withdrawal.Withdrawn {
			m.withdrawal.Since = now // once it serves, it stays ready for minReady
		}
	}
	withdrawal := m.withdrawal.Next(m.options.Settings, now, m.state.Level, allowed, rand.Uint32())
	changed := withdrawal.Withdrawn != m.withdrawal.Withdrawn
	lasted := now.Sub(m.withdrawal.Since)
	m.withdrawal = withdrawal
	newlyDenied := denied != "" && denied != m.denied && !withdrawal.Withdrawn
	m.denied = denied
	notice := Notice{Withdrawn: withdrawal.Withdrawn, Domain: m.options.Domain, Order: withdrawal.Order}
	if changed {
		m.quota.Record(m.options.Self, notice, now)
	}
	state := m.state
	m.mu.Unlock()

	if old == Overloaded && state.Level == Normal {
		m.doubtUntil.Store(now.Add(doubtAfter).UnixNano())
	}
	m.overloaded.Store(state.Level == Overloaded)
	m.withdrawn.Store(withdrawal.Withdrawn)
	if state.Level != old {
		if state.Level == Overloaded {
			m.changes.Inc()
		}
		m.options.Log.Info("load level changed", append([]any{"level", state.Level.String()}, m.figures(state)...)...)
	}
	if newlyDenied {
		m.notAllowed.Inc()
		m.options.Log.Info("readiness not withdrawn", "reason", denied, "in_domain", fleet.DomainSize, "listed", len(fleet.Listed))
	}
	if !changed {
		return
	}
	m.options.Publish(notice)
	if withdrawal.Withdrawn {
		m.withdraws.Inc()
		m.options.Log.Info("readiness withdrawn", append([]any{"in_domain", fleet.DomainSize, "listed", len(fleet.Listed)}, m.figures(state)...)...)
		return
	}
	m.options.Log.Info("readiness returned", append([]any{"level", state.Level.String(), "withdrawn_ms", lasted.Milliseconds()}, m.figures(state)...)...)
}

// figures returns the figures that led to a decision, for a log line.
func (m *Monitor) figures(s State) []any {
	list := []any{"in_flight", s.InFlight, "arrivals_per_s", s.Arrivals, "late_ms", s.Late.Milliseconds(), "occupied", s.Occupied, "processor_scale", s.ProcessorScale}
	for r, u := range s.Uses {
		list = append(list, slog.Group(Resource(r).String(),
			"pressure_s", u.Pressure, "backlog_s", u.Backlog, "use", u.Rate, "request_ms", 1000*u.Done/max(s.Requests, 1)))
	}
	return list
}
