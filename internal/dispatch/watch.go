package dispatch

import (
	"context"
	"sync"
	"time"
)

// watch ends an attempt that stays silent for longer than its bound. It does
// so only if another attempt may follow: ending the only attempt that a
// request can have would help nobody.
type watch struct {
	attempt *attempt
	gap     time.Duration
	// resumable is true if another endpoint can go on with the answer.
	resumable bool

	mu      sync.Mutex // guards all below
	begun   bool       // the caller has received a piece
	timer   *time.Timer
	bound   time.Duration
	stopped bool
	retry   bool // a retry was taken from the budget
}

// startWatch bounds the time to the first token.
func (a *attempt) startWatch(ctx context.Context) *watch {
	s := a.run.dispatcher.settings
	times := a.lease.PoolLatencies()
	first := s.FirstTokenTimeout.of(times.FirstToken)
	if deadline, set := ctx.Deadline(); set {
		left := time.Duration(s.DeadlineShare * float64(time.Until(deadline)))
		first = min(first, max(left, time.Millisecond))
	}
	w := &watch{attempt: a, gap: s.GapTimeout.of(times.Gap), bound: first}
	w.resumable, w.begun = a.run.answer.resumable(), a.run.answer.begun()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.expire)
	return w
}

// token starts the bound anew: a token has come.
func (w *watch) token() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	w.bound = w.gap
	w.timer.Reset(w.gap)
}

// expire ends the attempt, or waits on if no retry may follow.
func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.mayRetryLocked() && w.attempt.lease.TakeRetry() {
		w.retry, w.stopped = true, true
		w.attempt.cancel(errSilent)
		return
	}
	w.timer.Reset(w.bound)
}

// mayRetryLocked reports whether another attempt could serve the request.
func (w *watch) mayRetryLocked() bool {
	r := w.attempt.run
	return r.attempts < r.dispatcher.settings.MaxAttempts && (!w.begun || w.resumable)
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// taken reports whether the watch has taken a retry from the budget.
func (w *watch) taken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retry
}
