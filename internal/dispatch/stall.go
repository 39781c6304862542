package dispatch

import (
	"context"
	"sync"
	"time"
)

// watch ends an attempt that stays silent for longer than its bound. It does
// so only if another attempt may follow: ending the only attempt that a
// request can have would help nobody.
type stallTimer struct {
	attempt    *attempt
	gapTimeout time.Duration
	// resumable is true if another endpoint can go on with the answer.
	resumable bool

	mu              sync.Mutex // guards all below
	responseStarted bool       // the caller has received a piece
	timer           *time.Timer
	timeout         time.Duration
	stopped         bool
	retryTaken      bool // a retry was taken from the budget
}

// startWatch bounds the time to the first token.
func (a *attempt) startStallTimer(ctx context.Context) *stallTimer {
	s := a.run.dispatcher.settings
	times := a.lease.PoolLatencies()
	firstTokenTimeout := s.FirstTokenTimeout.forMedian(times.FirstToken)
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		maxFirst := time.Duration(s.DeadlineShare * float64(time.Until(deadline)))
		firstTokenTimeout = min(firstTokenTimeout, max(maxFirst, time.Millisecond))
	}
	w := &stallTimer{attempt: a, gapTimeout: s.GapTimeout.forMedian(times.Gap), timeout: firstTokenTimeout}
	w.resumable, w.responseStarted = a.run.response.resumable(), a.run.response.started()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(firstTokenTimeout, w.expire)
	return w
}

// token starts the bound anew: a token has come.
func (w *stallTimer) chunkReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responseStarted = true
	w.timeout = w.gapTimeout
	w.timer.Reset(w.gapTimeout)
}

// expire ends the attempt, or waits on if no retry may follow.
func (w *stallTimer) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.mayRetryLocked() && w.attempt.lease.TakeRetry() {
		w.retryTaken, w.stopped = true, true
		w.attempt.cancel(errStalled)
		return
	}
	w.timer.Reset(w.timeout)
}

// mayRetryLocked reports whether another attempt could serve the request.
func (w *stallTimer) mayRetryLocked() bool {
	r := w.attempt.run
	return r.attempts < r.dispatcher.settings.MaxAttempts && (!w.responseStarted || w.resumable)
}

func (w *stallTimer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// taken reports whether the watch has taken a retry from the budget.
func (w *stallTimer) tookRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retryTaken
}
