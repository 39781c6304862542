package clock

import (
	"sync"
	"time"
)

// Fake is a clock that moves only when Advance or Set is called.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []fakeTimer
}

type fakeTimer struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock that shows start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time the fake shows.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that fires once the fake has moved past d.
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

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLocked(f.now.Add(d))
}

// Set moves the clock to t, which may lie in the past, and fires the timers
// that are due.
func (f *Fake) Set(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLocked(t)
}

// Waiters returns the number of timers that have not fired.
func (f *Fake) PendingTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

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
