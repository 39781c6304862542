package route

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

// maxReportBytes bounds the answers of polls.
const maxReportBytes = 4 << 20

// Run polls the endpoints in use and probes the ejected ones until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		var polls errgroup.Group
		polls.SetLimit(r.settings.PollFanout)
		for _, task := range r.dueTasks() {
			polls.Go(func() error { task(ctx); return nil })
		}
		polls.Wait() // tasks return no errors
		r.publishSlots()
		if clock.Sleep(ctx, r.deps.Clock, r.settings.PollInterval) != nil {
			return nil
		}
	}
}

// Close drops the idle connections.
func (r *Router) Close() { r.client.CloseIdleConnections() }

// tasks returns the polls and probes that are due.
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
			// A leaving endpoint gets no work that would have it asked again.
			tasks = append(tasks, func(ctx context.Context) { r.poll(ctx, m) })
		}
	}
	return tasks
}

// poll refreshes what is known of an endpoint.
func (r *Router) poll(ctx context.Context, m *catalog.Member) {
	if !r.refreshReport(ctx, m) || len(m.Models) == 0 {
		return
	}
	r.mu.Lock()
	since := r.stateLocked(m.Name).cached.lastEvent
	r.mu.Unlock()
	var events engine.CacheEvents
	if err := r.getJSON(ctx, fmt.Sprintf("%s%s?since=%d", m.URL, engine.PathCacheEvents, since), &events); err != nil {
		r.deps.Log.Debug("Read of cache events failed.", "endpoint", m.Name, "err", err)
		return
	}
	r.applyCacheEvents(m, events)
}

// learn follows an endpoint's cache events. Numbers that fall back mean that
// the endpoint has started anew with an empty cache.
func (r *Router) applyCacheEvents(m *catalog.Member, events engine.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.stateLocked(m.Name).cached
	if events.Last < cached.lastEvent {
		cached.clear()
	}
	cached.lastEvent = events.Last
	for _, e := range events.Events {
		if e.Stored {
			cached.add(e.Block)
			continue
		}
		cached.remove(e.Block)
	}
}

// fresh reports whether the view of an endpoint is young enough for new work,
// after asking the endpoint if it is not.
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

// refresh asks the endpoint for its load report; requests that need the same
// report wait for one answer.
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

	// The answer serves all who wait, so the first one's end must not spoil it.
	var report engine.Load
	err := r.getJSON(context.WithoutCancel(ctx), m.URL+engine.PathLoad, &report)

	r.mu.Lock()
	defer r.mu.Unlock()
	s.refreshDone = nil
	close(done)
	if err != nil {
		r.deps.Log.Debug("Read of load report failed.", "endpoint", m.Name, "err", err)
		r.handleRefreshFailureLocked(m, s)
		return false
	}
	s.report, s.reportRequestedAt, s.inFlightAtReport = report, requestedAt, inFlight
	r.setLeavingLocked(m, s, report.Leaving)
	return true
}

// refreshFailedLocked counts an endpoint that gave no report as failing.
func (r *Router) handleRefreshFailureLocked(m *catalog.Member, s *endpointState) {
	s.consecutiveFailures++
	if s.consecutiveFailures >= r.settings.EjectFailures {
		r.ejectLocked(m, s, "gives no load report")
	}
}

func (r *Router) setLeavingLocked(m *catalog.Member, s *endpointState, leaving bool) {
	if leaving && !s.leaving {
		r.recordLocked(m, event.EndpointLeaving, "by its own report")
	}
	s.leaving = leaving
}

// get reads a JSON answer within the time-out of polls.
func (r *Router) getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.PollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make poll: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("send poll: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("poll: status %d", resp.StatusCode)
	}
	body := io.LimitReader(resp.Body, maxReportBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode poll: %w", err)
	}
	// A body that is not read to its end costs the connection.
	if _, err := io.Copy(io.Discard, body); err != nil {
		return fmt.Errorf("end poll: %w", err)
	}
	return nil
}

// since returns the time from a past reading of the clock.
func (r *Router) elapsedSince(t time.Time) time.Duration { return r.deps.Clock.Now().Sub(t) }
