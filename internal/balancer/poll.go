package balancer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// maxReportBytes bounds the body of a load report or of a list of cache events,
// and one event of a probe's stream.
const maxReportBytes = 4 << 20

// Run polls the endpoints in use and probes the ejected ones every PollInterval
// until ctx ends. It always returns nil.
func (r *Router) Run(ctx context.Context) error {
	for {
		var polls errgroup.Group
		polls.SetLimit(r.settings.PollFanout)
		for _, task := range r.dueTasks() {
			polls.Go(func() error { task(ctx); return nil })
		}
		polls.Wait() // tasks never return an error
		r.publishSlots()
		if clock.Sleep(ctx, r.deps.Clock, r.settings.PollInterval) != nil {
			return nil
		}
	}
}

// Close closes the idle connections to endpoints.
func (r *Router) Close() { r.client.CloseIdleConnections() }

// dueTasks returns a function for each poll and probe that is due now.
func (r *Router) dueTasks() []func(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateIndexLocked()
	now := r.deps.Clock.Now()
	var tasks []func(context.Context)
	for name, s := range r.states {
		m := r.index.Endpoint(name)
		switch {
		case m == nil:
		case s.health == ejected:
			if !now.Before(s.probeAt) {
				s.probeAt = now.Add(s.ejectTime)
				tasks = append(tasks, func(ctx context.Context) { r.probe(ctx, m) })
			}
		case now.Sub(s.lastUsed) < r.settings.ActiveTime, s.leaving && now.Sub(s.reportRequestedAt) > r.settings.MaxViewAge:
			// No requests go to a leaving endpoint, so no request would refresh
			// its report; poll it to notice when it stops leaving.
			tasks = append(tasks, func(ctx context.Context) { r.poll(ctx, m) })
		}
	}
	return tasks
}

// poll reads an endpoint's load report and, if it is a model engine, the cache
// events since the last poll.
func (r *Router) poll(ctx context.Context, m *catalog.Member) {
	if !r.refreshReport(ctx, m) || len(m.Models) == 0 {
		return
	}
	r.mu.Lock()
	since := r.stateLocked(m.Name).cached.lastEvent
	r.mu.Unlock()
	var events engine.CacheEvents
	if err := r.getJSON(ctx, fmt.Sprintf("%s%s?since=%d", m.URL, engine.PathCacheEvents, since), &events); err != nil {
		r.deps.Log.Debug("Reading the endpoint's cache events failed.", "endpoint", m.Name, "err", err)
		return
	}
	r.applyCacheEvents(m, events)
}

// applyCacheEvents updates the estimate of an endpoint's cached blocks. A
// sequence number lower than the last one seen means that the endpoint has
// restarted with an empty cache.
func (r *Router) applyCacheEvents(m *catalog.Member, events engine.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.stateLocked(m.Name).cached
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
func (r *Router) ensureRecentReport(ctx context.Context, m *catalog.Member) bool {
	r.mu.Lock()
	age := r.deps.Clock.Now().Sub(r.stateLocked(m.Name).reportRequestedAt)
	r.mu.Unlock()
	if age <= r.settings.MaxViewAge || r.refreshReport(ctx, m) {
		return true
	}
	r.metrics.staleReports.Inc()
	return false
}

// refreshReport requests the endpoint's load report and returns whether it was
// received. Concurrent calls for the same endpoint share one request.
func (r *Router) refreshReport(ctx context.Context, m *catalog.Member) bool {
	r.mu.Lock()
	s := r.stateLocked(m.Name)
	if inProgress := s.refreshDone; inProgress != nil {
		previousRequest := s.reportRequestedAt
		r.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return s.reportRequestedAt.After(previousRequest)
	}
	done := make(chan struct{})
	s.refreshDone = done
	inFlight, requestedAt := s.inFlight, r.deps.Clock.Now()
	r.mu.Unlock()

	// Other requests wait for this response, so the cancellation of the request
	// that happened to be first must not abort it.
	var report engine.Load
	err := r.getJSON(context.WithoutCancel(ctx), m.URL+engine.PathLoad, &report)

	r.mu.Lock()
	defer r.mu.Unlock()
	s.refreshDone = nil
	close(done)
	if err != nil {
		r.deps.Log.Debug("Reading the endpoint's load report failed.", "endpoint", m.Name, "err", err)
		r.handleRefreshFailureLocked(m, s)
		return false
	}
	s.report, s.reportRequestedAt, s.inFlightAtReport = report, requestedAt, inFlight
	r.updateLeavingLocked(m, s, report.Leaving)
	return true
}

// handleRefreshFailureLocked counts a missing load report as a failure of the
// endpoint and ejects it after EjectFailures consecutive failures.
func (r *Router) handleRefreshFailureLocked(m *catalog.Member, s *endpointState) {
	s.consecutiveFailures++
	if s.consecutiveFailures >= r.settings.EjectFailures {
		r.ejectLocked(m, s, "gives no load report")
	}
}

// updateLeavingLocked stores whether the endpoint reports that it is leaving, and
// records an event when it starts to leave.
func (r *Router) updateLeavingLocked(m *catalog.Member, s *endpointState, leaving bool) {
	if leaving && !s.leaving {
		r.recordLocked(m, event.EndpointLeaving, "by its own report")
	}
	s.leaving = leaving
}

// getJSON sends a GET request and decodes the JSON response into v, all within
// PollTimeout. Any status other than 200 is an error.
func (r *Router) getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create poll request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("send poll request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("poll: unexpected status %d", resp.StatusCode)
	}
	body := io.LimitReader(resp.Body, maxReportBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode poll response: %w", err)
	}
	// The connection is reused only if the body has been read to its end.
	if _, err := io.Copy(io.Discard, body); err != nil {
		return fmt.Errorf("read end of poll response: %w", err)
	}
	return nil
}

// elapsedSince returns the time since t by the router's clock.
func (r *Router) elapsedSince(t time.Time) time.Duration { return r.deps.Clock.Now().Sub(t) }
