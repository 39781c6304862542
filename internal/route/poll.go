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
		for _, task := range r.tasks() {
			polls.Go(func() error { task(ctx); return nil })
		}
		polls.Wait() // tasks return no errors
		r.publishSlots()
		if clock.Sleep(ctx, r.duties.Clock, r.settings.PollInterval) != nil {
			return nil
		}
	}
}

// Close drops the idle connections.
func (r *Router) Close() { r.client.CloseIdleConnections() }

// tasks returns the polls and probes that are due.
func (r *Router) tasks() []func(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.indexLocked()
	now := r.duties.Clock.Now()
	var tasks []func(context.Context)
	for name, s := range r.states {
		m := r.index.Endpoint(name)
		switch {
		case m == nil:
		case s.health == ejected:
			if !now.Before(s.probeAt) {
				s.probeAt = now.Add(s.ejectedFor)
				tasks = append(tasks, func(ctx context.Context) { r.probe(ctx, m) })
			}
		case now.Sub(s.lastUsed) < r.settings.ActiveTime, s.leaving && now.Sub(s.reportAt) > r.settings.MaxViewAge:
			// A leaving endpoint gets no work that would have it asked again.
			tasks = append(tasks, func(ctx context.Context) { r.poll(ctx, m) })
		}
	}
	return tasks
}

// poll refreshes what is known of an endpoint.
func (r *Router) poll(ctx context.Context, m *catalog.Member) {
	if !r.refresh(ctx, m) || len(m.Models) == 0 {
		return
	}
	r.mu.Lock()
	since := r.stateLocked(m.Name).cached.last
	r.mu.Unlock()
	var events engine.CacheEvents
	if err := r.get(ctx, fmt.Sprintf("%s%s?since=%d", m.URL, engine.PathCacheEvents, since), &events); err != nil {
		r.duties.Log.Debug("Read of cache events failed.", "endpoint", m.Name, "err", err)
		return
	}
	r.learn(m, events)
}

// learn follows an endpoint's cache events. Numbers that fall back mean that
// the endpoint has started anew with an empty cache.
func (r *Router) learn(m *catalog.Member, events engine.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.stateLocked(m.Name).cached
	if events.Last < cached.last {
		cached.clear()
	}
	cached.last = events.Last
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
func (r *Router) fresh(ctx context.Context, m *catalog.Member) bool {
	r.mu.Lock()
	age := r.duties.Clock.Now().Sub(r.stateLocked(m.Name).reportAt)
	r.mu.Unlock()
	if age <= r.settings.MaxViewAge || r.refresh(ctx, m) {
		return true
	}
	r.metrics.stale.Inc()
	return false
}

// refresh asks the endpoint for its load report; requests that need the same
// report wait for one answer.
func (r *Router) refresh(ctx context.Context, m *catalog.Member) bool {
	r.mu.Lock()
	s := r.stateLocked(m.Name)
	if running := s.refreshing; running != nil {
		before := s.reportAt
		r.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return s.reportAt.After(before)
	}
	done := make(chan struct{})
	s.refreshing = done
	own, asked := s.inFlight, r.duties.Clock.Now()
	r.mu.Unlock()

	// The answer serves all who wait, so the first one's end must not spoil it.
	var report engine.Load
	err := r.get(context.WithoutCancel(ctx), m.URL+engine.PathLoad, &report)

	r.mu.Lock()
	defer r.mu.Unlock()
	s.refreshing = nil
	close(done)
	if err != nil {
		r.duties.Log.Debug("Read of load report failed.", "endpoint", m.Name, "err", err)
		r.refreshFailedLocked(m, s)
		return false
	}
	s.report, s.reportAt, s.ownAtReport = report, asked, own
	r.noteLeavingLocked(m, s, report.Leaving)
	return true
}

// refreshFailedLocked counts an endpoint that gave no report as failing.
func (r *Router) refreshFailedLocked(m *catalog.Member, s *state) {
	s.failures++
	if s.failures >= r.settings.EjectFailures {
		r.ejectLocked(m, s, "gives no load report")
	}
}

func (r *Router) noteLeavingLocked(m *catalog.Member, s *state, leaving bool) {
	if leaving && !s.leaving {
		r.recordLocked(m, event.EndpointLeaving, "by its own report")
	}
	s.leaving = leaving
}

// get reads a JSON answer within the time-out of polls.
func (r *Router) get(ctx context.Context, url string, v any) error {
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
func (r *Router) since(t time.Time) time.Duration { return r.duties.Clock.Now().Sub(t) }
