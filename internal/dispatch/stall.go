package dispatch

import (
	"context"
	"sync"
	"time"
)

// stallTimer cancels an attempt whose endpoint sends nothing for longer than a
// timeout. It does so only if another attempt may follow, since canceling a
// request's last possible attempt would only make the request fail.
type stallTimer struct {
	attempt    *attempt
	gapTimeout time.Duration
	// resumable is true if another endpoint can resume the response.
	resumable bool

	mu              sync.Mutex // guards all fields below
	responseStarted bool       // a chunk has been received, in this attempt or before
	timer           *time.Timer
	timeout         time.Duration
	stopped         bool
	retryTaken      bool // a retry has been taken from the budget
}

// startStallTimer starts the timer with the timeout for the first token, which is
// limited to DeadlineShare of the time until the request's deadline. The timeout
// between tokens applies from the first chunk on.
func (a *attempt) startStallTimer(ctx context.Context) *stallTimer {
	s := a.run.dispatcher.settings
	latencies := a.assignment.PoolLatencies()
	firstTokenTimeout := s.FirstTokenTimeout.forMedian(latencies.FirstToken)
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		maxFirstTokenTime := time.Duration(s.DeadlineShare * float64(time.Until(deadline)))
		firstTokenTimeout = min(firstTokenTimeout, max(maxFirstTokenTime, time.Millisecond))
	}
	t := &stallTimer{attempt: a, gapTimeout: s.GapTimeout.forMedian(latencies.Gap), timeout: firstTokenTimeout}
	t.resumable, t.responseStarted = a.run.response.resumable(), a.run.response.started()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(firstTokenTimeout, t.expire)
	return t
}

// chunkReceived restarts the timer with the timeout between tokens.
func (t *stallTimer) chunkReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responseStarted = true
	t.timeout = t.gapTimeout
	t.timer.Reset(t.gapTimeout)
}

// expire cancels the attempt with errStalled, or restarts the timer if no retry is
// possible. It runs when the timer fires.
func (t *stallTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.mayRetryLocked() && t.attempt.assignment.TakeRetry() {
		t.retryTaken, t.stopped = true, true
		t.attempt.cancel(errStalled)
		return
	}
	t.timer.Reset(t.timeout)
}

// mayRetryLocked reports whether another attempt could serve the request. It does
// not check the retry budget.
func (t *stallTimer) mayRetryLocked() bool {
	r := t.attempt.run
	return r.attempts < r.dispatcher.settings.MaxAttempts && (!t.responseStarted || t.resumable)
}

// stop stops the timer. After it returns, the attempt is not canceled any more.
func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// tookRetry reports whether the timer has taken a retry from the budget.
func (t *stallTimer) tookRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryTaken
}
