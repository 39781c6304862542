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

// endCheckDelays are the delays before each check whether an endpoint has ended. More
// than one is needed only if connections to it time out: then it may as well be cut off
// from this router, and the list of endpoints decides.
var endCheckDelays = []time.Duration{0, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond}

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

// lostResponse is a response that broke before its first event.
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

// responseLost records that the response to q broke before its first event, and checks
// whether the endpoint of the attempt has ended.
func (c *endChecker) responseLost(q *request, a *attempt) {
	e := a.endpoint
	shared := q.params.Generation.SharedSegments()
	if len(shared) == 0 {
		c.deps.Log.Info("lost response is no evidence, request has no shared segments", "request", q.params.ID, "endpoint", e.ID)
		return
	}
	now := c.deps.Clock.Now()
	lost := lostResponse{request: q.params.ID, at: now, report: quarantine.Report{
		Pool: q.pool, Endpoint: e.ID, StartedMs: e.StartedMs, Started: a.progress == responseStarted, SentBeforeMS: now.Sub(a.startedAt).Milliseconds(),
	}}
	for _, s := range shared {
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
// lost if so.
func (c *endChecker) check(start endpointStart, e endpoints.Endpoint) {
	ended := c.hasEnded(e)
	c.mu.Lock()
	lost := c.pending[start]
	delete(c.pending, start)
	c.mu.Unlock()
	c.deps.Log.Info("endpoint of lost responses checked", "endpoint", e.ID, "started_ms", e.StartedMs, "ended", ended, "responses", len(lost),
		"ms", c.deps.Clock.Now().Sub(lost[0].at).Milliseconds())
	if !ended {
		return
	}
	for _, l := range lost {
		c.deps.Quarantine.RecordCrash(l.request, l.report, l.at)
	}
}

// hasEnded reports whether an endpoint has ended: it refuses connections, or connections
// time out until the list of endpoints does not name it any more.
func (c *endChecker) hasEnded(e endpoints.Endpoint) bool {
	for _, delay := range endCheckDelays {
		if clock.Sleep(c.ctx, c.deps.Clock, delay) != nil {
			return false
		}
		err := c.deps.Upstream.Connect(c.ctx, e.Addr)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err != nil
		}
		if !c.deps.Endpoints.Listed(e.ID) {
			return c.ctx.Err() == nil
		}
	}
	return false
}
