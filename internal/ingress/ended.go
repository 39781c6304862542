package ingress

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/quarantine"
)

// endCheckDelays are the delays before each check whether an endpoint has ended. An
// endpoint to which connections time out may as well be cut off from this router, and one
// that accepts them may have restarted meanwhile. Then the list of endpoints decides, which
// lags behind.
var endCheckDelays = []time.Duration{0, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// endObservation is what one check of an endpoint shows.
type endObservation struct {
	refused   bool // it refused a connection
	connected bool // it accepted one
	listed    bool
	restarted bool // the list names a later start of it, or of another at its address
}

// showsEnd reports whether the endpoint has ended.
func (o endObservation) showsEnd() bool {
	return o.refused || o.restarted || !o.connected && !o.listed
}

// endChecker tells apart the end of an endpoint from other reasons for which its
// connections break, and reports the requests whose responses were lost by an end. All
// requests that broke at an endpoint share one check.
type endChecker struct {
	deps   Dependencies
	ctx    context.Context
	stop   context.CancelFunc
	checks sync.WaitGroup

	mu      sync.Mutex // guards pending
	pending map[endpointStart][]lostResponse
}

// endpointStart identifies one start of an endpoint.
type endpointStart struct {
	id        string
	startedMs int64
}

// lostResponse is a response that broke.
type lostResponse struct {
	request string
	at      time.Time
	report  quarantine.Report
}

func newEndChecker(deps Dependencies) *endChecker {
	ctx, stop := context.WithCancel(context.Background())
	return &endChecker{deps: deps, ctx: ctx, stop: stop, pending: make(map[endpointStart][]lostResponse)}
}

// close ends all checks and waits for them.
func (c *endChecker) close() {
	c.mu.Lock()
	c.stop() // with the lock held, so that no check starts after this
	c.mu.Unlock()
	c.checks.Wait()
}

// responseLost records that the response to q broke, and checks whether the endpoint of
// the attempt has ended.
func (c *endChecker) responseLost(q *request, a *attempt) {
	e, considered := a.endpoint, q.considered(a)
	now := c.deps.Clock.Now()
	lost := lostResponse{request: q.params.ID, at: now, report: quarantine.Report{
		Pool: q.pool, Endpoint: e.ID, StartedMs: e.StartedMs, Started: a.progress == responseStarted, SentBeforeMS: now.Sub(a.startedAt).Milliseconds(),
		Fingerprint: considered.Fingerprint, Advanced: a.progress == eventsForwarded,
	}}
	for _, s := range considered.Segments {
		lost.report.Segments = append(lost.report.Segments, s.ID)
	}
	start := endpointStart{e.ID, e.StartedMs}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := len(c.pending[start])
	c.pending[start] = append(c.pending[start], lost)
	if others == 0 && c.ctx.Err() == nil {
		c.checks.Go(func() { c.check(start, e) })
	}
}

// check finds out whether an endpoint has ended and reports the responses that were
// lost if so. Responses that were lost during the last check need another one.
func (c *endChecker) check(start endpointStart, e endpoints.Endpoint) {
	for more := true; more; {
		ended, checkedAt := c.hasEnded(e)
		var lost []lostResponse
		lost, more = c.takeDecided(start, ended, checkedAt)
		if len(lost) > 0 {
			c.deps.Log.Info("endpoint of lost responses checked", "endpoint", e.ID, "started_ms", e.StartedMs, "ended", ended, "responses", len(lost),
				"ms", c.deps.Clock.Now().Sub(lost[0].at).Milliseconds())
		}
		if !ended {
			continue
		}
		for _, l := range lost {
			c.deps.Quarantine.RecordCrash(l.request, l.report, l.at)
		}
	}
}

// takeDecided removes the responses on which a check decides whose last connection was
// tried at the given time, and returns them. It reports whether there are others.
func (c *endChecker) takeDecided(start endpointStart, ended bool, checkedAt time.Time) (lost []lostResponse, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []lostResponse
	for _, l := range c.pending[start] {
		if ended || l.at.Before(checkedAt) || c.ctx.Err() != nil {
			lost = append(lost, l)
		} else {
			others = append(others, l)
		}
	}
	if len(others) == 0 {
		delete(c.pending, start)
		return lost, false
	}
	c.pending[start] = others
	return lost, true
}

// hasEnded reports whether an endpoint has ended, and when the last check of it began.
func (c *endChecker) hasEnded(e endpoints.Endpoint) (ended bool, checkedAt time.Time) {
	for _, delay := range endCheckDelays {
		if clock.Sleep(c.ctx, c.deps.Clock, delay) != nil {
			return false, checkedAt
		}
		checkedAt = c.deps.Clock.Now()
		err := c.deps.Upstream.Connect(c.ctx, e.Addr)
		seen := endObservation{
			refused: errors.Is(err, syscall.ECONNREFUSED), connected: err == nil,
			listed: c.deps.Endpoints.Listed(e.ID), restarted: c.deps.Endpoints.Restarted(e),
		}
		if c.ctx.Err() == nil && seen.showsEnd() {
			return true, checkedAt
		}
	}
	return false, checkedAt
}
