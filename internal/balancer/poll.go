package balancer

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// maxReportBytes bounds, in bytes, the body of a load report or of a list of cache
// events, and one event of a probe's stream.
const maxReportBytes = 4 << 20

// Run polls the endpoints in use and probes the ejected ones every PollInterval
// until ctx ends. It always returns nil.
func (b *Balancer) Run(ctx context.Context) error {
	for {
		var polls errgroup.Group
		polls.SetLimit(b.settings.PollFanout)
		for _, task := range b.dueTasks() {
			polls.Go(func() error { task(ctx); return nil })
		}
		polls.Wait() // tasks never return an error
		b.publishSlots()
		if clock.Sleep(ctx, b.deps.Clock, b.settings.PollInterval) != nil {
			return nil
		}
	}
}

// Close closes the idle connections to endpoints.
func (b *Balancer) Close() { b.pooledClient.CloseIdleConnections() }

// dueTasks returns a function for each poll and probe that is due now.
func (b *Balancer) dueTasks() []func(context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateIndexLocked()
	now := b.deps.Clock.Now()
	var tasks []func(context.Context)
	for name, s := range b.states {
		m := b.index.Endpoint(name)
		switch {
		case m == nil:
		case s.health == ejected:
			if !now.Before(s.probeAt) {
				s.probeAt = now.Add(s.ejectTime)
				tasks = append(tasks, func(ctx context.Context) { b.probe(ctx, m) })
			}
		case now.Sub(s.lastUsed) < b.settings.ActiveTime, s.leaving && now.Sub(s.reportRequestedAt) > b.settings.MaxViewAge:
			// No requests go to a leaving endpoint, so no request would refresh
			// its report; poll it to notice when it stops leaving.
			tasks = append(tasks, func(ctx context.Context) { b.poll(ctx, m) })
		}
	}
	return tasks
}

// poll reads an endpoint's load report and, if it is a model engine, the cache
// events since the last poll.
func (b *Balancer) poll(ctx context.Context, m *catalog.Member) {
	if !b.refreshReport(ctx, m) || len(m.Models) == 0 {
		return
	}
	b.mu.Lock()
	since := b.stateLocked(m.Name).cached.lastEvent
	b.mu.Unlock()
	current := func(e engine.CacheEvents) bool { return e.LastSeq >= since }
	events, err := getCurrent(ctx, b, fmt.Sprintf("%s%s?since=%d", m.URL, engine.PathCacheEvents, since), current)
	if err != nil {
		b.deps.Log.Debug("could not read the endpoint's cache events", "endpoint", m.Name, "err", err)
		return
	}
	b.applyCacheEvents(m, events)
}

// applyCacheEvents updates the estimate of an endpoint's cached blocks. A
// sequence number lower than the last one seen means that the endpoint has
// restarted with an empty cache.
func (b *Balancer) applyCacheEvents(m *catalog.Member, events engine.CacheEvents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cached := b.stateLocked(m.Name).cached
	if events.LastSeq < cached.lastEvent {
		cached.clear()
	}
	cached.lastEvent = events.LastSeq
	for _, e := range events.Events {
		if e.Stored {
			cached.add(e.Block)
			continue
		}
		cached.remove(e.Block)
	}
}

// ensureRecentReport reports whether the endpoint's load report is at most
// MaxViewAge old. If it is older, a new report is requested first; the result is
// false if that request fails.
func (b *Balancer) ensureRecentReport(ctx context.Context, m *catalog.Member) bool {
	b.mu.Lock()
	age := b.deps.Clock.Now().Sub(b.stateLocked(m.Name).reportRequestedAt)
	b.mu.Unlock()
	if age <= b.settings.MaxViewAge || b.refreshReport(ctx, m) {
		return true
	}
	b.metrics.staleReports.Inc()
	return false
}

// refreshReport requests the endpoint's load report and returns whether it was
// received. Concurrent calls for the same endpoint share one request.
func (b *Balancer) refreshReport(ctx context.Context, m *catalog.Member) bool {
	b.mu.Lock()
	s := b.stateLocked(m.Name)
	if inProgress := s.refreshDone; inProgress != nil {
		previousRequest := s.reportRequestedAt
		b.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
			return false
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		return s.reportRequestedAt.After(previousRequest)
	}
	done := make(chan struct{})
	s.refreshDone = done
	inFlight, requestedAt, latest := s.inFlight, b.deps.Clock.Now(), s.report.ReportedAt
	b.mu.Unlock()

	// Other requests wait for this response, so the cancellation of the request
	// that happened to be first must not abort it.
	report, err := getCurrent(context.WithoutCancel(ctx), b, m.URL+engine.PathLoad, newerThan(latest))

	b.mu.Lock()
	defer b.mu.Unlock()
	s.refreshDone = nil
	close(done)
	if err != nil {
		b.deps.Log.Debug("could not read the endpoint's load report", "endpoint", m.Name, "err", err)
		b.handleRefreshFailureLocked(m, s)
		return false
	}
	s.report, s.reportRequestedAt, s.inFlightAtReport = report, requestedAt, inFlight
	b.updateLeavingLocked(m, s, report.Leaving)
	return true
}

// newerThan returns a function that reports whether a load report is newer than one of
// the time latest. It returns nil if that is unknown.
func newerThan(latest time.Time) func(engine.Load) bool {
	if latest.IsZero() {
		return nil
	}
	return func(l engine.Load) bool { return l.ReportedAt.After(latest) }
}

// handleRefreshFailureLocked counts a missing load report as a failure of the
// endpoint and ejects it after EjectFailures consecutive failures.
func (b *Balancer) handleRefreshFailureLocked(m *catalog.Member, s *endpointState) {
	s.consecutiveFailures++
	if s.consecutiveFailures >= b.settings.EjectFailures {
		b.ejectLocked(m, s, "gives no load report")
	}
}

// updateLeavingLocked stores whether the endpoint reports that it is leaving, and
// records an event when it starts to leave.
func (b *Balancer) updateLeavingLocked(m *catalog.Member, s *endpointState, leaving bool) {
	if leaving && !s.leaving {
		b.recordLocked(m, event.EndpointLeaving, "by its own report")
	}
	s.leaving = leaving
}

// elapsedSince returns the time since t by the balancer's clock.
func (b *Balancer) elapsedSince(t time.Time) time.Duration { return b.deps.Clock.Now().Sub(t) }
