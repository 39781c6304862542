package ingress

import (
	"context"
	"errors"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// takeover sends a request to another endpoint while the current one is silent. The
// silent attempt goes on until another endpoint has accepted the request, since the
// silence may end and the other endpoints may all refuse. If the silence of a stream ends
// after the request was sent to another endpoint, that one decides by its response within
// maxOverlap, so that not both work on the request for longer.
//
// It runs in a goroutine of its own. Meanwhile that of the request only waits for the
// silent endpoint, and ends the takeover before it uses the state of the request.
type takeover struct {
	request *request
	silent  *attempt
	delay   time.Duration // silence after which it starts
	dueAt   time.Time     // when it starts
	timer   *time.Timer
	paused  bool            // the timer is stopped
	parent  context.Context // of the request
	ctx     context.Context
	end     context.CancelCauseFunc
	done    chan struct{} // closed at the end of run
	// settled is closed when it ends, unless another endpoint still decides.
	settled chan struct{}
	// tried is the last attempt at another endpoint, and suspected is set if the request
	// may have crashed one. Both are used by run only.
	tried     *attempt
	suspected bool
	// accepted is the attempt at the endpoint that has taken over; nil if none has.
	// It is valid once done is closed.
	accepted *attempt
}

// maxOverlap is how long the router lets two endpoints work on one request. An endpoint
// that has not refused it by then has accepted it, even if the head of its response is not
// there. The overlap that the endpoints see is longer: the router can be held by its
// processor quota, it may read for lateReadTime, and the reset has to arrive.
const maxOverlap = 100 * time.Millisecond

// lateReadTime is the time for one more read of a response if the timer of a takeover
// is late. The router itself may have been suspended, and events may have arrived.
const lateReadTime = 50 * time.Millisecond

// Causes for the end of a takeover.
var (
	// errGoesOn: the silent endpoint goes on. An attempt that was sent to another one is
	// waited for.
	errGoesOn = errors.New("silent endpoint goes on")
	// errDone: the silent endpoint has done its work, or nobody waits for a response.
	errDone = errors.New("response complete or not needed")
	// errEnded: the attempt at the silent endpoint has failed.
	errEnded = errors.New("attempt at silent endpoint has failed")
)

// errTakenOver is the error of an attempt at a silent endpoint from which another one
// has taken over.
var errTakenOver = errors.New("silent, another endpoint has taken over")

// armTakeover starts a takeover once the endpoint of a has sent nothing for a time, if
// the kind of the request permits that. It does nothing if one is armed already.
func (q *request) armTakeover(ctx context.Context, a *attempt, delay time.Duration) {
	dueAt := q.handler.deps.Clock.Now().Add(delay)
	if t := q.takeover; t != nil {
		if t.paused {
			t.paused, t.delay, t.dueAt = false, delay, dueAt
			t.timer.Reset(delay)
		}
		return
	}
	if !q.route.Retryable() || q.executions+1 >= q.route.MaxAttempts {
		return
	}
	t := &takeover{request: q, silent: a, delay: delay, dueAt: dueAt, parent: ctx, done: make(chan struct{}), settled: make(chan struct{})}
	t.ctx, t.end = context.WithCancelCause(ctx)
	q.takeover = t
	t.timer = time.AfterFunc(delay, t.run)
}

// pauseTakeover is called when the endpoint of the current attempt goes on. It returns
// false if another endpoint has taken over, for which it waits up to maxOverlap if that one
// has received the request. Otherwise none does before the next call of armTakeover.
func (q *request) pauseTakeover() bool {
	t := q.takeover
	switch {
	case t == nil:
		return true
	case t.paused || t.timer.Stop():
		t.paused = true
		return true
	}
	if q.route.Kind != routetable.Streaming {
		q.endTakeover(errDone) // the response is about to be complete
	} else {
		q.endTakeover(errGoesOn)
	}
	return q.accepted == nil
}

// endTakeover ends the takeover of the current attempt. If an endpoint has accepted the
// request, q.accepted is the attempt there afterwards.
func (q *request) endTakeover(cause error) {
	t := q.takeover
	if t == nil {
		return
	}
	q.takeover = nil
	started := !t.paused && !t.timer.Stop()
	t.end(cause)
	if !errors.Is(cause, errGoesOn) {
		close(t.settled)
	}
	if started {
		<-t.done
		q.accepted = t.accepted
	}
}

// dropTakeover ends the takeover of the current attempt, and the attempt at an endpoint
// that has accepted the request.
func (q *request) dropTakeover() {
	q.endTakeover(errDone)
	if q.accepted != nil {
		q.abandon(q.accepted)
		q.accepted = nil
	}
}

// run tries other endpoints until one accepts the request or the takeover ends.
func (t *takeover) run() {
	defer close(t.done)
	defer t.recoverRun()
	if late := t.request.handler.deps.Clock.Now().Sub(t.dueAt); late > lateReadTime && t.sleep(lateReadTime) != nil {
		return
	}
	logged := false
	for t.ctx.Err() == nil {
		next, deniedBy := t.begin()
		if next == nil {
			if !logged {
				logged = true
				t.logDenied(deniedBy)
			}
			if t.sleep(t.delay) != nil {
				return
			}
			continue
		}
		accepted := t.accepts(next)
		if accepted {
			t.accepted = next
			t.silent.abandoned = !errors.Is(context.Cause(t.ctx), errEnded)
			t.silent.cancel()
		}
		t.logDecision(next, accepted)
		if accepted {
			return
		}
	}
}

// recoverRun ends the takeover after a panic. The silent endpoint is still waited for.
func (t *takeover) recoverRun() {
	cause := recover()
	if cause == nil {
		return
	}
	t.request.logPanic(cause, t.silent.endpoint.ID)
	if t.tried != nil && !t.tried.ended && t.accepted == nil {
		t.request.abandon(t.tried)
	}
}

// begin chooses another endpoint and starts an attempt there. It returns nil and the
// reason if there is none or the request may not be sent again.
func (t *takeover) begin() (next *attempt, deniedBy string) {
	q, h := t.request, t.request.handler
	if !q.resumable() || !mayRetry(q.route, stalled, q.executions+1, q.attempts, q.remaining()) || q.attempts >= maxAttemptsPerRequest {
		return nil, deniedByRoute
	}
	if t.suspected || h.deps.Quarantine.Suspected(quarantine.Request{Fingerprint: q.fingerprint}, t.silent.endpoint.ID) {
		return nil, deniedBySuspicion
	}
	open, _ := q.openEndpoints(max(q.coldUse(), coldAvoided))
	choice, ok := h.deps.Balancer.BeginNotEjected(open, q.placed, q.excluded)
	if !ok {
		return nil, "no other endpoint that is not ejected"
	}
	// The quarantine lets a request through from time to time, so it is asked only once
	// there is an endpoint.
	var permittedAt time.Time
	if refused := q.checkQuarantine(); refused != nil {
		deniedBy = refused.reason
	} else if !h.deps.Retries.AllowRetry(q.pool) {
		deniedBy = deniedByRetryBudget
	} else if permittedAt, ok = q.acquire(t.ctx, choice.Endpoint); !ok {
		deniedBy = "rate limit of other endpoint"
	}
	if deniedBy != "" {
		h.deps.Balancer.End(choice, placement.Inconclusive)
		return nil, deniedBy
	}
	h.stats.retries.Inc()
	next = q.newAttempt(t.parent, choice, permittedAt)
	next.parallel = true
	t.tried = next
	go q.open(next)
	return next, ""
}

// accepts waits until the endpoint of next has accepted the request, or it is clear that
// it does not take over. In that case the attempt is ended.
func (t *takeover) accepts(next *attempt) bool {
	opened := t.awaitHead(next)
	switch {
	case t.drops(next), t.needless() && !opened:
		// An endpoint that has sent no head has probably not begun to work.
		t.request.abandon(next)
		return false
	case opened && !t.request.serves(next):
		t.refuse(next)
		return false
	}
	return true
}

// needless reports whether no other endpoint is needed any more.
func (t *takeover) needless() bool {
	return t.ctx.Err() != nil && !errors.Is(context.Cause(t.ctx), errEnded)
}

// drops reports whether the attempt next is not needed any more and does not decide whether
// the other endpoint takes over. If the silent endpoint goes on, the request is not sent any more.
func (t *takeover) drops(next *attempt) bool {
	return t.needless() && (!errors.Is(context.Cause(t.ctx), errGoesOn) || next.dropSend())
}

// awaitHead waits for the head of the response to next, or an error. It returns false if
// the takeover or maxOverlap ends before.
func (t *takeover) awaitHead(next *attempt) bool {
	select {
	case <-next.opened:
		return true
	case <-t.ctx.Done():
		if t.drops(next) {
			return false
		}
	case <-next.connected:
	}
	c := t.request.handler.deps.Clock
	connectedAt := c.Now()
	if t.sleepUntilOpened(next, maxOverlap) {
		return true
	}
	if late := c.Now().Sub(connectedAt) - maxOverlap; late > lateReadTime {
		return t.sleepUntilOpened(next, lateReadTime) // the head may have arrived meanwhile
	}
	return false
}

// sleepUntilOpened waits until next is opened, the takeover ends or d has passed. It
// reports whether next is open.
func (t *takeover) sleepUntilOpened(next *attempt, d time.Duration) bool {
	select {
	case <-next.opened:
	case <-time.After(d):
	case <-t.settled:
	}
	select {
	case <-next.opened:
		return true
	default:
		return false
	}
}

// refuse ends an attempt whose endpoint does not serve the request, while the silent one
// is still waited for.
func (t *takeover) refuse(next *attempt) {
	q := t.request
	stop := context.AfterFunc(t.ctx, func() {
		if t.needless() {
			next.cancel() // interrupts the read of a failure response
		}
	})
	defer stop()
	var outcome attemptOutcome
	var observation placement.Observation
	err := next.err
	if err != nil {
		outcome, observation, err = q.classifyNoResponse(t.parent, err)
	} else {
		outcome, observation, err = q.handleResponse(t.parent, next)
	}
	if outcome == connectionBroken && t.needless() {
		outcome, observation = notNeeded, placement.Inconclusive
	}
	q.endAttempt(next, outcome, observation)
	t.suspected = t.suspected || q.suspected(next, outcome)
	q.logFailedAttempt(next, outcome, err, "")
}

// abandon ends an attempt that is not needed any more.
func (q *request) abandon(a *attempt) {
	a.cancel()
	<-a.opened
	outcome := notNeeded
	switch {
	case a.response != nil:
		a.response.Abort()
	case errors.Is(a.err, upstream.ErrNotSent):
		outcome = notSent
	}
	q.endAttempt(a, outcome, placement.Inconclusive)
	q.logFailedAttempt(a, outcome, a.err, "")
}

// sleep waits for a time. It returns an error if the takeover ends before.
func (t *takeover) sleep(d time.Duration) error {
	return clock.Sleep(t.ctx, t.request.handler.deps.Clock, d)
}
