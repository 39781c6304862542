package clock

import (
	"sync"
	"time"
)

// Fake is a Clock for tests, which changes only when Advance or Set is called.
type Fake struct {
	mu     sync.Mutex // guards the fields below
	now    time.Time
	timers []fakeTimer
}

// fakeTimer is a timer that has not fired. It fires when the clock reaches at.
type fakeTimer struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock whose current time is start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After implements Clock. The channel receives the time when Advance or Set moves
// the clock at least d ahead, or at once if d is not positive.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- f.now
		return ch
	}
	f.timers = append(f.timers, fakeTimer{at: f.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and fires the timers that have expired.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLocked(f.now.Add(d))
}

// Set moves the clock to t, which may be in the past, and fires the timers that have
// expired.
func (f *Fake) Set(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLocked(t)
}

// PendingTimers returns the number of timers that have not fired. A test can use it
// to wait until the code under test sleeps.
func (f *Fake) PendingTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

// setLocked sets the time and fires the timers that have expired. The caller holds
// f.mu.
func (f *Fake) setLocked(t time.Time) {
	f.now = t
	pending := f.timers[:0]
	for _, timer := range f.timers {
		if timer.at.After(t) {
			pending = append(pending, timer)
			continue
		}
		timer.ch <- t
	}
	f.timers = pending
}
